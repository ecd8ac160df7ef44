// Reads and checks one section of a YAML file into typed settings.
#ifndef ALDERSILL_SRC_CONFIG_YAML_SECTION_READER_H_
#define ALDERSILL_SRC_CONFIG_YAML_SECTION_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/near_name.h"
#include "config/operator_schema.h"
#include "core/types.h"
#include "net/endpoint.h"

namespace aldersill {

// A visitor of the schema (operator_schema.h) that reads each field. An absent or null field keeps its value.
// Errors are MissingField, UnknownField and BadValue; their messages name file, line and path.
class YamlSectionReader {
 public:
  // `path` is the path of the section, empty for the whole file. `file` is the file's name in error messages
  // and must outlive the reader. Throws BadValue if `map` is not a map or has a field twice.
  YamlSectionReader(const YAML::Node& map, std::string path, const std::string& file);

  void Bool(const char* name, bool& value);
  void Int(const char* name, int& value, int min, int max);
  // Reads milliseconds into microseconds.
  void Milliseconds(const char* name, Micros& value, std::int64_t min, std::int64_t max);
  void Double(const char* name, double& value, double min, double max);
  void Text(const char* name, std::string& value);
  void Texts(const char* name, std::vector<std::string>& values, std::size_t max_items);
  void Address(const char* name, Endpoint& value, AddressScope scope);
  template <typename T>
  void Choice(const char* name, T& value, const std::vector<NamedValue<T>>& choices);
  template <typename T>
  void Section(const char* name, T& settings);

  // Throws BadValue unless `holds`. Used for fields that contradict each other; `name` is the field to
  // change.
  void Check(bool holds, const char* name, const std::string& problem);
  // Throws MissingField unless `holds`. Used where other fields make the field `name` required.
  void Require(bool holds, const char* name, const std::string& problem);

  // Throws UnknownField if the section has a field that was not read. Must be called last.
  void Finish();

 private:
  std::string PathOf(const std::string& name) const;
  std::string PositionOf(const YAML::Node& node) const;
  [[noreturn]] void ThrowBadValue(const YAML::Node& node, const std::string& path,
                                  const std::string& problem) const;
  [[noreturn]] void ThrowNotAChoice(const YAML::Node& node, const char* name,
                                    const std::vector<std::string>& accepted) const;
  // Returns the field's node, undefined if the field is absent or null. Marks the field as known.
  YAML::Node Take(const char* name);
  // Decodes a scalar; throws BadValue with `problem` if `decode` returns false.
  void ReadScalar(const char* name, const std::function<bool(const YAML::Node&)>& decode,
                  const std::string& problem);
  void ReadInteger(const char* name, std::int64_t& value, std::int64_t min, std::int64_t max,
                   std::int64_t unit);

  YAML::Node map_;
  std::string path_;
  const std::string& file_;
  std::set<std::string> known_;
};

template <typename T>
void YamlSectionReader::Choice(const char* name, T& value, const std::vector<NamedValue<T>>& choices) {
  const YAML::Node node = Take(name);
  if (!node)
    return;
  const std::string given = node.IsScalar() ? node.Scalar() : "";
  std::vector<std::string> accepted;
  for (const NamedValue<T>& choice : choices) {
    if (given == choice.name) {
      value = choice.value;
      return;
    }
    accepted.emplace_back(choice.name);
  }
  ThrowNotAChoice(node, name, accepted);
}

template <typename T>
void YamlSectionReader::Section(const char* name, T& settings) {
  const YAML::Node node = Take(name);
  if (!node)
    return;
  YamlSectionReader section(node, PathOf(name), file_);
  Describe(section, settings);
  section.Finish();
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_YAML_SECTION_READER_H_
