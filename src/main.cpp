// Entry point of the aldersill program: the dispatcher daemon and its sub-commands.
#include "cli/command_line.h"

int main(int argc, char** argv) { return aldersill::RunCommandLine(argc, argv); }
