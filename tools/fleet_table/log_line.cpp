#include "fleet_table/log_line.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet_table/legacy_names.h"

namespace aldersill::fleet_table {
namespace {

std::optional<double> ToNumber(std::string_view text) {
  double value = 0.0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

// Removes the next word, delimited by spaces, from `rest` and returns it.
std::string_view TakeWord(std::string_view* rest) {
  const std::size_t begin = std::min(rest->find_first_not_of(' '), rest->size());
  const std::size_t end = std::min(rest->find(' ', begin), rest->size());
  const std::string_view word = rest->substr(begin, end - begin);
  rest->remove_prefix(end);
  return word;
}

// Removes a value in double quotes, with backslash escapes, from `rest` and returns it without both.
std::string TakeQuoted(std::string_view* rest) {
  std::string value;
  std::size_t position = 1;
  for (; position < rest->size() && (*rest)[position] != '"'; ++position) {
    if ((*rest)[position] == '\\' && position + 1 < rest->size())
      ++position;
    value.push_back((*rest)[position]);
  }
  rest->remove_prefix(std::min(position + 1, rest->size()));
  return value;
}

struct Field {
  std::string name;
  std::string value;
};

// Removes the next `name=value` from `rest`. Returns nullopt at the end of the line or if none follows.
std::optional<Field> TakeField(std::string_view* rest) {
  rest->remove_prefix(std::min(rest->find_first_not_of(' '), rest->size()));
  const std::size_t equals = rest->find('=');
  if (equals == std::string_view::npos)
    return std::nullopt;
  Field field{std::string(rest->substr(0, equals)), ""};
  rest->remove_prefix(equals + 1);
  field.value = rest->starts_with('"') ? TakeQuoted(rest) : std::string(TakeWord(rest));
  return field;
}

// Unix seconds of an RFC 3339 time in UTC, as the log writes it.
std::optional<double> ToUnixSeconds(const std::string& text) {
  std::istringstream stream(text);
  std::tm calendar_time{};
  if (!(stream >> std::get_time(&calendar_time, "%Y-%m-%dT%H:%M:%S")))
    return std::nullopt;
  char dot = 0;
  double fraction = 0.0;
  if (stream.get(dot) && dot == '.') {
    stream.unget();
    stream >> fraction;
  }
  return static_cast<double>(timegm(&calendar_time)) + fraction;
}

std::optional<LogLine> DecodeJson(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("event") || !json["event"].is_string())
    return std::nullopt;
  LogLine line;
  line.event = json["event"];
  for (const auto& [name, value] : json.items())
    line.fields[name] = value.is_string() ? value.get<std::string>() : value.dump();
  const std::optional<double> time = ToUnixSeconds(line.fields["time"]);
  if (!time)
    return std::nullopt;
  line.time = *time;
  return line;
}

std::optional<LogLine> DecodeText(std::string_view text) {
  const std::optional<double> time = ToNumber(TakeWord(&text));
  if (!time || TakeWord(&text) != "aldersill:")
    return std::nullopt;
  TakeWord(&text);  // the level
  LogLine line{*time, std::string(TakeWord(&text)), {}};
  if (line.event.empty())
    return std::nullopt;
  while (std::optional<Field> field = TakeField(&text))
    line.fields[field->name] = std::move(field->value);
  return line;
}

}  // namespace

std::string_view LogLine::Text(std::string_view name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

double LogLine::Number(std::string_view name, double fallback) const {
  return ToNumber(Text(name)).value_or(fallback);
}

std::optional<LogLine> Decode(std::string_view text) {
  std::optional<LogLine> line = text.starts_with('{') ? DecodeJson(text) : DecodeText(text);
  if (line)
    ReplaceLegacyNames(&*line);
  return line;
}

}  // namespace aldersill::fleet_table
