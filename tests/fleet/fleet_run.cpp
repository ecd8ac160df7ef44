#include "fleet/fleet_run.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "fleet/cluster_membership.h"
#include "fleet/dispatchers.h"
#include "fleet/fault_injector.h"
#include "fleet/fleet_discovery.h"
#include "fleet/idle_clients.h"
#include "fleet/keep_alive_clients.h"
#include "fleet/recorder.h"
#include "fleet/run_context.h"
#include "fleet/scheduler.h"
#include "fleet/service_clients.h"
#include "fleet/slow_clients.h"
#include "fleet/worker_links.h"
#include "fleet/worker_stand_ins.h"
#include "net/event_ptr.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

constexpr Micros kTickInterval = 10 * kMillisecond;
constexpr Micros kConvergenceBound = 30 * kSecond;
constexpr int kMarginMs = 100;  // added to the timetable's length before the run may end

// Owns the parts of one run, and ends it once nothing is pending.
class FleetRun {
 public:
  FleetRun(const Timetable& table, const Deployment& deployment, const std::string& program)
      : table_(table),
        deployment_(deployment),
        base_(event_base_new()),
        scheduler_(base_.get()),
        context_{base_.get(), table_, deployment_, recorder_, scheduler_},
        workers_(context_),
        links_(context_, workers_),
        discovery_(context_, links_),
        dispatchers_(context_, &discovery_, MakeCluster(), program),
        clients_(context_, &dispatchers_),
        keep_alive_clients_(context_, &dispatchers_),
        idle_clients_(context_, &dispatchers_),
        slow_clients_(context_, &dispatchers_),
        faults_(context_, {.workers = &workers_,
                           .links = &links_,
                           .discovery = &discovery_,
                           .cluster = cluster_.get(),
                           .dispatchers = &dispatchers_,
                           .clients = &clients_,
                           .idle_clients = &idle_clients_,
                           .slow_clients = &slow_clients_}),
        tick_(base_.get(), [this] { Tick(); }) {}

  RunResult Run() {
    for (int dispatcher = 0; dispatcher < table_.dispatchers; ++dispatcher)
      dispatchers_.Start(dispatcher);
    ScheduleFaults();
    ScheduleRequests();
    keep_alive_clients_.Begin();
    ScheduleTick();
    event_base_dispatch(base_.get());
    dispatchers_.RecordUnfinishedRestarts();
    recorder_.Record({.kind = Kind::kRunEnded});
    dispatchers_.StopAll();
    return TakeResult();
  }

 private:
  ClusterMembership* MakeCluster() {
    if (table_.members)
      cluster_ = std::make_unique<ClusterMembership>(
          context_, [this](int dispatcher) { return dispatchers_.IsRunning(dispatcher); });
    return cluster_.get();
  }

  void ScheduleFaults() {
    for (const Fault& fault : table_.faults)
      scheduler_.RunIn(fault.at_ms, [this, fault] { faults_.Inject(fault); });
  }

  void ScheduleRequests() {
    for (int number = 0; number < table_.requests; ++number)
      scheduler_.RunIn(number * table_.length_ms / table_.requests,
                       [this, number] { clients_.SendRequest(number); });
  }

  void ScheduleTick() {
    tick_.Set(kTickInterval);
    recorder_.clock().ExpectTickIn(kTickInterval);
  }

  // Restarts dispatchers that have ended, and ends the run once it is over.
  void Tick() {
    recorder_.clock().AccountForStall();
    links_.DetectClosed();
    dispatchers_.Poll();
    if (IsOver()) {
      event_base_loopbreak(base_.get());
    } else {
      ScheduleTick();
    }
  }

  // Once nothing else is pending, the cluster has kConvergenceBound to converge.
  bool IsOver() {
    if (!NothingIsPending())
      return false;
    const Micros now = recorder_.clock().Now();
    if (!idle_since_)
      idle_since_ = now;
    converged_ = cluster_ == nullptr || cluster_->HasConverged();
    return converged_ || now - *idle_since_ > kConvergenceBound;
  }

  bool NothingIsPending() const {
    const bool all_sent = SteadyNow() - started_ >= (table_.length_ms + kMarginMs) * kMillisecond;
    // An attempt that is never stopped must not prolong the run for ever.
    const Micros last_end =
        std::max({clients_.last_end(), keep_alive_clients_.last_end(), slow_clients_.last_end()});
    const bool stop_overdue = SteadyNow() - last_end > 2 * deployment_.rules.slack;
    return all_sent && dispatchers_.AllUp() && dispatchers_.AllRestartsFinished() &&
           clients_.waiting() == 0 && keep_alive_clients_.waiting() == 0 && slow_clients_.waiting() == 0 &&
           (!links_.HasOpenAttempt() || stop_overdue);
  }

  RunResult TakeResult() {
    RunResult result;
    result.observations = recorder_.TakeObservations();
    result.injected_faults = faults_.injected();
    result.converged = converged_;
    if (cluster_ != nullptr)
      result.datagrams = cluster_->links().forwarded() + cluster_->links().dropped();
    result.retried_elsewhere = clients_.retried_elsewhere();
    result.flooding_clients = clients_.flooding();
    result.unexpected_exits = dispatchers_.unexpected_exits();
    result.seconds = static_cast<double>(SteadyNow() - started_) / kSecond;
    return result;
  }

  // Callbacks of a part may use the parts declared above it, which are destroyed after it.
  const Timetable table_;
  const Deployment deployment_;
  EventPtr<event_base> base_;
  Recorder recorder_;
  Scheduler scheduler_;
  RunContext context_;
  WorkerStandIns workers_;
  WorkerLinks links_;
  FleetDiscovery discovery_;
  std::unique_ptr<ClusterMembership> cluster_;  // null if the dispatchers do not form a cluster
  Dispatchers dispatchers_;
  ServiceClients clients_;
  KeepAliveClients keep_alive_clients_;
  IdleClients idle_clients_;
  SlowClients slow_clients_;
  FaultInjector faults_;
  Timer tick_;
  const Micros started_ = SteadyNow();
  std::optional<Micros> idle_since_;  // time since which only convergence is pending
  bool converged_ = true;
};

}  // namespace

RunResult RunTimetable(const Timetable& table, const Deployment& deployment, const std::string& program) {
  return FleetRun(table, deployment, program).Run();
}

}  // namespace aldersill::fleet
