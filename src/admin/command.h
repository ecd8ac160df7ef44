// The calls that operators make at the management address, as typed values. Pure.
#ifndef ALDERSILL_SRC_ADMIN_COMMAND_H_
#define ALDERSILL_SRC_ADMIN_COMMAND_H_

#include <string>
#include <string_view>
#include <variant>

namespace aldersill::admin {

struct Health {};
struct Dump {};
struct Offline {
  std::string worker;
};
struct Online {
  std::string worker;
};
struct BadCommand {
  std::string why;  // one line for the operator
};
using Command = std::variant<Health, Dump, Offline, Online, BadCommand>;

// `line`: without its end. Words are told apart by spaces; a worker's id holds none.
Command ParseCommand(std::string_view line);

}  // namespace aldersill::admin

#endif  // ALDERSILL_SRC_ADMIN_COMMAND_H_
