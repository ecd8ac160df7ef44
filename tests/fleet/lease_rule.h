// Rule: no two dispatchers hold the lease of the exclusive duty at the same time. A dispatcher certainly held
// it between two of its reports under the same term: from the arrival of the first report to the query that
// the last report answered.
#ifndef ALDERSILL_TESTS_FLEET_LEASE_RULE_H_
#define ALDERSILL_TESTS_FLEET_LEASE_RULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/checker.h"

namespace aldersill::fleet {

class LeaseRule {
 public:
  void LeaseReported(const Observation& report);
  // Returns one line for each pair of dispatchers that held the lease at the same time.
  std::vector<std::string> Violations() const;
  // The number of terms under which a dispatcher held the lease.
  int terms() const { return static_cast<int>(holdings_.size()); }

 private:
  // The time, in microseconds, during which a dispatcher certainly held the lease under one term.
  struct Holding {
    int dispatcher = -1;
    std::uint64_t term = 0;
    std::int64_t from = 0, to = 0;
  };
  static bool Overlap(const Holding& first, const Holding& second);

  std::vector<Holding> holdings_;  // in the order of their first reports
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_LEASE_RULE_H_
