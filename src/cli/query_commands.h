// The sub-commands that query a running dispatcher over its control socket: members and duties.
#ifndef ALDERSILL_SRC_CLI_QUERY_COMMANDS_H_
#define ALDERSILL_SRC_CLI_QUERY_COMMANDS_H_

#include <string>

#include "cli/exit_status.h"

namespace aldersill {

struct QueryOptions {
  std::string socket;  // the control socket's path; empty for the one in the operator's file
  bool json = false;   // print the answer as it is received
};

// Prints the members of the cluster that the dispatcher knows.
ExitStatus PrintMembers(const QueryOptions& options);

// Prints the dispatcher's part in the duties that the members share.
ExitStatus PrintDuties(const QueryOptions& options);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CLI_QUERY_COMMANDS_H_
