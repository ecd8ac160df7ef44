#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "config/near_name.h"
#include "config/operator_file.h"
#include "endpoint_list/codec.h"
#include "net/json_message.h"

namespace aldersill {
namespace {

using Json = nlohmann::json;

// A JSON value that knows its path, so that every complaint names its field.
class Field {
 public:
  Field(const Json* json, std::string path) : json_(json), path_(std::move(path)) {}

  Field operator[](const std::string& name) const {
    if (json_ != nullptr && !json_->is_object())
      Bad("must be an object");
    const std::string path = path_.empty() ? name : path_ + "." + name;
    const bool has = json_ != nullptr && json_->contains(name) && !(*json_)[name].is_null();
    return {has ? &(*json_)[name] : nullptr, path};
  }
  std::vector<Field> Items() const {
    std::vector<Field> items;
    if (json_ == nullptr)
      return items;
    if (!json_->is_array())
      Bad("must be a list");
    for (std::size_t i = 0; i < json_->size(); ++i)
      items.emplace_back(&(*json_)[i], path_ + "[" + std::to_string(i) + "]");
    return items;
  }
  const std::string& path() const { return path_; }
  bool present() const { return json_ != nullptr; }
  const Json& json() const { return *json_; }
  [[noreturn]] void Bad(const std::string& what) const { throw BadValue(path_, path_ + " " + what); }
  [[noreturn]] void Missing(const std::string& wanted) const {
    throw MissingField(path_, path_ + " is missing: it must be " + wanted);
  }

  // Itself, where it is told.
  const Field& Required(const std::string& wanted) const {
    if (!present())
      Missing(wanted);
    return *this;
  }
  std::string Text() const {
    if (json_ == nullptr)
      Missing("a string");
    if (!json_->is_string())
      Bad("must be a string");
    return json_->get<std::string>();
  }
  std::string Text(const std::string& fallback) const { return present() ? Text() : fallback; }
  double Number(double fallback) const {
    if (!present())
      return fallback;
    if (!json_->is_number())
      Bad("must be a number");
    return json_->get<double>();
  }
  std::int64_t Whole(std::int64_t fallback) const {
    const double value = Number(static_cast<double>(fallback));
    if (!(std::abs(value) < 9e15))
      Bad("must be a whole number below 9e15");
    return std::llround(value);
  }
  int Small(int fallback) const {
    const std::int64_t value = Whole(fallback);
    if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max())
      Bad("is out of range");
    return static_cast<int>(value);
  }
  double NotNegative(double fallback) const {
    const double value = Number(fallback);
    if (!(value >= 0.0))
      Bad("must not be negative");
    return value;
  }
  double Fraction(double fallback) const {
    const double value = Number(fallback);
    if (!(value >= 0.0 && value <= 1.0))
      Bad("must lie between 0 and 1");
    return value;
  }
  std::int64_t Time(std::int64_t fallback) const {
    const std::int64_t value = Whole(fallback);
    if (value < 0)
      Bad("must not be negative");
    return value;
  }
  std::int64_t PositiveTime(std::int64_t fallback) const {
    const std::int64_t value = Whole(fallback);
    if (value <= 0)
      Bad("must be positive");
    return value;
  }
  int AtLeast(int least, int fallback) const {
    const int value = Small(fallback);
    if (value < least)
      Bad("must be at least " + std::to_string(least));
    return value;
  }
  bool Bool(bool fallback) const {
    if (!present())
      return fallback;
    if (!json_->is_boolean())
      Bad("must be true or false");
    return json_->get<bool>();
  }

