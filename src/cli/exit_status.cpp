#include "cli/exit_status.h"

#include <cstdio>

namespace aldersill {

void PrintError(const std::exception& error) { std::fprintf(stderr, "aldersill: %s\n", error.what()); }

}  // namespace aldersill
