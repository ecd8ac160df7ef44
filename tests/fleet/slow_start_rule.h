// Rule: the calls that a worker in slow start receives from all dispatchers together in a window do not
// exceed its slow-start share of a warm worker's calls, plus a margin for random variation.
#ifndef ALDERSILL_TESTS_FLEET_SLOW_START_RULE_H_
#define ALDERSILL_TESTS_FLEET_SLOW_START_RULE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "fleet/checker.h"

namespace aldersill::fleet {

class SlowStartRule {
 public:
  explicit SlowStartRule(const Rules& rules) : rules_(rules) {}

  void WorkerChanged(const Observation& change);
  // Counts an attempt. Returns the number of calls in the window that ends with it, divided by the allowed
  // number: above 1.0 the rule is violated. Returns 0.0 if the worker is not in slow start.
  double AddAttempt(const Observation& attempt);

 private:
  // Returns the allowed number of calls `since_start` microseconds after the worker's start: the expected
  // number N, plus two standard deviations (of sqrt(N) each), plus 2 because N may be small.
  double AllowedCalls(std::int64_t since_start) const;

  const Rules& rules_;
  std::map<int, std::optional<std::int64_t>> started_at_;  // by worker
  std::map<int, std::deque<std::int64_t>> calls_;          // times of the calls in the window, by worker
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SLOW_START_RULE_H_