 private:
  const Json* json_;
  std::string path_;
};

// `fallback`: the word where none is told; empty where one has to be.
template <typename T>
T OneOf(const Field& field, const std::string& fallback,
        std::initializer_list<std::pair<const char*, T>> words) {
  std::vector<std::string> wanted;
  for (const auto& [word, value] : words)
    wanted.push_back(word);
  if (fallback.empty())
    field.Required("one of " + Listed(wanted));
  const std::string text = field.Text(fallback);
  for (const auto& [word, value] : words) {
    if (text == word)
      return value;
  }
  const std::string near = NearName(text, wanted);
  field.Bad("must be one of " + Listed(wanted) + ", not '" + text + "'" +
            (near.empty() ? "" : ": did you mean '" + near + "'?"));
}

// The i-th of a list that may be shorter: its last item serves for the rest.
std::optional<Field> ItemOf(const Field& list, std::size_t i) {
  const std::vector<Field> items = list.Items();
  if (items.empty())
    return std::nullopt;
  return items[std::min(i, items.size() - 1)];
}

dispatch::ClassSettings ReadClass(const Field& f, const Field& family, std::size_t i, int kinds) {
  using dispatch::KeyScope;
  using dispatch::Repeat;
  dispatch::ClassSettings c;
  // What makes a class is told, never guessed: a default would hold its requests to the rules of another.
  const std::string time = "a time in microseconds";
  c.name = f["name"].Text();
  c.target = f["target"].Required(time).PositiveTime(0);
  c.deadline = f["deadline"].Required(time).PositiveTime(0);
  c.priority_weight = f["worth"].NotNegative(c.priority_weight);
  c.late_priority_weight = f["lateValue"].Fraction(c.late_priority_weight);
  c.streaming = f["streaming"].Bool(c.streaming);
  c.repeat = OneOf<Repeat>(
      f["repeat"], "",
      {{"retryable", Repeat::kRepeatable}, {"dedup", Repeat::kKeyed}, {"fragile", Repeat::kUnsafe}});
  c.window = c.repeat == Repeat::kKeyed ? f["dedupWindow"].Required(time).PositiveTime(0)
                                        : f["dedupWindow"].Time(c.window);
  c.scope = OneOf<KeyScope>(f["dedupScope"], "all",
                            {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}});
  if (const auto kind = ItemOf(family["classKind"], i)) {
    c.kind = kind->AtLeast(-1, -1);
    if (c.kind >= kinds)
      kind->Bad("names no machine type");
  }
  if (const auto priority = ItemOf(family["classPriority"], i))
    c.priority = priority->Small(0);
  if (const auto stretch = ItemOf(family["classStretch"], i))
    c.stretch = stretch->NotNegative(0.0);
  c.stretch = f["aimStretch"].NotNegative(c.stretch);
  return c;
}

std::vector<std::string> ReadNames(const Field& list) {
  std::vector<std::string> names;
  for (const Field& item : list.Items())
    names.push_back(item.Text());
  return names;
}

