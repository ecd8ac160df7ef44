// Writes and reads timetables as YAML. docs/fleet-rig.md documents the keys and words.
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include "fleet/timetable.h"

namespace aldersill::fleet {
namespace {

constexpr int kMaxCount = 100;  // dispatchers or workers
constexpr int kMaxFleetSize = 1'000;
constexpr int kMaxKeepAliveClients = 1'000;
constexpr int kMaxRequests = 100'000;
constexpr int kMaxLengthMs = 3'600'000;
constexpr int kMaxFaultNumber = 60'000;  // for_ms or amount

// In the order of FaultKind.
constexpr std::array<const char*, 29> kKindWords = {"kill",
                                                    "terminate",
                                                    "pause",
                                                    "cut_there",
                                                    "cut_back",
                                                    "delay",
                                                    "trickle",
                                                    "reset",
                                                    "hang",
                                                    "drain",
                                                    "silence",
                                                    "move",
                                                    "down",
                                                    "list_errors",
                                                    "list_losses",
                                                    "list_refused",
                                                    "late",
                                                    "leave",
                                                    "resting_requests",
                                                    "idle_clients",
                                                    "restart",
                                                    "reload",
                                                    "slow_requests",
                                                    "udp_cut",
                                                    "udp_thin",
                                                    "udp_delay",
                                                    "udp_reorder",
                                                    "udp_double",
                                                    "udp_stray"};
// In the order of SettingsVariant.
constexpr std::array<const char*, 4> kVariantWords = {"none", "leaving", "cold", "idle"};

bool IsOfDatagrams(FaultKind kind) { return GroupOf(kind) == FaultGroup::kDatagram; }

std::string LineOf(const YAML::Node& node) { return "line " + std::to_string(node.Mark().line + 1) + ": "; }

// Reads a required number. Throws if it is missing, not a whole number, or not from `min` to `max`.
int ReadNumber(const YAML::Node& node, const char* field, int min, int max) {
  const YAML::Node value = node[field];
  const std::string name = LineOf(node) + field;
  if (!value)
    throw std::runtime_error(name + " is missing");
  int number = 0;
  if (!YAML::convert<int>::decode(value, number) || number < min || number > max)
    throw std::runtime_error(name + " must be a whole number from " + std::to_string(min) + " to " +
                             std::to_string(max));
  return number;
}

std::string ReadWord(const YAML::Node& node, const char* field, const char* fallback) {
  return node[field] ? node[field].as<std::string>() : fallback;
}

SettingsVariant ReadVariant(const YAML::Node& root) {
  const std::string word = ReadWord(root, "crossing", kVariantWords.front());
  const auto found = std::ranges::find(kVariantWords, word);
  if (found == kVariantWords.end())
    throw std::runtime_error("crossing '" + word + "' is unknown");
  return static_cast<SettingsVariant>(found - kVariantWords.begin());
}

FaultKind ReadKind(const YAML::Node& node) {
  const std::string word = ReadWord(node, "kind", "");
  const auto found = std::ranges::find(kKindWords, word);
  if (found == kKindWords.end())
    throw std::runtime_error(LineOf(node) + "kind '" + word + "' is unknown");
  return static_cast<FaultKind>(found - kKindWords.begin());
}

Fault ReadFault(const YAML::Node& node, const Timetable& table) {
  Fault fault;
  fault.kind = ReadKind(node);
  fault.at_ms = ReadNumber(node, "at_ms", 0, table.length_ms);
  fault.dispatcher = ReadNumber(node, "dispatcher", 0, table.dispatchers - 1);
  const bool needs_worker = fault.kind == FaultKind::kHang || fault.kind == FaultKind::kDrain;
  fault.worker = IsOfDatagrams(fault.kind)
                     ? ReadNumber(node, "peer", -1, table.dispatchers - 1)
                     : ReadNumber(node, "worker", needs_worker ? 0 : kAllWorkers, table.workers - 1);
  fault.for_ms = ReadNumber(node, "for_ms", 0, kMaxFaultNumber);
  fault.amount = ReadNumber(node, "amount", 0, kMaxFaultNumber);
  return fault;
}

Timetable ReadTimetable(const YAML::Node& root) {
  if (!root.IsMap())
    throw std::runtime_error("a timetable must be a map");
  Timetable table;
  if (!root["seed"] || !YAML::convert<std::uint64_t>::decode(root["seed"], table.seed))
    throw std::runtime_error("seed must be a whole number");
  table.deployment = ReadWord(root, "deployment", "first");
  table.variant = ReadVariant(root);
  table.members = root["members"] && root["members"].as<bool>();
  table.dispatchers = ReadNumber(root, "dispatchers", 1, kMaxCount);
  table.workers = ReadNumber(root, "workers", 1, kMaxCount);
  table.requests = ReadNumber(root, "requests", 1, kMaxRequests);
  table.length_ms = ReadNumber(root, "length_ms", 1, kMaxLengthMs);
  if (root["configured_fleet_size"])
    table.configured_fleet_size = ReadNumber(root, "configured_fleet_size", 0, kMaxFleetSize);
  if (root["keep_alive_clients"])
    table.keep_alive_clients = ReadNumber(root, "keep_alive_clients", 0, kMaxKeepAliveClients);
  for (const YAML::Node& node : root["faults"])
    table.faults.push_back(ReadFault(node, table));
  std::ranges::stable_sort(table.faults, {}, &Fault::at_ms);
  return table;
}

template <typename T>
void Write(YAML::Emitter* out, const char* key, const T& value) {
  *out << YAML::Key << key << YAML::Value << value;
}

void WriteFault(YAML::Emitter* out, const Fault& fault) {
  *out << YAML::Flow << YAML::BeginMap;
  Write(out, "at_ms", fault.at_ms);
  Write(out, "kind", kKindWords[static_cast<std::size_t>(fault.kind)]);
  Write(out, "dispatcher", fault.dispatcher);
  Write(out, IsOfDatagrams(fault.kind) ? "peer" : "worker", fault.worker);
  Write(out, "for_ms", fault.for_ms);
  Write(out, "amount", fault.amount);
  *out << YAML::EndMap;
}

}  // namespace

std::string ToYaml(const Timetable& table) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  Write(&out, "seed", table.seed);
  Write(&out, "deployment", table.deployment);
  Write(&out, "crossing", kVariantWords[static_cast<std::size_t>(table.variant)]);
  Write(&out, "members", table.members);
  Write(&out, "dispatchers", table.dispatchers);
  Write(&out, "workers", table.workers);
  Write(&out, "requests", table.requests);
  Write(&out, "length_ms", table.length_ms);
  Write(&out, "configured_fleet_size", table.configured_fleet_size);
  Write(&out, "keep_alive_clients", table.keep_alive_clients);
  out << YAML::Key << "faults" << YAML::Value << YAML::BeginSeq;
  for (const Fault& fault : table.faults)
    WriteFault(&out, fault);
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

Timetable FromYaml(const std::string& text) {
  try {
    return ReadTimetable(YAML::Load(text));
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(error.what());
  }
}

}  // namespace aldersill::fleet
