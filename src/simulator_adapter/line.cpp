#include "simulator_adapter/line.h"

#include <cmath>

namespace aldersill::simulator_adapter {

namespace {

bool ParseBool(std::string_view name, std::string_view value) {
  if (value == "1" || value == "true")
    return true;
  if (value == "0" || value == "false")
    return false;
  ThrowMalformed(name, value, "0, 1, true or false");
}

}  // namespace

void ThrowMalformed(std::string_view name, std::string_view value, std::string_view expected) {
  throw FormatError("field " + std::string(name) + ": '" + std::string(value) + "' is not " +
                    std::string(expected));
}

double ParseNumber(std::string_view name, std::string_view value) {
  const auto number = ParseAs<double>(name, value, "a number");
  if (!std::isfinite(number))
    ThrowMalformed(name, value, "a finite number");
  return number;
}

Line::Line(std::string_view text) {
  if (!text.empty() && text.back() == '\r')
    text.remove_suffix(1);
  bool first = true;
  while (true) {
    const std::size_t tab = text.find('\t');
    const std::string_view part = text.substr(0, tab);
    if (first) {
      tag_ = part;
    } else if (const std::size_t equals = part.find('='); equals != std::string_view::npos) {
      fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    } else {
      throw FormatError("'" + std::string(part) + "' in message " + std::string(tag_) + " is not name=value");
    }
    first = false;
    if (tab == std::string_view::npos)
      return;
    text.remove_prefix(tab + 1);
  }
}

std::string_view Line::Find(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (key == name)
      return value;
  }
  return {};
}

std::string_view Line::Text(std::string_view name) const {
  const std::string_view value = Find(name);
  if (value.empty())
    throw FormatError("field " + std::string(name) + " of message " + std::string(tag_) + " is missing");
  return value;
}

std::string_view Line::TextOr(std::string_view name, std::string_view fallback) const {
  const std::string_view value = Find(name);
  return value.empty() ? fallback : value;
}

std::int64_t Line::Int(std::string_view name) const {
  const auto value = ParseAs<std::int64_t>(name, Text(name), "an integer");
  if (value < 0)
    ThrowMalformed(name, Text(name), "a non-negative integer");
  return value;
}

std::int64_t Line::IntOr(std::string_view name, std::int64_t fallback) const {
  return Has(name) ? Int(name) : fallback;
}

double Line::NumberOr(std::string_view name, double fallback) const {
  return Has(name) ? ParseNumber(name, Find(name)) : fallback;
}

bool Line::BoolOr(std::string_view name, bool fallback) const {
  return Has(name) ? ParseBool(name, Find(name)) : fallback;
}

}  // namespace aldersill::simulator_adapter