dispatch::Settings ReadModule(const Field& f) {
  using Reports = dispatch::Settings::Reports;
  dispatch::Settings s;
  const std::vector<Field> classes = f["grades"].Items();
  if (!f["grades"].present())
    f["grades"].Missing("the list of classes, each with its name");
  if (classes.empty())
    f["grades"].Bad("must name at least one class");
  s.kinds = ReadNames(f["machineTypes"]);
  std::set<std::string> names;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    s.classes.push_back(ReadClass(classes[i], f["familyInfo"], i, static_cast<int>(s.kinds.size())));
    if (!names.insert(s.classes.back().name).second)
      classes[i]["name"].Bad("is the name of two classes");
  }
  double shares = 0.0;
  for (const Field& t : f["tenants"].Items()) {
    auto& tenant = s.tenants.emplace_back();
    tenant.name = t["name"].Text();
    tenant.share = t["share"].NotNegative(tenant.share);
    if (t["quotaPerS"].present())
      tenant.quota_per_s = t["quotaPerS"].NotNegative(0.0);
    shares += tenant.share;
  }
  if (!s.tenants.empty() && !(shares > 0.0))
    f["tenants"].Bad("must hold a share between them");
  s.zones = ReadNames(f["zones"]);
  s.zone = f["locality"].Text("");
  s.nodes = f["peersTotal"].AtLeast(1, s.nodes);
  s.over_share_priority_weight = f["overShareWorth"].Fraction(s.over_share_priority_weight);
  s.priority_weight_by_work = OneOf<bool>(f["valueBy"], "request", {{"request", false}, {"work", true}});
  // Where nothing is told it is asked: a service that is asked as an agent would be is overbooked, the
  // reverse is slow.
  s.subscribe = OneOf<bool>(f["discovery"], "subscribe", {{"automatic", false}, {"subscribe", true}});
  s.reports_start = f["familyInfo"]["tellsStart"].Bool(s.reports_start);
  s.progress = f["familyInfo"]["progress"].Time(s.progress);
  s.reports = OneOf<Reports>(
      f["report"]["how"], "silent",
      {{"silent", Reports::kNone}, {"piggyback", Reports::kWithAnswers}, {"pull", Reports::kProbesOnly}});
  // No part of ours: a word that is unknown says that the weights in discovery's list mean something else.
  enum class Weights { kSilent, kNominal, kRough, kLive };
  OneOf<Weights>(f["weights"], "silent",
                 {{"silent", Weights::kSilent},
                  {"nominal", Weights::kNominal},
                  {"rough", Weights::kRough},
                  {"live", Weights::kLive}});
  const Field limits = f["limits"], rules = f["rules"], prices = f["prices"];
  s.probes = limits["probes"].Bool(s.probes);
  s.cancel = limits["cancel"].Bool(s.cancel);
  s.second_copies = limits["secondCopies"].Bool(s.second_copies);
  s.retry_after = limits["retryAfter"].Bool(s.retry_after);
  s.max_attempts = limits["maxAttempts"].AtLeast(1, s.max_attempts);
  s.max_retry_after = limits["maxRetryAfter"].Time(s.max_retry_after);
  s.answer_slack = rules["answerSlack"].Time(s.answer_slack);
  s.drain_grace = rules["drainGrace"].Time(s.drain_grace);
  s.must_ask_in = rules["mustAskIn"].PositiveTime(s.must_ask_in);
  s.overload_factor = rules["overloadFactor"].Number(s.overload_factor);
  if (!(s.overload_factor > 0.0))
    rules["overloadFactor"].Bad("must be positive");
  s.fall = rules["fall"].PositiveTime(s.fall);
  s.cold_share = rules["coldShare"].Fraction(s.cold_share);
  s.warm_after = rules["warmAfter"].Time(s.warm_after);
  s.price_cross_zone = prices["crossZone"].NotNegative(s.price_cross_zone);
  s.price_probe = prices["probe"].NotNegative(s.price_probe);
  return s;
}

// Every field that the platform's pages name, read here or not, so that a misspelt one is seen.
const std::set<std::string>& PlatformFields() {
  static const std::set<std::string> kFields = [] {
    const std::pair<const char*, std::vector<const char*>> kGroups[] = {
        {"",
         {"name", "listen", "discovery", "seed", "limits", "known", "mgmt", "settings", "peers", "peers_all",
          "peer_listen"}},
        {"limits.", {"cores", "memory_mb", "sockets"}},
        {"settings.", {"clients", "discovery", "familyInfo",   "goal",           "grades",     "layer",
                       "limits",  "locality",  "machineTypes", "overShareWorth", "peersTotal", "prices",
                       "report",  "rules",     "slotNo",       "tenants",        "tick",       "tiers",
                       "valueBy", "weights",   "workload",     "zones"}},
        {"settings.clients.", {"marksRetry"}},
        {"settings.familyInfo.",
         {"classKind", "classPriority", "classStretch", "memoryUnit", "notes", "progress", "queueOrder",
          "reportX0", "reportX1", "tellsStart"}},
        {"settings.goal.", {"whole", "worstClass", "worstTenant", "worstWindow"}},
        {"settings.grades[].",
         {"aimStretch", "deadline", "dedupScope", "dedupWindow", "lateValue", "name", "repeat", "streaming",
          "target", "worth"}},
        {"settings.limits.",
         {"cancel", "connIdle", "cpuUsPerRequest", "cpuUsPerS", "dialTimeout", "maxAttempts", "maxOpen",
          "maxRetryAfter", "maxStreams", "peers", "probes", "retryAfter", "secondCopies"}},
        {"settings.prices.",
         {"connection", "crossZone", "discovery", "fleet", "handshake", "lateFail", "moves", "origin", "peer",
          "probe", "waste"}},
        {"settings.report.", {"fields", "how"}},
        {"settings.rules.",
         {"answerSlack", "coldShare", "drainGrace", "fall", "mustAskIn", "overloadFactor", "warmAfter"}},
        {"settings.tenants[].", {"name", "quotaPerS", "share"}},
    };
    std::set<std::string> fields;
    for (const auto& [below, names] : kGroups) {
      for (const char* name : names)
        fields.insert(std::string(below) + name);
    }
    return fields;
  }();
  return kFields;
}

