// Reads the platform's configuration file, which is JSON.
#ifndef ALDERSILL_SRC_CONFIG_PLATFORM_FILE_H_
#define ALDERSILL_SRC_CONFIG_PLATFORM_FILE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "config/config.h"

namespace aldersill {

// Parses a file that holds one JSON object. Error messages name the file by `name_in_errors`. Throws
// ConfigError.
nlohmann::json ParsePlatformFile(const std::string& path, const std::string& name_in_errors);

// Whether the variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MGMT override the fields of the same names.
enum class EnvironmentOverrides { kIgnored, kApplied };

// Returns a Config with all members but `operator_settings`. `before` is the configuration that was read
// last, null at the start. Throws ConfigError.
Config ReadPlatformConfig(const nlohmann::json& file, const Config* before, EnvironmentOverrides overrides);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_PLATFORM_FILE_H_
