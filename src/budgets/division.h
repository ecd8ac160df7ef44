// Weighted max-min: nobody gets more than it wants while another, in proportion to its weight, has less and
// wants more.
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

// One share for each claim; their sum is never above `whole`. Each has at least its part by weight of
// `floors` (for who has just come, and has had no chance to show a demand). What nobody wants is divided by
// weight.
std::vector<Units> Divide(Units total, Units floors, const std::vector<Claim>& claims);

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_DIVISION_H_
