#include "fleet/timetable.h"

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <utility>

namespace aldersill::fleet {
namespace {

// The jobs are drawn from other random streams, so that adding or removing a fault does not change them.
constexpr std::uint64_t kRandomStream = 1;
constexpr int kIgnoredCallsLengthMs = 9'000;
constexpr int kDiscoveryFailuresLengthMs = 10'000;
constexpr int kRestartsLengthMs = 12'500;
constexpr int kSlowStartLengthMs = 5'000;
// Period in which connections are established late, and the time after its start at which clients leave,
// before the first of these connections can be established.
constexpr int kDelayedConnectsMs = 600, kLeaveAfterMs = 350;

// The random numbers of a seed. The order of the draws determines the timetable, so it must not change.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : random_(seed, kRandomStream) {}
  int Between(int from, int to) { return from + static_cast<int>(random_(to - from + 1)); }
  FaultKind KindBetween(FaultKind first, FaultKind last) {
    return static_cast<FaultKind>(Between(static_cast<int>(first), static_cast<int>(last)));
  }

 private:
  pcg32 random_;
};

// Both ends are included.
struct Range {
  int from = 0, to = 0;
};

// Draws one timetable.
class TimetableBuilder {
 public:
  TimetableBuilder(std::uint64_t seed, const std::string& deployment, int dispatchers, int workers)
      : draws_(seed) {
    table_.seed = seed;
    table_.deployment = deployment;
    table_.members = seed % 3 == 0;
    table_.dispatchers = dispatchers;
    table_.workers = workers;
  }

