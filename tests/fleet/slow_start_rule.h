// Rule: a worker that has just started receives no more calls from all dispatchers together, in a window,
// than its slow-start share of what a warm worker bears, and what chance adds to that.
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
  // Counts an attempt. Returns the calls in the window that ends with it, as a share of what is allowed:
  // above 1.0 the rule is broken. 0.0 for a worker that is not in slow start.
  double AddAttempt(const Observation& attempt);

 private:
  // The mean number of calls N that is allowed plus two standard deviations, and 2 for small N.
  double AllowedCalls(std::int64_t since_start) const;

  const Rules& rules_;
  std::map<int, std::optional<std::int64_t>> started_at_;  // by worker
  std::map<int, std::deque<std::int64_t>> calls_;          // their times within the window, by worker
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SLOW_START_RULE_H_
