// Parses the text format of a recorded byte exchange: one step per line, followed by its block of bytes.
// docs/rehearsal.md describes the format.
#ifndef ALDERSILL_TOOLS_EXCHANGE_FILE_H_
#define ALDERSILL_TOOLS_EXCHANGE_FILE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace aldersill::tools {

struct ExchangeStep {
  int line = 0;                    // line number in the file, from 1
  std::vector<std::string> words;  // the verb and its arguments
  std::string block;               // the bytes of the `|` lines that follow
};

// Throws std::runtime_error with the line number if a block has no step before it.
std::vector<ExchangeStep> ParseExchange(const std::string& text);

struct BlockMatch {
  std::optional<std::size_t> length;  // of the matching start of the text; none if there is no match
  bool needs_more = false;            // no match yet, but more text could complete one
};
// Compares the start of `text` with a block in which `{*}` stands for anything within one line.
BlockMatch MatchBlock(std::string_view pattern, std::string_view text);

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_EXCHANGE_FILE_H_
