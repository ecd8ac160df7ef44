// The operator's own file: YAML (and so JSON), read whole and checked, or printed with its defaults.
#ifndef ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_
#define ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_

#include <string>

#include "config/operator_settings.h"

namespace aldersill {

// Throws MissingField, UnknownField, BadValue or another ConfigError (config/config.h): one line, `FILE:LINE:
// PATH what is wrong with it`. At most 1 MiB.
OperatorSettings ReadOperatorFile(const std::string& path);
OperatorSettings ParseOperatorText(const std::string& text, const std::string& name_in_errors);

// All fields, those left out of the file with their defaults; reading it back gives the same settings. It
// holds no secret: keys are in files of their own, of which only the paths are settings.
std::string PrintOperatorSettings(OperatorSettings settings);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_
