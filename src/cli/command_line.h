// The command line: which sub-command, with what. docs/cli.md is its page.
#ifndef ALDERSILL_SRC_CLI_COMMAND_LINE_H_
#define ALDERSILL_SRC_CLI_COMMAND_LINE_H_

namespace aldersill {

// Exit statuses, stated in --help as well.
enum ExitStatus : int {
  kDone = 0,
  kFailed = 1,       // it could not do what it was asked: a bad configuration, an address that is taken
  kUsage = 2,        // a command line that makes no sense
  kUnreachable = 3,  // no running instance answers at the control socket
};

// Runs the sub-command named, `serve` where none is; the program's exit status.
int RunCommandLine(int argc, char** argv);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_COMMAND_LINE_H_
