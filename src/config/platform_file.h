// Reading of the platform's file: JSON, without the operator's own settings.
#ifndef ALDERSILL_SRC_CONFIG_PLATFORM_FILE_H_
#define ALDERSILL_SRC_CONFIG_PLATFORM_FILE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "config/config.h"

namespace aldersill {

// Parses a file that holds one JSON object. `name_in_errors` stands for the file in errors. Throws
// ConfigError.
nlohmann::json ParsePlatformFile(const std::string& path, const std::string& name_in_errors);

// Whether the variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MGMT override the fields of the same names.
enum class EnvironmentOverrides { kIgnored, kApplied };

// All of Config but `own`. `before`: the configuration read last; null at the start. Throws ConfigError.
Config ReadPlatformConfig(const nlohmann::json& file, const Config* before, EnvironmentOverrides overrides);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_PLATFORM_FILE_H_
