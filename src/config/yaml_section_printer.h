// Prints typed settings as one section of a YAML file.
#ifndef ALDERSILL_SRC_CONFIG_YAML_SECTION_PRINTER_H_
#define ALDERSILL_SRC_CONFIG_YAML_SECTION_PRINTER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <vector>

#include "config/operator_schema.h"
#include "core/types.h"
#include "net/endpoint.h"

namespace aldersill {

// A visitor of the schema (operator_schema.h) that prints every field and ignores limits and checks.
class YamlSectionPrinter {
 public:
  // `out` must outlive the printer and must be inside a map.
  explicit YamlSectionPrinter(YAML::Emitter* out) : out_(*out) {}

  void Bool(const char* name, const bool& value) { Put(name, value); }
  void Int(const char* name, const int& value, int /*min*/, int /*max*/) { Put(name, value); }
  void Milliseconds(const char* name, const Micros& value, std::int64_t /*min*/, std::int64_t /*max*/) {
    Put(name, value / kMillisecond);
  }
  void Double(const char* name, const double& value, double /*min*/, double /*max*/) { Put(name, value); }
  void Text(const char* name, const std::string& value) { Put(name, value); }
  void Texts(const char* name, const std::vector<std::string>& values, std::size_t /*max_items*/) {
    out_ << YAML::Key << name << YAML::Value << YAML::Flow << values;
  }
  void Address(const char* name, const Endpoint& value, AddressScope /*scope*/) { Put(name, ToText(value)); }
  template <typename T>
  void Choice(const char* name, const T& value, const std::vector<NamedValue<T>>& choices) {
    for (const NamedValue<T>& choice : choices) {
      if (choice.value == value)
        Put(name, std::string(choice.name));
    }
  }
  template <typename T>
  void Section(const char* name, T& settings) {
    out_ << YAML::Key << name << YAML::Value << YAML::BeginMap;
    Describe(*this, settings);
    out_ << YAML::EndMap;
  }
  void Check(bool /*holds*/, const char* /*name*/, const std::string& /*problem*/) {}
  void Require(bool /*holds*/, const char* /*name*/, const std::string& /*problem*/) {}

 private:
  template <typename T>
  void Put(const char* name, const T& value) {
    out_ << YAML::Key << name << YAML::Value << value;
  }

  YAML::Emitter& out_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_YAML_SECTION_PRINTER_H_
