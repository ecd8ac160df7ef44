// A random scenario for a virtual cluster, drawn from a seed: the number of members, the network's loss and
// delays, and a schedule of kills, restarts, pauses, departures, partitions and one-way cuts. Some invariants
// of membership, probe sharing and the lease are checked during the faults, the others after the faults have
// ended.
#ifndef ALDERSILL_TESTS_CLUSTER_CLUSTER_SCENARIO_H_
#define ALDERSILL_TESTS_CLUSTER_CLUSTER_SCENARIO_H_

#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "virtual_cluster/virtual_cluster.h"

namespace aldersill::tests {

struct ClusterVerdict {
  std::string violation;  // the first violated invariant; empty if there was none
  // The longest time that a worker had no running owner, and the time allowed.
  Micros ownerless = 0, ownerless_bound = 0;
  // Totals over all members. `leases` counts acquired leases.
  std::uint64_t takeovers = 0, deaths_refuted = 0, leases = 0;
};

class ClusterScenario {
 public:
  // `verbose`: print the events of the run.
  ClusterScenario(std::uint64_t seed, bool verbose);

  // Runs the scenario up to the first violation or to its end. Call once.
  ClusterVerdict Play();
  tools::VirtualCluster& cluster() { return *cluster_; }

 private:
  // Records the violation unless there is an earlier one.
  void ReportViolation(const std::string& text);
  // Prints the text with the time if the scenario is verbose.
  void PrintEvent(const std::string& text) const;
  void InstallCallbacks();
  void CheckLeaseChange(int member, const cluster::LeaseChange& change);

  // Schedule the faults. The parameters of a fault are drawn when it is scheduled.
  void PlanFaults();
  void PlanKill(Micros at, int member, Micros duration);
  void PlanRestart(Micros at, int member);
  void PlanPause(Micros at, int member, Micros duration);
  void PlanPartition(Micros at, Micros duration);
  void PlanCut(Micros at, int member, Micros duration);
  void PlanDeparture(Micros at, int member, Micros duration);
  // Number of members that are running and not paused.
  int CountServing() const;
  // Drops the last results of a member whose process has ended: a new process may get older ones again.
  void ForgetResults(int member);
  // Kills the member unless it is the last one serving. `how` is the verb phrase of the printed event.
  void StopMember(int member, const char* how);
  void StartMember(int member);
  void ResumeAll();
  // Heals the network and resumes the members. One member may be killed for good. Then waits until the
  // cluster must have converged.
  void EndFaults();

  void CheckOwners();
  void CheckViews();
  void CheckProbes();
  void CheckLease();

  const bool verbose_;
  pcg32 random_;
  int members_ = 0;
  cluster::Settings settings_;
  std::unique_ptr<tools::VirtualCluster> cluster_;
  ClusterVerdict verdict_;
  std::uint64_t last_term_ = 0;
  std::map<std::pair<int, std::string>, duties::Stamp> last_results_;  // by (member, worker)
  std::map<std::string, std::vector<Micros>> probe_times_;             // by worker
  std::map<std::string, Micros> ownerless_since_;                      // by worker; 0 while it has an owner
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_CLUSTER_CLUSTER_SCENARIO_H_
