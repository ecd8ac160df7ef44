// Injects the faults of a timetable into the parts of a run, and ends each after its duration.
#ifndef ALDERSILL_TESTS_FLEET_FAULT_INJECTOR_H_
#define ALDERSILL_TESTS_FLEET_FAULT_INJECTOR_H_

#include <functional>
#include <set>

#include "fleet/cluster_membership.h"
#include "fleet/dispatchers.h"
#include "fleet/fleet_discovery.h"
#include "fleet/idle_clients.h"
#include "fleet/run_context.h"
#include "fleet/service_clients.h"
#include "fleet/slow_clients.h"
#include "fleet/worker_links.h"
#include "fleet/worker_stand_ins.h"

namespace aldersill::fleet {

class FaultInjector {
 public:
  struct Targets {
    WorkerStandIns* workers = nullptr;
    WorkerLinks* links = nullptr;
    FleetDiscovery* discovery = nullptr;
    ClusterMembership* cluster = nullptr;  // null if the dispatchers do not know one another
    Dispatchers* dispatchers = nullptr;
    ServiceClients* clients = nullptr;
    IdleClients* idle_clients = nullptr;
    SlowClients* slow_clients = nullptr;
  };
  FaultInjector(const RunContext& context, const Targets& targets) : context_(context), targets_(targets) {}

  // Starts the fault now and schedules its end. Skips a fault that needs a running process while the
  // dispatcher is killed, paused or terminating.
  void Inject(Fault fault);
  int injected() const { return injected_; }

 private:
  using LinkAction = std::function<void(Relay*)>;
  using Impairment = DatagramLinks::Impairment;
  using ImpairmentAction = std::function<void(Impairment*)>;

  void InjectProcessFault(const Fault& fault);
  void InjectLinkFault(const Fault& fault);
  void InjectDiscoveryFault(const Fault& fault);
  void InjectClientFault(const Fault& fault);
  void InjectDatagramFault(const Fault& fault);

  void KillAndRestart(const Fault& fault);
  void Terminate(int dispatcher);
  void Restart(int dispatcher);
  void PauseAndResume(const Fault& fault);
  void ResetConnections(const Fault& fault);
  void DrainWorker(const Fault& fault);
  void MoveDiscovery(const Fault& fault);
  void FailDiscoveryCalls(const Fault& fault, StandInDiscovery::FailureMode mode);
  void SendRandomDatagrams(const Fault& fault);

  // Calls `begin` on each link or impairment that the fault affects, and `end` after the fault's duration.
  void OnLinks(const Fault& fault, const LinkAction& begin, const LinkAction& end);
  void OnDatagrams(const Fault& fault, const ImpairmentAction& begin, const ImpairmentAction& end);

  RunContext context_;
  Targets targets_;
  std::set<int> draining_workers_;
  int injected_ = 0;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_FAULT_INJECTOR_H_
