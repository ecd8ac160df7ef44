// The commands that operators send to the management address (`mgmt`), as typed values. Pure.
#ifndef ALDERSILL_SRC_ADMIN_COMMAND_H_
#define ALDERSILL_SRC_ADMIN_COMMAND_H_

#include <string>
#include <string_view>
#include <variant>

namespace aldersill::admin {

// HEALTH: does this process take clients?
struct Health {};
// DUMP: all figures (figures.h).
struct Dump {};
// OFFLINE ID: bans a worker.
struct Offline {
  std::string worker;  // its id
};
// ONLINE ID: lifts the ban.
struct Online {
  std::string worker;  // its id
};
// A line that is no command.
struct BadCommand {
  std::string reason;  // one line for the operator, without its end
};
using Command = std::variant<Health, Dump, Offline, Online, BadCommand>;

// `line`: without its end. Words are separated by white space; a worker's id contains none.
Command ParseCommand(std::string_view line);

}  // namespace aldersill::admin

#endif  // ALDERSILL_SRC_ADMIN_COMMAND_H_
