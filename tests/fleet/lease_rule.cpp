#include "fleet/lease_rule.h"

#include <algorithm>

namespace aldersill::fleet {

void LeaseRule::LeaseReported(const Observation& report) {
  const auto same = std::ranges::find_if(holdings_, [&](const Holding& holding) {
    return holding.dispatcher == report.dispatcher && holding.term == report.term;
  });
  if (same == holdings_.end()) {
    holdings_.push_back(
        {.dispatcher = report.dispatcher, .term = report.term, .from = report.at, .to = report.at});
    return;
  }
  same->to = std::max(same->to, report.asked_at);
}

std::vector<std::string> LeaseRule::Violations() const {
  const auto describe = [](const Holding& holding) {
    return "d" + std::to_string(holding.dispatcher) + " under term " + std::to_string(holding.term);
  };
  std::vector<std::string> violations;
  for (std::size_t later = 0; later < holdings_.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (Overlap(holdings_[earlier], holdings_[later]))
        violations.push_back("two dispatchers held the lease at once: " + describe(holdings_[earlier]) +
                             ", " + describe(holdings_[later]));
    }
  }
  return violations;
}

bool LeaseRule::Overlap(const Holding& first, const Holding& second) {
  return first.dispatcher != second.dispatcher &&
         std::max(first.from, second.from) < std::min(first.to, second.to);
}

}  // namespace aldersill::fleet
