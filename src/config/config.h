// The daemon's configuration, which is read from the GW_* environment variables, the platform's file and the
// operator's file.
#ifndef ALDERSILL_SRC_CONFIG_CONFIG_H_
#define ALDERSILL_SRC_CONFIG_CONFIG_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "config/errors.h"
#include "config/operator_settings.h"
#include "core/types.h"
#include "net/endpoint.h"

namespace aldersill {

// Times are in microseconds.
struct Config {
  std::string name;
  Endpoint listen;
  std::optional<Endpoint> discovery;
  std::optional<Endpoint> mgmt;  // management address, which serves operators' commands; nullopt if off
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 128;
  std::vector<WorkerEndpoint> known_workers;
  std::uint64_t known_version = 0;
  dispatch::Settings module;
  std::string module_text;  // serialized JSON of `module`, compared on a reload to detect a change
  Micros dial_timeout = 250 * kMillisecond;
  OperatorSettings operator_settings;  // content of the operator's file
  // Fields of the platform's file that its documentation does not define, each with the most similar known
  // name if there is one. They are ignored.
  std::vector<std::string> unknown_fields;
  // Paths of all fields in the platform's file (platform_fields.h).
  std::set<std::string> field_paths;
  // The values that the platform's file gives for the fields that an environment variable can override.
  struct FileValues {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string mgmt;
  } file_values;
};

// Reads the environment and the files that it names. `before` is the configuration that was read last, null
// at the start. Environment variables do not change while the program runs, so on a reload a field that has
// changed in the file takes precedence over its variable. Throws ConfigError.
Config ReadConfig(const Config* before = nullptr);

// Reads only the platform's file and ignores the environment, as check-config requires. Throws ConfigError.
Config ReadPlatformFile(const std::string& path);

// Returns the path of the operator's file: the value of ALDERSILL_SETTINGS, else of ALDERSILL_FRONTS (the
// variable's former name), else deploy/aldersill.yaml or deploy/fronts.json if one exists, else an empty
// string. Throws ConfigError if both variables are set.
std::string OperatorFilePath();

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_CONFIG_H_
