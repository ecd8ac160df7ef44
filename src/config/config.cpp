#include "config/config.h"

#include "config/environment.h"
#include "config/errors.h"
#include "config/file_reader.h"
#include "config/operator_file.h"
#include "config/platform_file.h"

namespace aldersill {

std::string OperatorFilePath() {
  std::string settings = ReadEnvironment("ALDERSILL_SETTINGS", "");
  std::string fronts = ReadEnvironment("ALDERSILL_FRONTS", "");
  if (!settings.empty() && !fronts.empty())
    throw ConfigError("ALDERSILL_SETTINGS and ALDERSILL_FRONTS are both set: the first replaces the second");
  if (!settings.empty())
    return settings;
  if (!fronts.empty())
    return fronts;
  for (const char* path : {"deploy/aldersill.yaml", "deploy/fronts.json"}) {
    if (!IsMissingFile(path))
      return path;
  }
  return "";
}

Config ReadPlatformFile(const std::string& path) {
  return ReadPlatformConfig(ParsePlatformFile(path, path), nullptr, EnvironmentOverrides::kIgnored);
}

Config ReadConfig(const Config* before) {
  const std::string path = ReadEnvironment("GW_CONFIG", "");
  if (path.empty())
    throw ConfigError("GW_CONFIG is not set");
  Config config =
      ReadPlatformConfig(ParsePlatformFile(path, "GW_CONFIG"), before, EnvironmentOverrides::kApplied);
  if (const std::string operator_file = OperatorFilePath(); !operator_file.empty())
    config.operator_settings = ReadOperatorFile(operator_file);
  return config;
}

}  // namespace aldersill
