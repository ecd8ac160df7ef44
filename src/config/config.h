// What the daemon is told at its start: GW_* variables, the platform's configuration and our own fronts file.
#ifndef ALDERSILL_SRC_CONFIG_CONFIG_H_
#define ALDERSILL_SRC_CONFIG_CONFIG_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

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
  std::optional<Endpoint> faktory;  // none: that front is off
  std::optional<Endpoint> snmp;
  Micros fetch_patience = 1 * kSecond;
  Micros fetch_wait = 2 * kSecond;       // how long a FETCH may wait before it gets null
  Micros worker_silence = 60 * kSecond;  // a Faktory worker not heard of for this long is gone
  Micros worker_return = kSecond;        // and so is one without a connection for this long
  // What the file itself says of the fields that a variable may go before.
  struct Written {
    std::string name, listen, discovery;
  } written;
};

// Reads the environment and the files it names; throws ConfigError. `before`: what was read last, if this is
// not the start. A variable is told once and cannot change, so a field that the file has changed since goes
// before it.
Config ReadConfig(const Config* before = nullptr);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_CONFIG_H_
