// aldersill: the dispatcher daemon and its command line.
#include "cli/command_line.h"

int main(int argc, char** argv) { return aldersill::RunCommandLine(argc, argv); }
