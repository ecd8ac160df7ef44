// What the daemon is told at its start: GW_* variables, the platform's configuration and the operator's own
// file.
#ifndef ALDERSILL_SRC_CONFIG_CONFIG_H_
#define ALDERSILL_SRC_CONFIG_CONFIG_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/operator_settings.h"
#include "core/types.h"
#include "net/endpoint.h"
#include "pulleyrouter/dispatcher.h"

namespace aldersill {

// One line that names the field at fault.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  Endpoint listen;
  std::optional<Endpoint> discovery;
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 128;
  std::vector<Instance> known;
  std::uint64_t known_version = 0;
  pulleyrouter::Settings module;
  std::string module_text;  // the settings as they were written, to tell whether they changed
  Micros dial_timeout = 250 * kMillisecond;
  OperatorSettings own;  // the operator's own file
  // What the file itself says of the fields that a variable may go before.
  struct Written {
    std::string name, listen, discovery;
  } written;
};

// Reads the environment and the files it names; throws ConfigError. `before`: what was read last, if this is
// not the start. A variable is told once and cannot change, so a field that the file has changed since goes
// before it.
Config ReadConfig(const Config* before = nullptr);

// The platform's file alone, as check-config reads it: no variable goes before its fields.
Config ReadPlatformFile(const std::string& path);
// Where the operator's own settings are read from: ALDERSILL_SETTINGS, else ALDERSILL_FRONTS (its name while
// it held fronts alone), else deploy/aldersill.yaml or deploy/fronts.json if there is one; empty for none.
std::string OperatorFilePath();

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_CONFIG_H_
