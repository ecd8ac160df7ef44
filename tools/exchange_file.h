// The text form of a recorded byte exchange: steps, one a line, each with the block of bytes that follows it.
// docs/rehearsal.md describes the form.
#ifndef ALDERSILL_TOOLS_EXCHANGE_FILE_H_
#define ALDERSILL_TOOLS_EXCHANGE_FILE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace aldersill::tools {

struct ExchangeStep {
  int line = 0;
  std::vector<std::string> words;  // the step and its arguments
  std::string block;               // the bytes of the `|` lines that follow
};

// Throws std::runtime_error that names the line.
std::vector<ExchangeStep> ParseExchange(const std::string& text);

struct BlockMatch {
  std::optional<std::size_t> length;  // of the text that matched
  bool needs_more = false;            // no match yet: more text could make one
};
// Compares the start of `text` with a block in which `{*}` stands for anything within one line.
BlockMatch MatchBlock(std::string_view pattern, std::string_view text);

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_EXCHANGE_FILE_H_
