#include "faktory/resp.h"

#include <cctype>

namespace aldersill::faktory {
namespace {

std::string FirstLine(std::string_view text) {
  return std::string(text.substr(0, text.find_first_of("\r\n")));
}

}  // namespace

Command DecodeCommand(std::string_view line) {
  const std::size_t space = line.find(' ');
  Command command{std::string(line.substr(0, space)), ""};
  for (char& c : command.verb)
    c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  if (space == std::string_view::npos)
    return command;
  const std::size_t begin = line.find_first_not_of(' ', space);
  if (begin != std::string_view::npos)
    command.argument = line.substr(begin);
  return command;
}

std::string SimpleString(std::string_view text) { return "+" + FirstLine(text) + "\r\n"; }
std::string Error(std::string_view kind, std::string_view text) {
  return "-" + FirstLine(kind) + " " + FirstLine(text) + "\r\n";
}
std::string BulkString(std::string_view text) {
  return "$" + std::to_string(text.size()) + "\r\n" + std::string(text) + "\r\n";
}
std::string NullBulk() { return "$-1\r\n"; }

}  // namespace aldersill::faktory
