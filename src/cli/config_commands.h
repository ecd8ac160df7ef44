// The sub-commands that work on configuration files: check-config and print-config.
#ifndef ALDERSILL_SRC_CLI_CONFIG_COMMANDS_H_
#define ALDERSILL_SRC_CLI_CONFIG_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/exit_status.h"

namespace aldersill {

// Reads each file as the daemon would and prints whether it is valid. kFailed if any is not.
ExitStatus CheckConfig(const std::vector<std::string>& files);

// Prints the operator's settings that a daemon started here would use, with their defaults.
ExitStatus PrintConfig();

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_CONFIG_COMMANDS_H_
