// The discovery service of a run: one StandInDiscovery for each dispatcher and each address at which that
// dispatcher has reached discovery. All receive the same changes of the list. Discovery can have outages,
// fail for one dispatcher, and move to a new address.
#ifndef ALDERSILL_TESTS_FLEET_FLEET_DISCOVERY_H_
#define ALDERSILL_TESTS_FLEET_FLEET_DISCOVERY_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/discovery.h"
#include "fleet/run_context.h"
#include "fleet/worker_links.h"

namespace aldersill::fleet {

class FleetDiscovery {
 public:
  FleetDiscovery(const RunContext& context, const WorkerLinks& links);

  // The port at which `dispatcher` reaches discovery now.
  std::uint16_t port(int dispatcher) const { return Current(dispatcher)->port(); }
  bool HasMoved(int dispatcher) const { return address_number(dispatcher) > 0; }
  // The number of the current address; 0 before the first move.
  int address_number(int dispatcher) const { return static_cast<int>(discoveries_[dispatcher].size()) - 1; }
  // Returns the list at the start of the run, with the addresses at which `dispatcher` reaches the workers.
  nlohmann::json InitialList(int dispatcher) const;

  // Changes a worker's state in the lists of all dispatchers. A change during an outage is applied at its
  // end.
  void ChangeWorker(int worker, const std::string& state);
  // An outage affects all dispatchers. Outages may overlap; discovery is up again after the last has ended.
  void BeginOutage();
  void EndOutage();
  // Opens a new address with different list versions for the dispatcher. Returns the discovery at the old
  // address, which still serves.
  StandInDiscovery* Move(int dispatcher);
  // Makes the calls of one dispatcher fail. Returns the failing discovery, which the caller passes to
  // EndFailure, because discovery may have moved by then.
  StandInDiscovery* BeginFailure(int dispatcher, StandInDiscovery::FailureMode mode);
  void EndFailure(int dispatcher, StandInDiscovery* discovery);
  void IgnorePendingCalls(int dispatcher) { Current(dispatcher)->IgnorePendingCalls(); }
  // Records the states in an agent's list as announced to the dispatcher. Does nothing during an outage or if
  // discovery is polled. Call it when the dispatcher starts.
  void RecordAgentState(int dispatcher);

 private:
  struct Change {
    int worker = 0;
    std::string state;
  };
  StandInDiscovery* Current(int dispatcher) const { return discoveries_[dispatcher].back().get(); }
  std::unique_ptr<StandInDiscovery> Make(int dispatcher, nlohmann::json list, std::uint64_t version);
  void SetAllDown(bool down);
  void RecordReachable(int dispatcher, bool reachable);
  void RecordAnnouncement(int dispatcher, int address, int worker, bool serving);

  RunContext context_;
  const WorkerLinks& links_;
  // The discoveries at all addresses of each dispatcher, by dispatcher. The last one is at the current
  // address.
  std::vector<std::vector<std::unique_ptr<StandInDiscovery>>> discoveries_;
  int outages_ = 0;                     // number of outages that have not ended
  std::deque<Change> delayed_changes_;  // applied when the last outage ends
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_FLEET_DISCOVERY_H_
