// Searches seeds for a scenario in which a fleet exceeds a budget.
#include <algorithm>
#include <cstdio>

#include "budget_scenario.h"
#include "support/seed_search.h"

int main(int argc, char** argv) {
  namespace tests = aldersill::tests;
  std::int64_t starts = 0;
  double burst = 0;
  tests::SeedSearch search;
  search.description = "Searches seeds for a run in which a fleet exceeds a budget.";
  search.play = [&](std::uint64_t seed, bool verbose) {
    tests::BudgetScenario scenario(seed, verbose);
    std::string violation = scenario.Play();
    for (const std::int64_t served : scenario.fleet().served)
      starts += served;
    burst = std::max(burst, scenario.fleet().LargestBurst());
    return violation;
  };
  search.summary = [&] {
    char text[100];
    std::snprintf(text, sizeof(text), "%lld starts, largest burst %.1f", static_cast<long long>(starts),
                  burst);
    return std::string(text);
  };
  return tests::RunSeedSearch(argc, argv, search);
}
