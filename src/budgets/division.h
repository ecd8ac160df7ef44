// Divides a budget by weighted max-min fairness: no claim gets more than it demands while another claim has
// less in proportion to its weight and demands more.
#ifndef ALDERSILL_SRC_BUDGETS_DIVISION_H_
#define ALDERSILL_SRC_BUDGETS_DIVISION_H_

#include <cstdint>
#include <vector>

#include "budgets/types.h"

namespace aldersill::budgets {

struct Claim {
  Units demand = 0;
  std::uint32_t weight = 100;
};

// Returns one share for each claim; the sum of the shares is at most `total`. Each claim counts as demanding
// at least its part of `floors` by weight, for instances that have just joined and could not show a demand
// yet. What remains after all demands are met is divided by weight. A claim of weight 0 gets nothing.
std::vector<Units> Divide(Units total, Units floors, const std::vector<Claim>& claims);

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_DIVISION_H_
