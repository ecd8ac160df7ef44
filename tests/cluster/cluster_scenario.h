// One random scenario for a virtual cluster, drawn from a seed: a number of members, a network with faults,
// and a plan of deaths, restarts, pauses, departures, splits and one-way cuts. Then every fault is mended,
// and the promises of membership, probe sharing and the lease are checked.
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
  std::string broken;  // the first broken promise; empty if all were kept
  Micros ownerless = 0, ownerless_bound = 0;
  std::uint64_t takeovers = 0, deaths_refuted = 0, leases = 0;
};

class ClusterScenario {
 public:
  ClusterScenario(std::uint64_t seed, bool verbose);

  ClusterVerdict Play();
  tools::VirtualCluster& cluster() { return *cluster_; }

 private:
  void Break(const std::string& what);
  void Say(const std::string& what) const;
  void Watch();
  void CheckLeaseChange(int member, const cluster::LeaseChange& change);

  // The plan of faults; each draws its parameters when it is planned.
  void PlanFaults();
  void PlanDeath(Micros at, int member, Micros duration);
  void PlanRestart(Micros at, int member);
  void PlanPause(Micros at, int member, Micros duration);
  void PlanSplit(Micros at, Micros duration);
  void PlanCut(Micros at, int member, Micros duration);
  void PlanDeparture(Micros at, int member, Micros duration);
  int Serving() const;
  void ForgetResults(int member);
  void TakeDown(int member, const char* how);
  void BringUp(int member);
  void ResumeAll();
  void MendAll();

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
