// Parses the commands that operators send to the management address (`mgmt`). Does no I/O.
#ifndef ALDERSILL_SRC_ADMIN_COMMAND_H_
#define ALDERSILL_SRC_ADMIN_COMMAND_H_

#include <string>
#include <string_view>
#include <variant>

namespace aldersill::admin {

// HEALTH: reports whether this process accepts clients.
struct Health {};
// DUMP: prints all metrics (figures.h).
struct Dump {};
// OFFLINE ID: bans a worker.
struct Offline {
  std::string worker;  // the worker's id
};
// ONLINE ID: lifts a worker's ban.
struct Online {
  std::string worker;  // the worker's id
};
// A line that is not a valid command.
struct BadCommand {
  std::string reason;  // one line for the operator, without a line end
};
using Command = std::variant<Health, Dump, Offline, Online, BadCommand>;

// Parses `line`, which has no line end. Words are separated by white space, which a worker's id does not
// contain.
Command ParseCommand(std::string_view line);

}  // namespace aldersill::admin

#endif  // ALDERSILL_SRC_ADMIN_COMMAND_H_
