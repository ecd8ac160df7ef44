// The operator's own file: YAML (and so JSON), read and checked as a whole, or printed with its defaults.
#ifndef ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_
#define ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_

#include <string>

#include "config/operator_settings.h"

namespace aldersill {

// Reads a file of at most 1 MiB, or a text. Throws MissingField, UnknownField, BadValue or another
// ConfigError (config/errors.h): one line, `FILE:LINE: PATH problem`.
OperatorSettings ReadOperatorFile(const std::string& path);
OperatorSettings ParseOperatorText(const std::string& text, const std::string& name_in_errors);

// All fields, with their defaults where the file leaves them out, as YAML that reads back to the same
// settings. The settings hold no secrets: keys are in files of their own, of which only the paths are
// settings.
std::string PrintOperatorSettings(OperatorSettings settings);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_OPERATOR_FILE_H_
