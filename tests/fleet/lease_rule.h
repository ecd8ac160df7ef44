// Rule: no two dispatchers hold the lease of the exclusive duty at the same time. A dispatcher certainly held
// it between two of its own reports under the same term: from the arrival of the first to the question that
// led to the last.
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
  std::vector<std::string> Violations() const;
  int terms() const { return static_cast<int>(holdings_.size()); }

 private:
  struct Holding {
    int dispatcher = -1;
    std::uint64_t term = 0;
    std::int64_t from = 0, to = 0;
  };
  static bool Overlap(const Holding& first, const Holding& second);

  std::vector<Holding> holdings_;  // by first report
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_LEASE_RULE_H_