// The names of the fields below `path`, which ends with a dot or is empty.
std::vector<std::string> NamesBelow(const std::string& path) {
  std::vector<std::string> names;
  for (auto at = PlatformFields().lower_bound(path); at != PlatformFields().end() && at->starts_with(path);
       ++at) {
    if (at->find('.', path.size()) == std::string::npos)
      names.push_back(at->substr(path.size()));
  }
  return names;
}

// `path`: of the value, a list's items as [].
void FindUnknown(const Json& json, const std::string& path, std::set<std::string>* unknown) {
  if (json.is_array()) {
    for (const Json& item : json)
      FindUnknown(item, path + "[]", unknown);
    return;
  }
  if (!json.is_object())
    return;
  const std::string below = path.empty() ? "" : path + ".";
  const std::vector<std::string> names = NamesBelow(below);
  if (names.empty())
    return;  // what is in it is not told here
  for (const auto& [name, value] : json.items()) {
    if (PlatformFields().contains(below + name)) {
      FindUnknown(value, below + name, unknown);
      continue;
    }
    const std::string near = NearName(name, names);
    unknown->insert(below + name + (near.empty() ? "" : " (" + near + "?)"));
  }
}

// What the file has: fields' paths, and of lists without items `path[]`, as nothing can be told of those.
struct FieldPaths {
  std::set<std::string> fields, empty_lists;
};

FieldPaths PathsOf(const Json& json, const std::string& path) {
  FieldPaths paths;
  if (json.is_object()) {
    for (const auto& [name, value] : json.items()) {
      if (value.is_null())
        continue;
      const std::string below = path.empty() ? name : path + "." + name;
      paths.fields.insert(below);
      paths.fields.merge(PathsOf(value, below).fields);
      paths.empty_lists.merge(PathsOf(value, below).empty_lists);
    }
  }
  if (!json.is_array())
    return paths;
  if (json.empty())
    paths.empty_lists.insert(path + "[]");
  for (std::size_t i = 0; i < json.size(); ++i) {
    FieldPaths item = PathsOf(json[i], path + "[]");
    if (i == 0)
      paths = std::move(item);
    std::erase_if(paths.fields,
                  [&](const std::string& field) { return i > 0 && !item.fields.contains(field); });
  }
  return paths;
}

// Fields that come and go in good files: the workers known, and what only some effects of a class need.
bool MayBeLeftOut(const std::string& field) {
  return field.starts_with("known") || field.starts_with("settings.grades[].dedup");
}

// A file read anew that lacks what the one before had was cut short on its way: nothing of it is taken.
void RequireFieldsOf(const std::set<std::string>& before, const FieldPaths& now) {
  for (const std::string& field : before) {
    const bool of_empty_list = std::ranges::any_of(
        now.empty_lists, [&](const std::string& list) { return field.starts_with(list); });
    if (now.fields.contains(field) || of_empty_list || MayBeLeftOut(field))
      continue;
    throw MissingField(field,
                       field + " is missing: the file read before has it; to do without it, start anew");
  }
}

Json ReadJson(const std::string& path, const std::string& field) {
  std::ifstream file(path);
  if (!file)
    throw ConfigError(field + ": cannot read " + path);
  Json json;
  std::string name;  // of the field that is being read
  const auto note_name = [&name](int, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::key)
      name = parsed.get<std::string>();
    return true;
  };
  try {
    json = Json::parse(file, note_name);
  } catch (const Json::out_of_range&) {
    throw BadValue(name, name + " is a number out of range in " + path);
  } catch (const Json::exception&) {
    throw ConfigError(field + ": " + path + " is not JSON");
  }
  if (!json.is_object())
    throw ConfigError(field + ": " + path + " is not an object");
  return json;
}

std::string Env(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value != nullptr && *value != '\0' ? value : fallback;
}

// One of the fields that a variable may go before. `was`, `held`: what the file said when it was last read
// and what held then; null at the start.
std::string ReadToldField(const char* variable, const std::string& written, const std::string* was,
                          const std::string& held) {
  if (was == nullptr)
    return Env(variable, written);
  return written.empty() || written == *was ? held : written;
}

