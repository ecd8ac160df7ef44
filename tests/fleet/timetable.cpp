#include "fleet/timetable.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <stdexcept>
#include <utility>

namespace aldersill::fleet {
namespace {

constexpr std::array<const char*, 19> kKinds = {
    "kill",     "terminate", "pause",       "cut_there",  "cut_back", "delay", "trickle",
    "reset",    "hang",      "drain",       "silence",    "move",     "down",  "udp_cut",
    "udp_thin", "udp_delay", "udp_reorder", "udp_double", "udp_stray"};

bool OfDatagrams(FaultKind kind) { return kind >= FaultKind::kUdpCut; }

constexpr int kSilentLength = 9'000;

int Between(pcg32* random, int from, int to) { return from + static_cast<int>((*random)(to - from + 1)); }

int Number(const YAML::Node& node, const char* field, int least, int most) {
  const YAML::Node value = node[field];
  const std::string line = "line " + std::to_string(node.Mark().line + 1) + ": " + field;
  if (!value) throw std::runtime_error(line + " is missing");
  int number = 0;
  if (!YAML::convert<int>::decode(value, number) || number < least || number > most)
    throw std::runtime_error(line + " must be a whole number from " + std::to_string(least) + " to " +
                             std::to_string(most));
  return number;
}

}  // namespace

Timetable Draw(std::uint64_t seed, const std::string& deployment, int dispatchers, int workers) {
  Timetable table;
  table.seed = seed;
  table.deployment = deployment;
  table.members = seed % 3 == 0;
  table.dispatchers = dispatchers;
  table.workers = workers;
  // A stream apart from the jobs': a fault more or less does not reshuffle them.
  pcg32 random(seed, 1);
  const auto worker_fault = [&](FaultKind kind, int from_ms, int to_ms, int least_ms, int most_ms) {
    Fault f;
    f.kind = kind;
    f.at_ms = Between(&random, from_ms, to_ms);
    f.dispatcher = Between(&random, 0, dispatchers - 1);
    f.worker = Between(&random, 0, workers - 1);
    f.for_ms = Between(&random, least_ms, most_ms);
    table.faults.push_back(f);
  };
  if (seed % 5 == 0) {
    table.length_ms = kSilentLength;
    worker_fault(FaultKind::kSilence, 800, 1'200, 0, 0);
    worker_fault(FaultKind::kDrain, 1'200, 1'500, kSilentLength, kSilentLength);
  }
  worker_fault(FaultKind::kDrain, 200, 1'200, 1'500, 3'000);
  worker_fault(FaultKind::kHang, 200, 2'000, 200, 800);
  for (int i = Between(&random, 6, 14); i > 0; --i) {
    Fault f;
    f.kind = static_cast<FaultKind>(Between(&random, 0, static_cast<int>(FaultKind::kDown)));
    f.at_ms = Between(&random, 100, table.length_ms - 300);
    f.dispatcher = Between(&random, 0, dispatchers - 1);
    const bool of_worker = f.kind == FaultKind::kHang || f.kind == FaultKind::kDrain;
    f.worker = !of_worker && Between(&random, 0, 2) == 0 ? -1 : Between(&random, 0, workers - 1);
    f.for_ms = Between(&random, 50, 1'500);
    f.amount = f.kind == FaultKind::kTrickle ? Between(&random, 4, 64) : Between(&random, 5, 400);
    table.faults.push_back(f);
  }
  if (table.members) {
    for (int i = Between(&random, 3, 8); i > 0; --i) {
      const auto kind = static_cast<FaultKind>(
          Between(&random, static_cast<int>(FaultKind::kUdpCut), static_cast<int>(FaultKind::kUdpStray)));
      worker_fault(kind, 100, table.length_ms - 300, 300, kLongerThanLease);
      Fault& f = table.faults.back();
      f.worker =
          Between(&random, 0, 1) == 0 ? -1 : (f.dispatcher + Between(&random, 1, dispatchers)) % dispatchers;
      f.amount = Between(&random, 10, 90);
    }
    // The holder, or else a voter, stands still for longer than it can hold a duty.
    worker_fault(FaultKind::kPause, 1'200, 1'800, kLongerThanLease, kLongerThanLease);
    table.faults.back().dispatcher %= kVoters;
  }
  std::ranges::sort(table.faults, {}, &Fault::at_ms);
  return table;
}

std::string ToYaml(const Timetable& t) {
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "seed" << YAML::Value << t.seed << YAML::Key << "deployment"
      << YAML::Value << t.deployment << YAML::Key << "members" << YAML::Value << t.members << YAML::Key
      << "dispatchers" << YAML::Value << t.dispatchers << YAML::Key << "workers" << YAML::Value << t.workers
      << YAML::Key << "requests" << YAML::Value << t.requests << YAML::Key << "length_ms" << YAML::Value
      << t.length_ms << YAML::Key << "faults" << YAML::Value << YAML::BeginSeq;
  for (const Fault& f : t.faults) {
    out << YAML::Flow << YAML::BeginMap << YAML::Key << "at_ms" << YAML::Value << f.at_ms << YAML::Key
        << "kind" << YAML::Value << kKinds[static_cast<std::size_t>(f.kind)] << YAML::Key << "dispatcher"
        << YAML::Value << f.dispatcher << YAML::Key << (OfDatagrams(f.kind) ? "peer" : "worker")
        << YAML::Value << f.worker << YAML::Key << "for_ms" << YAML::Value << f.for_ms << YAML::Key
        << "amount" << YAML::Value << f.amount << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

Timetable FromYaml(const std::string& text) {
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsMap()) throw std::runtime_error("a timetable must be a map");
    Timetable t;
    if (!root["seed"] || !YAML::convert<std::uint64_t>::decode(root["seed"], t.seed))
      throw std::runtime_error("seed must be a whole number");
    t.deployment = root["deployment"] ? root["deployment"].as<std::string>() : "first";
    t.members = root["members"] && root["members"].as<bool>();
    t.dispatchers = Number(root, "dispatchers", 1, 100);
    t.workers = Number(root, "workers", 1, 100);
    t.requests = Number(root, "requests", 1, 100'000);
    t.length_ms = Number(root, "length_ms", 1, 3'600'000);
    for (const YAML::Node& node : root["faults"]) {
      Fault f;
      const std::string kind = node["kind"] ? node["kind"].as<std::string>() : "";
      const auto found = std::ranges::find(kKinds, kind);
      if (found == kKinds.end())
        throw std::runtime_error("line " + std::to_string(node.Mark().line + 1) + ": kind '" + kind +
                                 "' is unknown");
      f.kind = static_cast<FaultKind>(found - kKinds.begin());
      f.at_ms = Number(node, "at_ms", 0, t.length_ms);
      f.dispatcher = Number(node, "dispatcher", 0, t.dispatchers - 1);
      const bool of_worker = f.kind == FaultKind::kHang || f.kind == FaultKind::kDrain;
      f.worker = OfDatagrams(f.kind) ? Number(node, "peer", -1, t.dispatchers - 1)
                                     : Number(node, "worker", of_worker ? 0 : -1, t.workers - 1);
      f.for_ms = Number(node, "for_ms", 0, 60'000);
      f.amount = Number(node, "amount", 0, 60'000);
      t.faults.push_back(f);
    }
    std::ranges::stable_sort(t.faults, {}, &Fault::at_ms);
    return t;
  } catch (const YAML::Exception& e) {
    throw std::runtime_error(e.what());
  }
}

}  // namespace aldersill::fleet
