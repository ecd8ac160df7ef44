#include "fleet_table/log_line.h"

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>

namespace aldersill::fleet_table {
namespace {

std::optional<double> ToNumber(std::string_view text) {
  double value = 0.0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::string_view Word(std::string_view* rest) {
  const std::size_t begin = std::min(rest->find_first_not_of(' '), rest->size());
  const std::size_t end = std::min(rest->find(' ', begin), rest->size());
  const std::string_view word = rest->substr(begin, end - begin);
  rest->remove_prefix(end);
  return word;
}

// `name=value`, the value bare or quoted as the log writes it. False at the end or where the form is another.
bool Field(std::string_view* rest, std::string* name, std::string* value) {
  rest->remove_prefix(std::min(rest->find_first_not_of(' '), rest->size()));
  const std::size_t equals = rest->find('=');
  if (equals == std::string_view::npos)
    return false;
  *name = rest->substr(0, equals);
  rest->remove_prefix(equals + 1);
  value->clear();
  if (!rest->starts_with('"')) {
    *value = Word(rest);
    return true;
  }
  std::size_t i = 1;
  for (; i < rest->size() && (*rest)[i] != '"'; ++i) {
    if ((*rest)[i] == '\\' && i + 1 < rest->size())
      ++i;
    value->push_back((*rest)[i]);
  }
  rest->remove_prefix(std::min(i + 1, rest->size()));
  return true;
}

std::optional<LogLine> DecodeJson(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("event") || !json["event"].is_string())
    return std::nullopt;
  LogLine line;
  line.event = json["event"];
  for (const auto& [name, value] : json.items())
    line.fields[name] = value.is_string() ? value.get<std::string>() : value.dump();
  std::istringstream time(line.fields["time"]);
  std::tm day{};
  char dot = 0;
  double fraction = 0.0;
  if (!(time >> std::get_time(&day, "%Y-%m-%dT%H:%M:%S")))
    return std::nullopt;
  if (time.get(dot) && dot == '.') {
    time.unget();
    time >> fraction;
  }
  line.at = static_cast<double>(timegm(&day)) + fraction;
  return line;
}

}  // namespace

std::string_view LogLine::Text(std::string_view name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

double LogLine::Number(std::string_view name, double otherwise) const {
  return ToNumber(Text(name)).value_or(otherwise);
}

std::optional<LogLine> Decode(std::string_view text) {
  if (text.starts_with('{'))
    return DecodeJson(text);
  const std::optional<double> at = ToNumber(Word(&text));
  if (!at || Word(&text) != "aldersill:")
    return std::nullopt;
  Word(&text);  // the level
  LogLine line{*at, std::string(Word(&text)), {}};
  std::string name, value;
  while (Field(&text, &name, &value))
    line.fields[name] = value;
  if (line.event.empty())
    return std::nullopt;
  return line;
}

}  // namespace aldersill::fleet_table
