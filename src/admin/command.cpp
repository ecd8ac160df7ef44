#include "admin/command.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace aldersill::admin {
namespace {

std::vector<std::string> SplitWords(std::string_view line) {
  std::istringstream text{std::string(line)};
  std::vector<std::string> words;
  for (std::string word; text >> word;)
    words.push_back(word);
  return words;
}

bool IsPrintable(std::string_view word) {
  return std::ranges::all_of(word, [](unsigned char byte) { return byte > ' ' && byte < 127; });
}

// Parses OFFLINE or ONLINE with its argument. `words` starts with the command's name.
Command ParseBanCommand(const std::vector<std::string>& words) {
  const std::string& name = words.front();
  if (words.size() != 2)
    return BadCommand{name + " takes one worker's id"};
  const std::string& worker = words[1];
  if (!IsPrintable(worker))
    return BadCommand{name + ": the id holds bytes that no id has"};
  if (name == "OFFLINE")
    return Offline{worker};
  return Online{worker};
}

}  // namespace

Command ParseCommand(std::string_view line) {
  const std::vector<std::string> words = SplitWords(line);
  if (words.empty())
    return BadCommand{"no command: HEALTH, DUMP, OFFLINE ID or ONLINE ID is wanted"};
  const std::string& name = words.front();
  if (name == "OFFLINE" || name == "ONLINE")
    return ParseBanCommand(words);
  if (name != "HEALTH" && name != "DUMP")
    return BadCommand{"unknown command: HEALTH, DUMP, OFFLINE ID or ONLINE ID is wanted"};
  if (words.size() != 1)
    return BadCommand{name + " takes nothing else"};
  if (name == "HEALTH")
    return Health{};
  return Dump{};
}

}  // namespace aldersill::admin
