#include "fleet/soak_timetable.h"

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <utility>

namespace aldersill::fleet {
namespace {

constexpr std::uint64_t kRandomStream = 4;
constexpr int kDispatchers = 8, kWorkers = 6;
constexpr int kLengthMs = 16'000;
constexpr int kKeepAliveClients = 32;
constexpr int kIdleClientsPerDispatcher = 60;
constexpr int kPreviousAddressMs = 1'500;  // time for which calls at the previous address stay open
constexpr int kSlowRequests = 24, kSlowRequestsBeforeMs = 1'000;
constexpr int kNewConnectionsMs = 300;  // time after SIGTERM in which new connections begin
constexpr int kHangAfterMs = 500, kHangThroughShutdownMs = 3'500;
constexpr int kLastMoveMs = 9'000;  // early enough that its time limits end within the run
constexpr std::array<int, 5> kFleetSizes = {3, 100, 178, 198, 300};
// How a dispatcher's calls at the new address of discovery fail.
constexpr std::array<FaultKind, 4> kNewAddressFaults = {
    FaultKind::kIgnoredDiscoveryCalls, FaultKind::kDiscoveryErrors, FaultKind::kDiscoveryLosses,
    FaultKind::kDiscoveryRefused};

// Draws one timetable. The order of the draws determines it, so it must not change.
class SoakBuilder {
 public:
  SoakBuilder(std::uint64_t seed, const std::string& deployment) : random_(seed, kRandomStream) {
    table_.seed = seed;
    table_.deployment = deployment;
    table_.dispatchers = kDispatchers;
    table_.workers = kWorkers;
    table_.requests = 400;
    table_.length_ms = kLengthMs;
    table_.keep_alive_clients = kKeepAliveClients;
    table_.configured_fleet_size = kFleetSizes[seed % kFleetSizes.size()];
  }

  Timetable Build() {
    for (int dispatcher = 0; dispatcher < kDispatchers; ++dispatcher)
      AddMoves(dispatcher);
    AddDrains();
    AddRestarts();
    AddHangs();
    if (table_.seed % 3 == 0)
      AddIdleClients();
    if (table_.seed % 4 == 0)
      AddOutage();
    std::ranges::stable_sort(table_.faults, {}, &Fault::at_ms);
    return std::move(table_);
  }

 private:
  int Between(int from, int to) { return from + static_cast<int>(random_(to - from + 1)); }
  void Add(Fault fault) { table_.faults.push_back(fault); }

  // One to three reloads in series. The last one always moves discovery, the others often do. In two of three
  // cases the calls at the last address fail.
  void AddMoves(int dispatcher) {
    int at_ms = Between(1'500, kLastMoveMs - 3'000);
    for (int left = Between(1, 3); left > 0; --left) {
      const bool moves = left == 1 || Between(0, 2) > 0;
      Add({.at_ms = at_ms,
           .kind = moves ? FaultKind::kDiscoveryMove : FaultKind::kReload,
           .dispatcher = dispatcher,
           .worker = kAllWorkers,
           .for_ms = kPreviousAddressMs});
      if (left > 1)
        at_ms += Between(20, 1'500);
    }
    if (Between(0, 2) > 0)
      Add({.at_ms = at_ms + 1,
           .kind = kNewAddressFaults[static_cast<std::size_t>(Between(0, 3))],
           .dispatcher = dispatcher,
           .worker = kAllWorkers,
           .for_ms = Between(500, 6'500)});
    first_move_ms_ = std::min(first_move_ms_, at_ms);
  }

  // Drains half of the workers while discovery moves. They do not return within the run.
  void AddDrains() {
    for (int worker = 0; worker < kWorkers / 2; ++worker)
      Add({.at_ms = Between(first_move_ms_, kLastMoveMs),
           .kind = FaultKind::kDrain,
           .worker = worker,
           .for_ms = 2 * kLengthMs});
  }

  // Restarts one dispatcher after another until the run is nearly over. Around each SIGTERM clients begin
  // requests that they complete during the shutdown. In half of the shutdowns a worker hangs until the
  // shutdown ends.
  void AddRestarts() {
    int dispatcher = Between(0, kDispatchers - 1);
    for (int at_ms = Between(1'200, 3'000); at_ms < kLengthMs - 4'500; at_ms += Between(700, 2'000)) {
      Add({.at_ms = at_ms, .kind = FaultKind::kRestart, .dispatcher = dispatcher, .worker = kAllWorkers});
      Add({.at_ms = at_ms - kSlowRequestsBeforeMs,
           .kind = FaultKind::kSlowRequests,
           .dispatcher = dispatcher,
           .worker = kAllWorkers,
           .for_ms = kSlowRequestsBeforeMs + kNewConnectionsMs,
           .amount = kSlowRequests});
      if (Between(0, 1) == 0)
        Add({.at_ms = at_ms + kHangAfterMs,
             .kind = FaultKind::kHang,
             .worker = Between(kWorkers / 2, kWorkers - 1),
             .for_ms = kHangThroughShutdownMs});
      dispatcher = (dispatcher + 1) % kDispatchers;
    }
  }

  void AddHangs() {
    for (int left = Between(2, 4); left > 0; --left)
      Add({.at_ms = Between(1'000, kLengthMs - 5'000),
           .kind = FaultKind::kHang,
           .worker = Between(0, kWorkers - 1),
           .for_ms = Between(500, 4'000)});
  }

  void AddIdleClients() {
    table_.variant = SettingsVariant::kFewSockets;
    for (int dispatcher = 0; dispatcher < kDispatchers; ++dispatcher)
      Add({.at_ms = 1'000,
           .kind = FaultKind::kIdleClients,
           .dispatcher = dispatcher,
           .worker = kAllWorkers,
           .for_ms = kLengthMs - 4'000,
           .amount = kIdleClientsPerDispatcher});
  }

  void AddOutage() {
    Add({.at_ms = Between(2'000, 8'000),
         .kind = FaultKind::kDiscoveryOutage,
         .worker = kAllWorkers,
         .for_ms = Between(1'000, 4'000)});
  }

  pcg32 random_;
  Timetable table_;
  int first_move_ms_ = kLastMoveMs;
};

}  // namespace

Timetable DrawSoakTimetable(std::uint64_t seed, const std::string& deployment) {
  return SoakBuilder(seed, deployment).Build();
}

}  // namespace aldersill::fleet
