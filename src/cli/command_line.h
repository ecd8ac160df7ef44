// The command line: parses the arguments and runs the sub-command that they name. Documented in docs/cli.md.
#ifndef ALDERSILL_SRC_CLI_COMMAND_LINE_H_
#define ALDERSILL_SRC_CLI_COMMAND_LINE_H_

namespace aldersill {

// Runs the sub-command, `serve` if none is named. Returns the program's exit status, an ExitStatus.
int RunCommandLine(int argc, char** argv);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_COMMAND_LINE_H_
