// The daemon's configuration: GW_* variables, the platform's file and the operator's own file.
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

// The configuration of the daemon. Times are in microseconds.
struct Config {
  std::string name;
  Endpoint listen;
  std::optional<Endpoint> discovery;
  std::optional<Endpoint> mgmt;  // where operators' calls are served
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 128;
  std::vector<WorkerEndpoint> known;
  std::uint64_t known_version = 0;
  dispatch::Settings module;
  std::string module_text;  // `module` as written in the file: shows whether a reload changes it
  Micros dial_timeout = 250 * kMillisecond;
  OperatorSettings own;  // the operator's own file
  // Fields of the platform's file that its pages do not name, each with the name that may be meant. They are
  // ignored.
  std::vector<std::string> unknown;
  // The paths of all fields of the platform's file (platform_fields.h).
  std::set<std::string> fields;
  // The values in the file of the fields that a variable may override.
  struct Written {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string mgmt;
  } written;
};

// Reads the environment and the files that it names. `before`: the configuration read last; null at the
// start. A variable cannot change while the program runs, so a field that the file has changed since
// overrides it. Throws ConfigError.
Config ReadConfig(const Config* before = nullptr);

// Reads the platform's file alone, without the environment, as check-config does. Throws ConfigError.
Config ReadPlatformFile(const std::string& path);

// The path of the operator's file: ALDERSILL_SETTINGS, else ALDERSILL_FRONTS (its former name), else
// deploy/aldersill.yaml or deploy/fronts.json if there is one, else empty. Throws ConfigError if both are
// set.
std::string OperatorFilePath();

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_CONFIG_H_
