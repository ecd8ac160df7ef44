// Rule: once discovery has announced to a dispatcher that a worker drains or is gone, and the drain grace has
// passed, the dispatcher starts no new attempt at that worker. A change counts as announced after a fixed
// time, even if the announcement did not arrive, unless the dispatcher could not reach discovery.
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
  // A change that discovery received while the dispatcher could not reach it counts from the time at which
  // discovery is reachable again.
  void DiscoveryReachable(const Observation& reachable);
  void WorkerAnnounced(const Observation& announcement);
  // Discards all announcements to the dispatcher, as the new process has not received any.
  void DispatcherStarted(const Observation& started);
  // Changes that discovery has received, or receives before it first announces anything at the new address,
  // count as announced Rules::reload_bound after the reload that moved it.
  void DispatcherReloaded(const Observation& reloaded);
  // A stopped process cannot read announcements, so its time limits start when it resumes.
  void DispatcherResumed(const Observation& resumed);

  // Returns whether the attempt violates the rule.
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
  // A move of a dispatcher to an address at which discovery has not announced anything to it yet.
  struct Move {
    std::int64_t at = 0;  // time of the first move since the last announcement at a current address
    int address = 0;      // number of the address of the latest move
  };
  std::map<int, Move> moves_;  // by dispatcher
  Since announced_;            // time at which discovery wrote the change to the dispatcher
  Since counts_as_announced_;  // time from which the change counts as announced in any case
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_DRAIN_RULE_H_