  Timetable Build() {
    if (table_.seed % 5 == 0)
      AddIgnoredCalls();
    AddDrawnFault(FaultKind::kDrain, {200, 1'200}, {1'500, 3'000});
    AddDrawnFault(FaultKind::kHang, {200, 2'000}, {200, 800});
    AddAnyFaults();
    if (table_.members)
      AddMemberFaults();
    // These are drawn last, so that they do not change the other faults.
    AddFaultsOfLastDigit();
    std::ranges::stable_sort(table_.faults, {}, &Fault::at_ms);
    return std::move(table_);
  }

 private:
  void AddIgnoredCalls() {
    table_.length_ms = kIgnoredCallsLengthMs;
    AddDrawnFault(FaultKind::kIgnoredDiscoveryCalls, {800, 1'200}, {0, 0});
    AddDrawnFault(FaultKind::kDrain, {1'200, 1'500}, {kIgnoredCallsLengthMs, kIgnoredCallsLengthMs});
  }

  Fault& AddDrawnFault(FaultKind kind, Range at_ms, Range for_ms) {
    Fault fault;
    fault.kind = kind;
    fault.at_ms = draws_.Between(at_ms.from, at_ms.to);
    fault.dispatcher = draws_.Between(0, table_.dispatchers - 1);
    fault.worker = draws_.Between(0, table_.workers - 1);
    fault.for_ms = draws_.Between(for_ms.from, for_ms.to);
    return table_.faults.emplace_back(fault);
  }

  void AddAnyFaults() {
    for (int left = draws_.Between(6, 14); left > 0; --left) {
      Fault fault;
      fault.kind = draws_.KindBetween(FaultKind::kKill, FaultKind::kDiscoveryOutage);
      fault.at_ms = draws_.Between(100, table_.length_ms - 300);
      fault.dispatcher = draws_.Between(0, table_.dispatchers - 1);
      const bool of_worker = fault.kind == FaultKind::kHang || fault.kind == FaultKind::kDrain;
      const bool of_all_links = !of_worker && draws_.Between(0, 2) == 0;
      fault.worker = of_all_links ? kAllWorkers : draws_.Between(0, table_.workers - 1);
      fault.for_ms = draws_.Between(50, 1'500);
      fault.amount = fault.kind == FaultKind::kRateLimit ? draws_.Between(4, 64) : draws_.Between(5, 400);
      table_.faults.push_back(fault);
    }
  }

  void AddMemberFaults() {
    for (int left = draws_.Between(3, 8); left > 0; --left) {
      const FaultKind kind = draws_.KindBetween(FaultKind::kUdpCut, FaultKind::kUdpRandomDatagrams);
      Fault& fault = AddDrawnFault(kind, {100, table_.length_ms - 300}, {300, kLongerThanLease});
      const bool of_all_peers = draws_.Between(0, 1) == 0;
      fault.worker =
          of_all_peers ? -1 : (fault.dispatcher + draws_.Between(1, table_.dispatchers)) % table_.dispatchers;
      fault.amount = draws_.Between(10, 90);
    }
    // Pauses the lease holder, or a voter if no member holds the lease, for longer than a lease lasts.
    Fault& pause = AddDrawnFault(FaultKind::kPause, {1'200, 1'800}, {kLongerThanLease, kLongerThanLease});
    pause.dispatcher %= kVoters;
  }

  void AddFaultsOfLastDigit() {
    const int dispatcher = draws_.Between(0, table_.dispatchers - 1);
    const int worker = draws_.Between(0, table_.workers - 1);
    switch (table_.seed % 10) {
      case 1:
      case 4:
        return AddLeavingClients(dispatcher);
      case 2:
      case 8:
        return AddShutdownsUnderLoad(dispatcher, worker);
      case 5:
        // Calls to the consortium's local agents do not fail.
        if (table_.deployment != "consortium")
          AddDiscoveryFailures(dispatcher, worker);
        return;
      case 6:
        return AddIdleClients(dispatcher);
      case 7:
        return AddSlowStart(worker);
      case 9:
        return AddRestartsDuringOutage(dispatcher);
      default:
        return;
    }
  }

  // Adds the fault. Dispatcher numbers beyond the last one wrap around.
  void Add(Fault fault) {
    fault.dispatcher %= table_.dispatchers;
    table_.faults.push_back(fault);
  }

  // Clients leave while the connections of their attempts are established late.
  void AddLeavingClients(int first) {
    table_.variant = SettingsVariant::kLongDialTimeout;
    table_.requests = 400;
    for (int index = 0; index < 8; ++index) {
      const int at_ms = draws_.Between(300, 1'800);
      Add({.at_ms = at_ms,
           .kind = FaultKind::kDelayedConnects,
           .dispatcher = first + index,
           .worker = kAllWorkers,
           .for_ms = kDelayedConnectsMs});
      Add({.at_ms = at_ms + kLeaveAfterMs,
           .kind = FaultKind::kClientsLeave,
           .dispatcher = first + index,
           .worker = kAllWorkers,
           .amount = 3 - index % 4});
    }
  }

  // Dispatchers receive SIGTERM while workers hang, one of them while requests arrive on idle connections.
  void AddShutdownsUnderLoad(int first, int worker) {
    const int at_ms = draws_.Between(800, 1'500);
    for (int index = 0; index < 2; ++index)
      Add({.at_ms = at_ms - 100,
           .kind = FaultKind::kHang,
           .worker = (worker + index) % table_.workers,
           .for_ms = 800});
    for (int index = 0; index < 3; ++index)
      Add({.at_ms = at_ms + 50 * index,
           .kind = FaultKind::kTerminate,
           .dispatcher = first + index,
           .worker = kAllWorkers});
    Add({.at_ms = at_ms,
         .kind = FaultKind::kRequestsDuringShutdown,
         .dispatcher = first + 3,
         .worker = kAllWorkers,
         .for_ms = 40,
         .amount = 40});
  }

  // Calls to discovery fail for six dispatchers, and two workers drain right after.
  void AddDiscoveryFailures(int first, int worker) {
    table_.length_ms = kDiscoveryFailuresLengthMs;
    table_.requests = 900;
    const int drains_at_ms = draws_.Between(700, 900);
    constexpr std::array kinds = {FaultKind::kDiscoveryErrors, FaultKind::kDiscoveryLosses,
                                  FaultKind::kDiscoveryErrors, FaultKind::kDiscoveryRefused,
                                  FaultKind::kDiscoveryErrors, FaultKind::kDiscoveryLosses};
    int dispatcher = first;
    for (const FaultKind kind : kinds) {
      Fault fault = {.kind = kind, .dispatcher = dispatcher++, .worker = kAllWorkers};
      DrawDiscoveryFailureTimes(&fault);
      Add(fault);
    }
    AddDrainsOfUndrainedWorkers(worker, drains_at_ms);
  }

  void DrawDiscoveryFailureTimes(Fault* fault) {
    const bool refused = fault->kind == FaultKind::kDiscoveryRefused;
    fault->for_ms = refused ? draws_.Between(600, 1'500) : kDiscoveryFailuresLengthMs;
    fault->at_ms = draws_.Between(300, 600);
  }

  // Drains two workers that no other fault drains, searching from `first` on.
  void AddDrainsOfUndrainedWorkers(int first, int at_ms) {
    int left = 2;
    for (int worker = first; worker < first + table_.workers && left > 0; ++worker) {
      if (IsDrained(worker % table_.workers))
        continue;
      Add({.at_ms = at_ms,
           .kind = FaultKind::kDrain,
           .worker = worker % table_.workers,
           .for_ms = 2 * kDiscoveryFailuresLengthMs});
      --left;
    }
  }

  bool IsDrained(int worker) const {
    return std::ranges::any_of(table_.faults, [worker](const Fault& fault) {
      return fault.kind == FaultKind::kDrain && fault.worker == worker;
    });
  }

  // Idle clients occupy sockets of six dispatchers while discovery is down.
  void AddIdleClients(int first) {
    table_.variant = SettingsVariant::kFewSockets;
    const int at_ms = draws_.Between(300, 800);
    Add({.at_ms = at_ms, .kind = FaultKind::kDiscoveryOutage, .worker = kAllWorkers, .for_ms = 1'500});
    for (int index = 0; index < 6; ++index)
      Add({.at_ms = at_ms,
           .kind = FaultKind::kIdleClients,
           .dispatcher = first + index,
           .worker = kAllWorkers,
           .for_ms = 1'500,
           .amount = 60});
  }

  // A worker restarts under load.
  void AddSlowStart(int worker) {
    table_.variant = SettingsVariant::kLongSlowStart;
    table_.length_ms = kSlowStartLengthMs;
    table_.requests = 200 * table_.workers;
    Add({.at_ms = 100, .kind = FaultKind::kDrain, .worker = worker, .for_ms = 400});
  }

  // Dispatchers are restarted during an outage of discovery.
  void AddRestartsDuringOutage(int first) {
    table_.length_ms = kRestartsLengthMs;
    Add({.at_ms = 500,
         .kind = FaultKind::kDiscoveryOutage,
         .worker = kAllWorkers,
         .for_ms = kRestartsLengthMs - 1'000});
    for (int index = 0; index < 6; ++index) {
      Fault fault = {.kind = index % 2 == 0 ? FaultKind::kKill : FaultKind::kTerminate,
                     .dispatcher = first + 2 * index,
                     .worker = kAllWorkers};
      fault.for_ms = draws_.Between(0, 300);
      fault.at_ms = draws_.Between(600, 1'200);
      Add(fault);
    }
  }

  Draws draws_;
  Timetable table_;
};

}  // namespace

FaultGroup GroupOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill:
    case FaultKind::kTerminate:
    case FaultKind::kPause:
    case FaultKind::kHang:
    case FaultKind::kRestart:
    case FaultKind::kReload:
      return FaultGroup::kProcess;
    case FaultKind::kCutToWorker:
    case FaultKind::kCutFromWorker:
    case FaultKind::kDelay:
    case FaultKind::kRateLimit:
    case FaultKind::kReset:
    case FaultKind::kDelayedConnects:
      return FaultGroup::kLink;
    case FaultKind::kClientsLeave:
    case FaultKind::kRequestsDuringShutdown:
    case FaultKind::kIdleClients:
    case FaultKind::kSlowRequests:
      return FaultGroup::kClient;
    default:
      return kind >= FaultKind::kUdpCut ? FaultGroup::kDatagram : FaultGroup::kDiscovery;
  }
}

bool NeedsRunningProcess(FaultKind kind) {
  return kind == FaultKind::kKill || kind == FaultKind::kTerminate || kind == FaultKind::kPause ||
         kind == FaultKind::kDiscoveryMove || kind == FaultKind::kRequestsDuringShutdown ||
         kind == FaultKind::kRestart || kind == FaultKind::kReload;
}

Timetable DrawTimetable(std::uint64_t seed, const std::string& deployment, int dispatchers, int workers) {
  return TimetableBuilder(seed, deployment, dispatchers, workers).Build();
}

}  // namespace aldersill::fleet
