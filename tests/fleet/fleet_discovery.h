// The discovery service of a run: one StandInDiscovery for each dispatcher, which all get the same changes of
// the list, and which have outages, fail and move.
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

  // Where `dispatcher` reaches discovery now.
  std::uint16_t port(int dispatcher) const { return Current(dispatcher)->port(); }
  bool HasMoved(int dispatcher) const { return address_number(dispatcher) > 0; }
  // Of the present address.
  int address_number(int dispatcher) const { return static_cast<int>(discoveries_[dispatcher].size()) - 1; }
  // The list as it was at the start of the run.
  nlohmann::json InitialList(int dispatcher) const;

  // Changes a worker's state in the lists of all dispatchers; during an outage, after its end.
  void ChangeWorker(int worker, const std::string& state);
  // Outages of the whole service may overlap.
  void BeginOutage();
  void EndOutage();
  // Opens a new address with other versions. Returns the old one, which still serves.
  StandInDiscovery* Move(int dispatcher);
  // Lets the calls of one dispatcher fail. Returns what must be passed to EndFailure, as discovery may move
  // meanwhile.
  StandInDiscovery* BeginFailure(int dispatcher, StandInDiscovery::FailureMode mode);
  void EndFailure(int dispatcher, StandInDiscovery* discovery);
  void IgnorePendingCalls(int dispatcher) { Current(dispatcher)->IgnorePendingCalls(); }
  // What an agent has counts as announced to a dispatcher from the dispatcher's start on.
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
  // Of each dispatcher; the last one is where discovery is now.
  std::vector<std::vector<std::unique_ptr<StandInDiscovery>>> discoveries_;
  int outages_ = 0;                     // that have not ended
  std::deque<Change> delayed_changes_;  // until the end of the outages
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_FLEET_DISCOVERY_H_
