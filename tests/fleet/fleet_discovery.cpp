#include "fleet/fleet_discovery.h"

#include <chrono>
#include <utility>

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

// The list versions of consecutive addresses start this far apart, so that they differ after a move.
constexpr std::uint64_t kVersionsPerMove = 1'000;

std::int64_t UnixMs() {
  using std::chrono::duration_cast, std::chrono::milliseconds, std::chrono::system_clock;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

FleetDiscovery::FleetDiscovery(const RunContext& context, const WorkerLinks& links)
    : context_(context), links_(links) {
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher) {
    discoveries_.emplace_back();
    discoveries_.back().push_back(Make(dispatcher, InitialList(dispatcher), 1));
  }
}

std::unique_ptr<StandInDiscovery> FleetDiscovery::Make(int dispatcher, nlohmann::json list,
                                                       std::uint64_t version) {
  const int address = address_number(dispatcher) + 1;
  return std::make_unique<StandInDiscovery>(context_.base, context_.deployment.lists_pushed, std::move(list),
                                            version, [this, dispatcher, address](int worker, bool serving) {
                                              RecordAnnouncement(dispatcher, address, worker, serving);
                                            });
}

nlohmann::json FleetDiscovery::InitialList(int dispatcher) const {
  nlohmann::json list = nlohmann::json::array();
  for (int worker = 0; worker < context_.table.workers; ++worker)
    list.push_back({{"id", "w" + std::to_string(worker)},
                    {"addr", "127.0.0.1:" + std::to_string(links_.port(dispatcher, worker))},
                    {"zone", context_.deployment.config.at("settings").at("locality")},
                    {"cell", worker % 2},
                    {"state", kServing},
                    {"started_ms", 0}});
  return list;
}

void FleetDiscovery::ChangeWorker(int worker, const std::string& state) {
  if (outages_ > 0) {
    delayed_changes_.push_back({worker, state});
    return;
  }
  const bool serving = state == kServing;
  context_.recorder.Record({.kind = Kind::kWorkerChanged, .worker = worker, .available = serving});
  for (auto& discoveries : discoveries_) {
    for (auto& discovery : discoveries)
      discovery->ChangeWorker(worker, state, serving ? UnixMs() : 0);
  }
}

void FleetDiscovery::BeginOutage() {
  if (++outages_ == 1)
    SetAllDown(true);
}

void FleetDiscovery::EndOutage() {
  if (--outages_ > 0)
    return;
  SetAllDown(false);
  while (outages_ == 0 && !delayed_changes_.empty()) {
    const Change change = std::move(delayed_changes_.front());
    delayed_changes_.pop_front();
    ChangeWorker(change.worker, change.state);
  }
}

void FleetDiscovery::SetAllDown(bool down) {
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher)
    Current(dispatcher)->SetDown(down);
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher) {
    RecordReachable(dispatcher, !down);
    RecordAgentState(dispatcher);
  }
}

StandInDiscovery* FleetDiscovery::Move(int dispatcher) {
  auto& discoveries = discoveries_[dispatcher];
  StandInDiscovery* previous = Current(dispatcher);
  discoveries.push_back(Make(dispatcher, previous->list(), kVersionsPerMove * discoveries.size()));
  if (outages_ == 0) {
    RecordReachable(dispatcher, true);
  } else {
    Current(dispatcher)->SetDown(true);
  }
  return previous;
}

StandInDiscovery* FleetDiscovery::BeginFailure(int dispatcher, StandInDiscovery::FailureMode mode) {
  // Only a refused connection proves to the dispatcher that it cannot reach discovery.
  if (mode == StandInDiscovery::FailureMode::kRefused)
    RecordReachable(dispatcher, false);
  Current(dispatcher)->SetFailureMode(mode);
  return Current(dispatcher);
}

void FleetDiscovery::EndFailure(int dispatcher, StandInDiscovery* discovery) {
  discovery->SetFailureMode(StandInDiscovery::FailureMode::kNone);
  if (outages_ == 0)
    RecordReachable(dispatcher, true);
}

void FleetDiscovery::RecordAgentState(int dispatcher) {
  if (!context_.deployment.lists_pushed || outages_ > 0)
    return;
  for (int worker = 0; worker < context_.table.workers; ++worker)
    RecordAnnouncement(dispatcher, address_number(dispatcher), worker,
                       Current(dispatcher)->list().at(worker).at("state") == kServing);
}

void FleetDiscovery::RecordReachable(int dispatcher, bool reachable) {
  context_.recorder.Record(
      {.kind = Kind::kDiscoveryReachable, .dispatcher = dispatcher, .available = reachable});
}

void FleetDiscovery::RecordAnnouncement(int dispatcher, int address, int worker, bool serving) {
  context_.recorder.Record({.kind = Kind::kWorkerAnnounced,
                            .dispatcher = dispatcher,
                            .worker = worker,
                            .available = serving,
                            .discovery_address = address});
}

}  // namespace aldersill::fleet
