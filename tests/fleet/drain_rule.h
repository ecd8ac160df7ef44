// Rule: after discovery has announced to a dispatcher that a worker drains or is gone, the dispatcher starts
// no new attempt at it later than the drain grace. A change counts as announced after a fixed time, whether
// or not it arrived, unless the dispatcher could not reach discovery.
#ifndef ALDERSILL_TESTS_FLEET_DRAIN_RULE_H_
#define ALDERSILL_TESTS_FLEET_DRAIN_RULE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "fleet/checker.h"

namespace aldersill::fleet {

class DrainRule {
 public:
  explicit DrainRule(const Rules& rules) : rules_(rules) {}

  void WorkerChanged(const Observation& change);
  // A change that discovery received while a dispatcher could not reach it counts from its return on.
  void DiscoveryReachable(const Observation& reachable);
  void WorkerAnnounced(const Observation& announcement);
  // A new process has received no announcement yet.
  void DispatcherStarted(const Observation& started);
  // All that discovery has counts some time after a reload that moves it, also what it gets until then.
  void DispatcherReloaded(const Observation& reloaded);
  // A stopped process reads no announcement: its time begins when it resumes.
  void DispatcherResumed(const Observation& resumed);

  bool Forbids(const Observation& attempt) const;

 private:
  using DispatcherAndWorker = std::pair<int, int>;
  using Since = std::map<DispatcherAndWorker, std::optional<std::int64_t>>;

  void CountAsAnnounced(int dispatcher, int worker, std::int64_t changed_at);
  bool IsLate(const Since& since, const Observation& attempt) const;

  const Rules& rules_;
  std::set<int> dispatchers_;
  std::set<int> unavailable_workers_;
  std::set<int> cut_off_dispatchers_;  // cannot reach discovery
  // Dispatchers that were moved to an address which has not announced anything to them yet.
  struct Move {
    std::int64_t at = 0;  // the first one since discovery last announced anything at the present address
    int address = 0;
  };
  std::map<int, Move> moves_;
  Since announced_;            // when discovery wrote the change to the dispatcher
  Since counts_as_announced_;  // when the change counts as announced in any case
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DRAIN_RULE_H_
