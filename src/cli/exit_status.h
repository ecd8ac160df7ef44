// The program's exit statuses and how a failed sub-command reports its error.
#ifndef ALDERSILL_SRC_CLI_EXIT_STATUS_H_
#define ALDERSILL_SRC_CLI_EXIT_STATUS_H_

#include <exception>

namespace aldersill {

// --help and docs/cli.md document these values.
enum ExitStatus : int {
  kDone = 0,
  kFailed = 1,       // failure, such as an invalid configuration or an address in use
  kUsage = 2,        // invalid command line
  kUnreachable = 3,  // no running process answers at the control socket
};

// Prints the error to standard error, as one line.
void PrintError(const std::exception& error);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_EXIT_STATUS_H_
