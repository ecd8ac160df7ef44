#include "config/yaml_section_reader.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/errors.h"

namespace aldersill {
namespace {

std::string KeyOf(const YAML::Node& node) { return node.IsScalar() ? node.Scalar() : "?"; }

// Formats a number without trailing zeros.
std::string FormatDouble(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.'))
    text.pop_back();
  return text;
}

// Returns a suggestion to append to an error message; empty if no name is similar.
template <typename Names>
std::string Suggest(const std::string& given, const Names& names) {
  const std::string near = NearName(given, names);
  return near.empty() ? "" : ": did you mean '" + near + "'?";
}

}  // namespace

YamlSectionReader::YamlSectionReader(const YAML::Node& map, std::string path, const std::string& file)
    : map_(map), path_(std::move(path)), file_(file) {
  if (map_.IsNull())
    map_ = YAML::Node(YAML::NodeType::Map);
  if (!map_.IsMap())
    ThrowBadValue(map_, path_, "must be a map of fields");
  std::set<std::string> given;
  for (const auto& entry : map_) {
    const std::string key = KeyOf(entry.first);
    if (!given.insert(key).second)
      ThrowBadValue(entry.first, PathOf(key), "is given twice");
  }
}

void YamlSectionReader::Bool(const char* name, bool& value) {
  const auto decode = [&](const YAML::Node& node) { return YAML::convert<bool>::decode(node, value); };
  ReadScalar(name, decode, "must be true or false");
}

void YamlSectionReader::Int(const char* name, int& value, int min, int max) {
  std::int64_t number = value;
  ReadInteger(name, number, min, max, 1);
  value = static_cast<int>(number);
}

void YamlSectionReader::Milliseconds(const char* name, Micros& value, std::int64_t min, std::int64_t max) {
  ReadInteger(name, value, min, max, kMillisecond);
}

void YamlSectionReader::Double(const char* name, double& value, double min, double max) {
  const auto decode = [&](const YAML::Node& node) {
    double number = 0;
    if (!YAML::convert<double>::decode(node, number) || !(number >= min && number <= max))
      return false;
    value = number;
    return true;
  };
  ReadScalar(name, decode, "must be a number from " + FormatDouble(min) + " to " + FormatDouble(max));
}

void YamlSectionReader::Text(const char* name, std::string& value) {
  const auto decode = [&](const YAML::Node& node) {
    value = node.Scalar();
    return true;
  };
  ReadScalar(name, decode, "must be a text");
}

void YamlSectionReader::Texts(const char* name, std::vector<std::string>& values, std::size_t max_items) {
  const YAML::Node node = Take(name);
  if (!node)
    return;
  if (!node.IsSequence())
    ThrowBadValue(node, PathOf(name), "must be a list");
  if (node.size() > max_items)
    ThrowBadValue(node, PathOf(name), "must hold at most " + std::to_string(max_items) + " items");
  values.clear();
  for (std::size_t i = 0; i < node.size(); ++i) {
    if (!node[i].IsScalar() || node[i].Scalar().empty())
      ThrowBadValue(node[i], PathOf(name) + "[" + std::to_string(i) + "]",
                    "must be a text that is not empty");
    values.push_back(node[i].Scalar());
  }
}

void YamlSectionReader::Address(const char* name, Endpoint& value, AddressScope scope) {
  const YAML::Node node = Take(name);
  if (!node)
    return;
  const std::optional<Endpoint> endpoint = node.IsScalar() ? ParseEndpoint(node.Scalar()) : std::nullopt;
  if (!endpoint)
    ThrowBadValue(node, PathOf(name),
                  "must be address:port" + (node.IsScalar() ? ", not '" + node.Scalar() + "'" : ""));
  if (scope == AddressScope::kLoopback && !IsLoopback(*endpoint))
    ThrowBadValue(node, PathOf(name), "must be a loopback address");
  value = *endpoint;
}

void YamlSectionReader::Check(bool holds, const char* name, const std::string& problem) {
  if (holds)
    return;
  const YAML::Node node = std::as_const(map_)[name];
  ThrowBadValue(node ? node : map_, PathOf(name), problem);
}

void YamlSectionReader::Require(bool holds, const char* name, const std::string& problem) {
  if (!holds)
    throw MissingField(PathOf(name), PositionOf(map_) + PathOf(name) + " " + problem);
}

void YamlSectionReader::Finish() {
  for (const auto& entry : map_) {
    const std::string key = KeyOf(entry.first);
    if (known_.contains(key))
      continue;
    const std::string suggestion = Suggest(key, known_);
    throw UnknownField(PathOf(key), PositionOf(entry.first) + PathOf(key) + " is unknown" +
                                        (suggestion.empty() ? "." : suggestion) +
                                        " Accepted: " + JoinNames(known_));
  }
}

std::string YamlSectionReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

std::string YamlSectionReader::PositionOf(const YAML::Node& node) const {
  return file_ + ":" + std::to_string(std::max(0, node.Mark().line) + 1) + ": ";
}

void YamlSectionReader::ThrowBadValue(const YAML::Node& node, const std::string& path,
                                      const std::string& problem) const {
  throw BadValue(path, PositionOf(node) + (path.empty() ? "the file" : path) + " " + problem);
}

void YamlSectionReader::ThrowNotAChoice(const YAML::Node& node, const char* name,
                                        const std::vector<std::string>& accepted) const {
  const std::string given = node.IsScalar() ? node.Scalar() : "";
  ThrowBadValue(node, PathOf(name), "must be one of " + JoinNames(accepted) + Suggest(given, accepted));
}

YAML::Node YamlSectionReader::Take(const char* name) {
  known_.insert(name);
  const YAML::Node node = std::as_const(map_)[name];
  return node && !node.IsNull() ? node : YAML::Node(YAML::NodeType::Undefined);
}

void YamlSectionReader::ReadScalar(const char* name, const std::function<bool(const YAML::Node&)>& decode,
                                   const std::string& problem) {
  const YAML::Node node = Take(name);
  if (!node)
    return;
  if (!node.IsScalar() || !decode(node))
    ThrowBadValue(node, PathOf(name), problem);
}

void YamlSectionReader::ReadInteger(const char* name, std::int64_t& value, std::int64_t min, std::int64_t max,
                                    std::int64_t unit) {
  const auto decode = [&](const YAML::Node& node) {
    std::int64_t number = 0;
    if (!YAML::convert<std::int64_t>::decode(node, number) || number < min || number > max)
      return false;
    value = number * unit;
    return true;
  };
  ReadScalar(name, decode,
             "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
}

}  // namespace aldersill
