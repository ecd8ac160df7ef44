#include "cli/config_commands.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "config/operator_file.h"

namespace aldersill {
namespace {

// Returns whether the file is a JSON object with "settings" or "discovery". Any other file is read as the
// operator's file.
bool IsPlatformFile(const std::string& path) {
  std::ifstream file(path);
  const nlohmann::json json = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
  return json.is_object() && (json.contains("settings") || json.contains("discovery"));
}

// Reads the file and prints its kind and its unknown fields. Throws ConfigError if the file is not valid.
void CheckFile(const std::string& path) {
  if (!IsPlatformFile(path)) {
    static_cast<void>(ReadOperatorFile(path));
    std::printf("%s: good, as the operator's settings\n", path.c_str());
    return;
  }
  const std::vector<std::string> unknown_fields = ReadPlatformFile(path).unknown_fields;
  std::printf("%s: good, as the platform's configuration\n", path.c_str());
  for (const std::string& field : unknown_fields)
    std::printf("%s: not read: %s\n", path.c_str(), field.c_str());
}

}  // namespace

ExitStatus CheckConfig(const std::vector<std::string>& files) {
  ExitStatus status = kDone;
  for (const std::string& path : files) {
    try {
      CheckFile(path);
    } catch (const std::exception& error) {
      PrintError(error);
      status = kFailed;
    }
  }
  return status;
}

ExitStatus PrintConfig() {
  try {
    const std::string path = OperatorFilePath();
    const OperatorSettings settings = path.empty() ? OperatorSettings{} : ReadOperatorFile(path);
    std::printf("# %s; what it leaves out stands with its default\n%s",
                path.empty() ? "no file" : path.c_str(), PrintOperatorSettings(settings).c_str());
    return kDone;
  } catch (const std::exception& error) {
    PrintError(error);
    return kFailed;
  }
}

}  // namespace aldersill
