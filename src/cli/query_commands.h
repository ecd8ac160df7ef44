// The sub-commands that query a running dispatcher over its control socket: members and duties.
#ifndef ALDERSILL_SRC_CLI_QUERY_COMMANDS_H_
#define ALDERSILL_SRC_CLI_QUERY_COMMANDS_H_

#include <string>

#include "cli/exit_status.h"

namespace aldersill {

struct QueryOptions {
  std::string socket;  // path of the control socket; if empty, the one in the operator's file
  bool json = false;   // whether to print the answer as JSON
};

// Prints the cluster members that the dispatcher knows.
ExitStatus PrintMembers(const QueryOptions& options);

// Prints which of the members' shared duties the dispatcher has.
ExitStatus PrintDuties(const QueryOptions& options);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_QUERY_COMMANDS_H_
