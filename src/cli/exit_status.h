// The program's exit statuses and how a failed sub-command reports its error.
#ifndef ALDERSILL_SRC_CLI_EXIT_STATUS_H_
#define ALDERSILL_SRC_CLI_EXIT_STATUS_H_

#include <exception>

namespace aldersill {

// Published in --help and docs/cli.md.
enum ExitStatus : int {
  kDone = 0,
  kFailed = 1,       // the command could not be carried out: a bad configuration, an address that is taken
  kUsage = 2,        // an invalid command line
  kUnreachable = 3,  // no running process answers at the control socket
};

// Prints the error to standard error, as one line.
void PrintError(const std::exception& error);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_EXIT_STATUS_H_
