#include "config/operator_file.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <fstream>

#include "config/errors.h"
#include "config/file_reader.h"
#include "config/operator_schema.h"
#include "config/yaml_section_printer.h"
#include "config/yaml_section_reader.h"

namespace aldersill {
namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;

}  // namespace

OperatorSettings ParseOperatorText(const std::string& text, const std::string& name_in_errors) {
  OperatorSettings settings;
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsDefined() || root.IsNull())
      return settings;  // An empty file selects all defaults.
    YamlSectionReader reader(root, "", name_in_errors);
    Describe(reader, settings);
    reader.Finish();
  } catch (const YAML::Exception& error) {
    throw ConfigError(name_in_errors + ":" + std::to_string(std::max(0, error.mark.line) + 1) +
                      ": is not YAML: " + error.msg);
  }
  return settings;
}

OperatorSettings ReadOperatorFile(const std::string& path) {
  const std::string text = ReadFile(path, path + ":1: the file cannot be read", kMaxFileBytes);
  if (text.size() > kMaxFileBytes)
    throw ConfigError(path + ":1: the file is longer than 1 MiB");
  return ParseOperatorText(text, path);
}

std::string PrintOperatorSettings(OperatorSettings settings) {
  YAML::Emitter out;
  YamlSectionPrinter printer(&out);
  out << YAML::BeginMap;
  Describe(printer, settings);
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace aldersill
