// Reads and prints the operator's settings file, which is YAML and therefore may also be JSON.
#ifndef ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_
#define ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_

#include <string>

#include "config/operator_settings.h"

namespace aldersill {

// Reads and checks a file of at most 1 MiB, or a text. Throws MissingField, UnknownField, BadValue or another
// ConfigError (config/errors.h), whose message is one line of the form `FILE:LINE: PATH problem`.
OperatorSettings ReadOperatorFile(const std::string& path);
OperatorSettings ParseOperatorText(const std::string& text, const std::string& name_in_errors);

// Returns all settings, defaults included, as YAML that parses to the same settings. The output holds no
// secrets, because keys are in separate files and the settings hold only the paths.
std::string PrintOperatorSettings(OperatorSettings settings);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_
