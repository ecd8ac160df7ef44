// What the daemon is told at its start: GW_* variables, the platform's configuration and the operator's own
// file.
#ifndef ALDERSILL_SRC_CONFIG_CONFIG_H_
#define ALDERSILL_SRC_CONFIG_CONFIG_H_

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "config/operator_settings.h"
#include "core/types.h"
#include "net/endpoint.h"

namespace aldersill {

// what() is one line for the operator: it names the field at fault and, where that is known, what is
// accepted.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& sentence) : ConfigError("bad_configuration", "", sentence) {}
  const char* code() const { return code_; }         // one word for the kind of error
  const std::string& path() const { return path_; }  // of the field; empty where it is no field's

 protected:
  ConfigError(const char* code, std::string path, const std::string& sentence)
      : std::runtime_error(sentence), code_(code), path_(std::move(path)) {}

 private:
  const char* code_;
  std::string path_;
};
class MissingField : public ConfigError {
 public:
  MissingField(std::string path, const std::string& sentence)
      : ConfigError("missing_field", std::move(path), sentence) {}
};
// In our own file alone: the platform may add fields to its own, which are told in a log line.
class UnknownField : public ConfigError {
 public:
  UnknownField(std::string path, const std::string& sentence)
      : ConfigError("unknown_field", std::move(path), sentence) {}
};
class BadValue : public ConfigError {
 public:
  BadValue(std::string path, const std::string& sentence)
      : ConfigError("bad_value", std::move(path), sentence) {}
};

struct Config {
  std::string name;
  Endpoint listen;
  std::optional<Endpoint> discovery;
  std::optional<Endpoint> mgmt;  // where operators call
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 128;
  std::vector<WorkerEndpoint> known;
  std::uint64_t known_version = 0;
  dispatch::Settings module;
  std::string module_text;  // the settings as they were written, to tell whether they changed
  Micros dial_timeout = 250 * kMillisecond;
  OperatorSettings own;  // the operator's own file
  // Fields of the platform's file that its pages do not name, each with the name that may be meant: they are
  // not read, and must not stop the program.
  std::vector<std::string> unknown;
  // The paths of all fields that the file has, a list's items as []: those that each item has.
  std::set<std::string> fields;
  // What the file itself says of the fields that a variable may go before.
  struct Written {
    std::string name, listen, discovery, mgmt;
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
