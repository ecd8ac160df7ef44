#include "config/platform_file.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <utility>

#include "config/dispatch_settings_reader.h"
#include "config/environment.h"
#include "config/errors.h"
#include "config/file_reader.h"
#include "config/json_field.h"
#include "config/platform_fields.h"
#include "endpoint_list/codec.h"
#include "net/json_message.h"

namespace aldersill {
namespace {

using Json = nlohmann::json;

constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxFileBytes = std::size_t{64} << 20;
constexpr int kMinSockets = 64;
constexpr int kMinMemoryMb = 16;

Endpoint ToEndpoint(const std::string& text, const std::string& field) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint)
    throw BadValue(field, field + " must be address:port, not '" + text + "'");
  return *endpoint;
}

std::optional<Endpoint> ToOptionalEndpoint(const std::string& text, const std::string& field) {
  if (text.empty())
    return std::nullopt;
  return ToEndpoint(text, field);
}

std::string ToTextOrEmpty(const std::optional<Endpoint>& endpoint) {
  return endpoint ? ToText(*endpoint) : "";
}

// Resolves the fields that an environment variable can override. Variables do not change while the program
// runs, so on a reload a value that has changed in the file takes effect, and otherwise the value in force is
// kept.
class OverridableFields {
 public:
  OverridableFields(const Config* before, EnvironmentOverrides overrides)
      : before_(before), overrides_(overrides) {}

  // Returns the value that applies. `in_file` is the file's present value, `previous_in_file` its value when
  // the file was last read, and `in_force` the value that has applied since then. The last two are ignored at
  // the start.
  std::string Resolve(const char* variable, const std::string& in_file, const std::string& previous_in_file,
                      const std::string& in_force) const {
    if (overrides_ == EnvironmentOverrides::kIgnored)
      return in_file;
    if (before_ == nullptr)
      return ReadEnvironment(variable, in_file);
    return in_file.empty() || in_file == previous_in_file ? in_force : in_file;
  }

 private:
  const Config* before_;
  EnvironmentOverrides overrides_;
};

void ReadAddresses(const JsonField& root, const Config* before, EnvironmentOverrides overrides,
                   Config* config) {
  const Config start;
  const Config& last = before != nullptr ? *before : start;
  const OverridableFields fields(before, overrides);
  Config::FileValues& in_file = config->file_values;
  in_file = {root["name"].Text("aldersill"), root["listen"].Text(""), root["discovery"].Text(""),
             root["mgmt"].Text("")};
  config->name = fields.Resolve("GW_NAME", in_file.name, last.file_values.name, last.name);
  const std::string listen =
      fields.Resolve("GW_LISTEN", in_file.listen, last.file_values.listen, ToText(last.listen));
  if (listen.empty())
    root["listen"].ThrowMissing("address:port, here or in GW_LISTEN");
  config->listen = ToEndpoint(listen, "listen");
  const std::string discovery = fields.Resolve("GW_DISCOVERY", in_file.discovery, last.file_values.discovery,
                                               ToTextOrEmpty(last.discovery));
  config->discovery = ToOptionalEndpoint(discovery, "discovery");
  const std::string mgmt =
      fields.Resolve("GW_MGMT", in_file.mgmt, last.file_values.mgmt, ToTextOrEmpty(last.mgmt));
  config->mgmt = ToOptionalEndpoint(mgmt, "mgmt");
}

std::uint64_t ReadSeed(const JsonField& field) {
  const std::string text = field.Text("0");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kHexadecimal);
  if (error != std::errc() || end != text.data() + text.size())
    field.ThrowBadValue("must be hex digits");
  return seed;
}

void ReadKnownWorkers(const JsonField& known, Config* config) {
  if (!known.present())
    return;
  try {
    EndpointListMessage message = DecodeEndpointList(known.json());
    config->known_workers = std::move(message.workers);
    config->known_version = message.version;
  } catch (const BadMessage& error) {
    known.ThrowBadValue(error.what());
  }
}

void ReadSettings(const JsonField& settings, Config* config) {
  if (!settings.present())
    settings.ThrowMissing("the object of the platform's settings");
  config->module = ReadDispatchSettings(settings);
  config->module_text = settings.json().dump();
  try {
    const dispatch::Dispatcher validator(config->module, 0);  // The constructor checks the settings.
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string("settings: ") + error.what());
  }
  config->dial_timeout = settings["limits"]["dialTimeout"].PositiveDuration(config->dial_timeout);
}

}  // namespace

Json ParsePlatformFile(const std::string& path, const std::string& name_in_errors) {
  const std::string text = ReadFile(path, name_in_errors + ": cannot read " + path, kMaxFileBytes);
  if (text.size() > kMaxFileBytes)
    throw ConfigError(name_in_errors + ": " + path + " is longer than 64 MiB");
  Json json;
  std::string last_key;  // key of the value being parsed
  const auto record_key = [&last_key](int, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::key)
      last_key = parsed.get<std::string>();
    return true;
  };
  try {
    json = Json::parse(text, record_key);
  } catch (const Json::out_of_range&) {
    throw BadValue(last_key, last_key + " is a number out of range in " + path);
  } catch (const Json::exception&) {
    throw ConfigError(name_in_errors + ": " + path + " is not JSON");
  }
  if (!json.is_object())
    throw ConfigError(name_in_errors + ": " + path + " is not an object");
  return json;
}

Config ReadPlatformConfig(const Json& file, const Config* before, EnvironmentOverrides overrides) {
  const JsonField root(&file, "");
  Config config;
  ReadAddresses(root, before, overrides, &config);
  config.seed = ReadSeed(root["seed"]);
  config.sockets = root["limits"]["sockets"].IntAtLeast(kMinSockets, config.sockets);
  config.memory_mb = root["limits"]["memory_mb"].IntAtLeast(kMinMemoryMb, config.memory_mb);
  ReadKnownWorkers(root["known"], &config);
  ReadSettings(root["settings"], &config);
  FieldPaths paths = FieldPathsOf(file);
  if (before != nullptr)
    RequireFieldsOf(before->field_paths, paths);
  config.field_paths = std::move(paths.fields);
  config.unknown_fields = FindUnknownFields(file);
  return config;
}

}  // namespace aldersill
