// The sub-commands that work on configuration files: check-config and print-config.
#ifndef ALDERSILL_SRC_CLI_CONFIG_COMMANDS_H_
#define ALDERSILL_SRC_CLI_CONFIG_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/exit_status.h"

namespace aldersill {

// Reads each file as the daemon does and prints whether it is valid. Returns kFailed if any file is invalid.
ExitStatus CheckConfig(const std::vector<std::string>& files);

// Prints the operator's settings, defaults included, that a daemon started in this directory and environment
// uses. Returns kFailed if they cannot be read.
ExitStatus PrintConfig();

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_CONFIG_COMMANDS_H_
