// Parses the command line and runs the sub-command that it names. docs/cli.md documents the sub-commands.
#ifndef ALDERSILL_SRC_CLI_COMMAND_LINE_H_
#define ALDERSILL_SRC_CLI_COMMAND_LINE_H_

namespace aldersill {

// Runs the named sub-command, or `serve` if none is named. Returns the program's exit status, an ExitStatus.
int RunCommandLine(int argc, char** argv);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_COMMAND_LINE_H_
