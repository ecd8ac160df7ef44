#include "admin/command.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace aldersill::admin {
namespace {

std::vector<std::string> WordsOf(std::string_view line) {
  std::istringstream text{std::string(line)};
  std::vector<std::string> words;
  for (std::string word; text >> word;)
    words.push_back(word);
  return words;
}

bool Printable(const std::string& word) {
  return std::ranges::all_of(word, [](unsigned char c) { return c > ' ' && c < 127; });
}

}  // namespace

Command ParseCommand(std::string_view line) {
  const std::vector<std::string> words = WordsOf(line);
  if (words.empty())
    return BadCommand{"no command: HEALTH, DUMP, OFFLINE ID or ONLINE ID is wanted"};
  const std::string& name = words[0];
  const bool takes_worker = name == "OFFLINE" || name == "ONLINE";
  if (!takes_worker && name != "HEALTH" && name != "DUMP")
    return BadCommand{"unknown command: HEALTH, DUMP, OFFLINE ID or ONLINE ID is wanted"};
  if (words.size() != (takes_worker ? 2 : 1))
    return BadCommand{name + (takes_worker ? " takes one worker's id" : " takes nothing else")};
  if (name == "HEALTH")
    return Health{};
  if (name == "DUMP")
    return Dump{};
  if (!Printable(words[1]))
    return BadCommand{name + ": the id holds bytes that no id has"};
  if (name == "OFFLINE")
    return Offline{words[1]};
  return Online{words[1]};
}

}  // namespace aldersill::admin
