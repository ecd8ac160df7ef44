// The framing of the Faktory work protocol. Commands are lines of text, replies are RESP.
#ifndef ALDERSILL_SRC_FAKTORY_RESP_H_
#define ALDERSILL_SRC_FAKTORY_RESP_H_

#include <string>
#include <string_view>

namespace aldersill::faktory {

// A command, which consists of a verb and the rest of the line.
struct Command {
  std::string verb;
  std::string argument;
};
// Decodes a line without its CR LF. Converts the verb to upper case, because other Faktory servers ignore
// case.
Command DecodeCommand(std::string_view line);

// SimpleString and Error cut each text at its first line break, so that it cannot be read as two replies.
std::string SimpleString(std::string_view text);
std::string Error(std::string_view kind, std::string_view text);
std::string BulkString(std::string_view text);
std::string NullBulk();

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_RESP_H_