Endpoint ReadEndpoint(const std::string& text, const std::string& field) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint)
    throw BadValue(field, field + " must be address:port, not '" + text + "'");
  return *endpoint;
}

// `told`: whether variables go before the fields of the same names.
Config ReadPlatform(const Json& json, const Config* before, bool told) {
  const Field root(&json, "");
  Config c;
  const Config::Written* was = before != nullptr ? &before->written : nullptr;
  c.written = {root["name"].Text("aldersill"), root["listen"].Text(""), root["discovery"].Text(""),
               root["mgmt"].Text("")};
  const auto ReadTold = [told](const char* variable, const std::string& written, const std::string* then,
                               const std::string& held) {
    return told ? ReadToldField(variable, written, then, held) : written;
  };
  c.name = ReadTold("GW_NAME", c.written.name, was ? &was->name : nullptr, before ? before->name : "");
  const std::string listen = ReadTold("GW_LISTEN", c.written.listen, was ? &was->listen : nullptr,
                                      before ? ToText(before->listen) : "");
  if (listen.empty())
    root["listen"].Missing("address:port, here or in GW_LISTEN");
  c.listen = ReadEndpoint(listen, "listen");
  const std::string discovery = ReadTold("GW_DISCOVERY", c.written.discovery, was ? &was->discovery : nullptr,
                                         before && before->discovery ? ToText(*before->discovery) : "");
  if (!discovery.empty())
    c.discovery = ReadEndpoint(discovery, "discovery");
  const std::string mgmt = ReadTold("GW_MGMT", c.written.mgmt, was ? &was->mgmt : nullptr,
                                    before && before->mgmt ? ToText(*before->mgmt) : "");
  if (!mgmt.empty())
    c.mgmt = ReadEndpoint(mgmt, "mgmt");
  const std::string seed = root["seed"].Text("0");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    root["seed"].Bad("must be hex digits");
  c.sockets = root["limits"]["sockets"].AtLeast(64, c.sockets);
  c.memory_mb = root["limits"]["memory_mb"].AtLeast(16, c.memory_mb);
  if (const Field known = root["known"]; known.present()) {
    try {
      EndpointListMessage message = DecodeEndpointList(known.json());
      c.known = std::move(message.workers);
      c.known_version = message.version;
    } catch (const BadMessage& e) {
      known.Bad(e.what());
    }
  }
  const Field settings = root["settings"];
  if (!settings.present())
    settings.Missing("the object of the platform's settings");
  c.module = ReadModule(settings);
  c.module_text = settings.json().dump();
  try {
    dispatch::Dispatcher probe(c.module, 0);  // the module's own check of its settings
  } catch (const std::invalid_argument& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  c.dial_timeout = settings["limits"]["dialTimeout"].PositiveTime(c.dial_timeout);
  const FieldPaths paths = PathsOf(json, "");
  if (before != nullptr)
    RequireFieldsOf(before->fields, paths);
  c.fields = paths.fields;
  std::set<std::string> unknown;
  FindUnknown(json, "", &unknown);
  c.unknown.assign(unknown.begin(), unknown.end());
  return c;
}

}  // namespace

std::string OperatorFilePath() {
  const std::string told = Env("ALDERSILL_SETTINGS", "");
  const std::string old = Env("ALDERSILL_FRONTS", "");
  if (!told.empty() && !old.empty())
    throw ConfigError("ALDERSILL_SETTINGS and ALDERSILL_FRONTS are both set: the first replaces the second");
  if (!told.empty() || !old.empty())
    return told.empty() ? old : told;
  for (const char* path : {"deploy/aldersill.yaml", "deploy/fronts.json"}) {
    if (std::ifstream(path))
      return path;
  }
  return "";
}

Config ReadPlatformFile(const std::string& path) {
  return ReadPlatform(ReadJson(path, path), nullptr, false);
}

Config ReadConfig(const Config* before) {
  const std::string path = Env("GW_CONFIG", "");
  if (path.empty())
    throw ConfigError("GW_CONFIG is not set");
  Config c = ReadPlatform(ReadJson(path, "GW_CONFIG"), before, true);
  if (const std::string own = OperatorFilePath(); !own.empty())
    c.own = ReadOperatorFile(own);
  return c;
}

}  // namespace aldersill
