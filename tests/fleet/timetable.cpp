#include "fleet/timetable.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <stdexcept>
#include <utility>

namespace aldersill::fleet {
namespace {

constexpr std::array<const char*, 26> kKinds = {"kill",
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
                                                "udp_cut",
                                                "udp_thin",
                                                "udp_delay",
                                                "udp_reorder",
                                                "udp_double",
                                                "udp_stray"};
constexpr std::array<const char*, 4> kCrossings = {"none", "leaving", "cold", "idle"};

bool OfDatagrams(FaultKind kind) { return kind >= FaultKind::kUdpCut; }

constexpr int kSilentLength = 9'000;
constexpr int kFailingLength = 10'000;
constexpr int kRestartLength = 12'500;
// Of connections that come up late: before a client leaves, and before the first of them can come up.
constexpr int kLeaveAfterMs = 350, kLateMs = 600;

int Between(pcg32* random, int from, int to) { return from + static_cast<int>((*random)(to - from + 1)); }

int Number(const YAML::Node& node, const char* field, int least, int most) {
  const YAML::Node value = node[field];
  const std::string line = "line " + std::to_string(node.Mark().line + 1) + ": " + field;
  if (!value)
    throw std::runtime_error(line + " is missing");
  int number = 0;
  if (!YAML::convert<int>::decode(value, number) || number < least || number > most)
    throw std::runtime_error(line + " must be a whole number from " + std::to_string(least) + " to " +
                             std::to_string(most));
  return number;
}

// What the seed's last digit adds. Drawn last, so that the other faults are the same as without.
void AddCrossing(pcg32* random, Timetable* table) {
  const auto add = [table](FaultKind kind, int at_ms, int dispatcher, int worker, int for_ms,
                           int amount = 0) {
    table->faults.push_back({at_ms, kind, dispatcher % table->dispatchers, worker, for_ms, amount});
  };
  const int first = Between(random, 0, table->dispatchers - 1);
  const int worker = Between(random, 0, table->workers - 1);
  switch (table->seed % 10) {
    case 1:
    case 4:
      table->crossing = Crossing::kLeaving;
      table->requests = 400;
      for (int i = 0; i < 8; ++i) {
        const int at_ms = Between(random, 300, 1'800);
        add(FaultKind::kLate, at_ms, first + i, -1, kLateMs);
        add(FaultKind::kLeave, at_ms + kLeaveAfterMs, first + i, -1, 0, 3 - i % 4);
      }
      break;
    case 2:
    case 8: {
      const int at_ms = Between(random, 800, 1'500);
      for (int i = 0; i < 2; ++i)
        add(FaultKind::kHang, at_ms - 100, 0, (worker + i) % table->workers, 800);
      for (int i = 0; i < 3; ++i)
        add(FaultKind::kTerminate, at_ms + 50 * i, first + i, -1, 0);
      add(FaultKind::kRestingRequests, at_ms, first + 3, -1, 40, 40);
      break;
    }
    case 5: {
      if (table->deployment == "consortium")
        break;  // an agent's calls do not fail
      table->length_ms = kFailingLength;
      table->requests = 900;
      const int drains_ms = Between(random, 700, 900);
      constexpr FaultKind kTroubles[] = {FaultKind::kListErrors, FaultKind::kListLosses,
                                         FaultKind::kListErrors, FaultKind::kListRefused,
                                         FaultKind::kListErrors, FaultKind::kListLosses};
      for (int i = 0; i < 6; ++i) {
        const bool refused = kTroubles[i] == FaultKind::kListRefused;
        add(kTroubles[i], Between(random, 300, 600), first + i, -1,
            refused ? Between(random, 600, 1'500) : kFailingLength);
      }
      const auto drains = [table](int w) {
        return std::ranges::any_of(
            table->faults, [w](const Fault& f) { return f.kind == FaultKind::kDrain && f.worker == w; });
      };
      for (int w = worker, left = 2; w < worker + table->workers && left > 0; ++w) {
        if (drains(w % table->workers))
          continue;
        add(FaultKind::kDrain, drains_ms, 0, w % table->workers, 2 * kFailingLength);
        --left;
      }
      break;
    }
    case 6: {
      table->crossing = Crossing::kIdle;
      const int at_ms = Between(random, 300, 800);
      add(FaultKind::kDown, at_ms, 0, -1, 1'500);
      for (int i = 0; i < 6; ++i)
        add(FaultKind::kIdleClients, at_ms, first + i, -1, 1'500, 60);
      break;
    }
    case 7:
      table->crossing = Crossing::kCold;
      table->length_ms = 5'000;
      table->requests = 200 * table->workers;
      add(FaultKind::kDrain, 100, 0, worker, 400);
      break;
    case 9:
      table->length_ms = kRestartLength;
      add(FaultKind::kDown, 500, 0, -1, kRestartLength - 1'000);
      for (int i = 0; i < 6; ++i)
        add(i % 2 == 0 ? FaultKind::kKill : FaultKind::kTerminate, Between(random, 600, 1'200), first + 2 * i,
            -1, Between(random, 0, 300));
      break;
    default:
      break;
  }
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
  AddCrossing(&random, &table);
  std::ranges::stable_sort(table.faults, {}, &Fault::at_ms);
  return table;
}

std::string ToYaml(const Timetable& t) {
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "seed" << YAML::Value << t.seed << YAML::Key << "deployment"
      << YAML::Value << t.deployment << YAML::Key << "crossing" << YAML::Value
      << kCrossings[static_cast<std::size_t>(t.crossing)] << YAML::Key << "members" << YAML::Value
      << t.members << YAML::Key << "dispatchers" << YAML::Value << t.dispatchers << YAML::Key << "workers"
      << YAML::Value << t.workers << YAML::Key << "requests" << YAML::Value << t.requests << YAML::Key
      << "length_ms" << YAML::Value << t.length_ms << YAML::Key << "faults" << YAML::Value << YAML::BeginSeq;
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
    if (!root.IsMap())
      throw std::runtime_error("a timetable must be a map");
    Timetable t;
    if (!root["seed"] || !YAML::convert<std::uint64_t>::decode(root["seed"], t.seed))
      throw std::runtime_error("seed must be a whole number");
    t.deployment = root["deployment"] ? root["deployment"].as<std::string>() : "first";
    const std::string crossing = root["crossing"] ? root["crossing"].as<std::string>() : kCrossings[0];
    const auto meant = std::ranges::find(kCrossings, crossing);
    if (meant == kCrossings.end())
      throw std::runtime_error("crossing '" + crossing + "' is unknown");
    t.crossing = static_cast<Crossing>(meant - kCrossings.begin());
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
