#include "budgets/division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace aldersill::budgets {

std::vector<Units> Divide(Units total, Units floors, const std::vector<Claim>& claims) {
  std::vector<Units> shares(claims.size(), 0);
  double weights = 0;
  for (const Claim& c : claims)
    weights += c.weight;
  if (weights <= 0 || total <= 0)
    return shares;
  std::vector<double> wants(claims.size());
  for (std::size_t i = 0; i < claims.size(); ++i) {
    wants[i] = std::max(static_cast<double>(std::max<Units>(0, claims[i].demand)),
                        static_cast<double>(floors) * claims[i].weight / weights);
  }
  // Serves the claims in ascending order of want per weight, so that each claim below the fair level gets all
  // that it wants.
  std::vector<std::size_t> order(claims.size());
  std::iota(order.begin(), order.end(), 0);
  std::erase_if(order, [&](std::size_t i) { return claims[i].weight == 0; });
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return wants[a] * claims[b].weight < wants[b] * claims[a].weight;
  });
  double left = static_cast<double>(total), weights_left = weights;
  std::vector<double> exact(claims.size(), 0.0);
  for (const std::size_t i : order) {
    exact[i] = std::min(wants[i], left * claims[i].weight / weights_left);
    left -= exact[i];
    weights_left -= claims[i].weight;
  }
  Units given = 0;
  for (const std::size_t i : order) {
    // Rounds down, because rounding up could raise the sum above `total`. The 1e-6 units make up for
    // floating-point errors just below a whole number.
    shares[i] = static_cast<Units>(std::floor(exact[i] + left * claims[i].weight / weights + 1e-6));
    shares[i] = std::min(shares[i], total - given);
    given += shares[i];
  }
  // Distributes the units left over by rounding, one for each claim whose share is below its want, the
  // largest want per weight first.
  for (auto at = order.rbegin(); at != order.rend() && given < total; ++at) {
    if (static_cast<double>(shares[*at]) < wants[*at]) {
      ++shares[*at];
      ++given;
    }
  }
  return shares;
}

}  // namespace aldersill::budgets
