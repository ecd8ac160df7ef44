#include "exchange_file.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace aldersill::tools {
namespace {

constexpr std::string_view kWildcard = "{*}";

// The bytes of a line that begins with `|`. A line that begins with `|-` has no CR LF at its end.
std::string BlockBytes(const std::string& line) {
  const bool has_line_end = !line.starts_with("|-");
  std::size_t begin = has_line_end ? 1 : 2;
  if (begin < line.size() && line[begin] == ' ')
    ++begin;
  std::string bytes = line.substr(begin);
  // `\n` stands for a bare line feed, which ends the platform's JSON lines. Lines of HTTP and RESP end with
  // CR LF.
  for (std::size_t at; (at = bytes.find("\\n")) != std::string::npos;)
    bytes.replace(at, 2, 1, '\n');
  return has_line_end ? bytes + "\r\n" : bytes;
}

std::vector<std::string> Words(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find('#')));
  std::vector<std::string> words;
  for (std::string word; stream >> word;)
    words.push_back(word);
  return words;
}

}  // namespace

std::vector<ExchangeStep> ParseExchange(const std::string& text) {
  std::vector<ExchangeStep> steps;
  std::istringstream lines(text);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.starts_with("|")) {
      if (steps.empty())
        throw std::runtime_error("line " + std::to_string(number) +
                                 ": expected a step before the first block of bytes");
      steps.back().block += BlockBytes(line);
      continue;
    }
    std::vector<std::string> words = Words(line);
    if (!words.empty())
      steps.push_back({.line = number, .words = std::move(words), .block = ""});
  }
  return steps;
}

BlockMatch MatchBlock(std::string_view pattern, std::string_view text) {
  std::size_t at = 0;    // position in the text
  std::size_t next = 0;  // position in the pattern
  while (next < pattern.size()) {
    if (pattern.substr(next, kWildcard.size()) != kWildcard) {
      if (at == text.size())
        return {.length = std::nullopt, .needs_more = true};
      if (pattern[next++] != text[at++])
        return {};
      continue;
    }
    next += kWildcard.size();
    // The wildcard ends where the text after it matches: the rest of its line in the pattern, or the part up
    // to the next wildcard.
    const std::size_t end = std::min(pattern.find(kWildcard, next), pattern.find('\n', next) + 1);
    const std::string_view after = pattern.substr(next, end - next);
    const std::size_t line_end = text.find('\n', at);
    const std::size_t found = text.find(after, at);
    if (found == std::string_view::npos || found > line_end)
      return {.length = std::nullopt, .needs_more = line_end == std::string_view::npos};
    at = found;
  }
  return {.length = at, .needs_more = false};
}

}  // namespace aldersill::tools
