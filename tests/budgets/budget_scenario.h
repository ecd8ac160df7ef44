// A random scenario for a fleet with budgets, drawn from a seed: a number of members, a network with faults,
// and a plan of deaths, restarts, pauses, splits, cuts, releases and changes of traffic. After the plan all
// faults are repaired, and the budgets must be in use again.
#ifndef ALDERSILL_TESTS_BUDGETS_BUDGET_SCENARIO_H_
#define ALDERSILL_TESTS_BUDGETS_BUDGET_SCENARIO_H_

#include <cstdint>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "fleet.h"

namespace aldersill::tests {

class BudgetScenario {
 public:
  BudgetScenario(std::uint64_t seed, bool verbose);

  // Returns the first violation; empty if there was none.
  std::string Play();
  Fleet& fleet() { return *fleet_; }

 private:
  // Prints `what` with the virtual time, if verbose.
  void Log(const std::string& what) const;

  // Schedules the faults. Each draws its parameters when it is scheduled.
  void PlanFaults();
  void PlanDeath(Micros at, int member, Micros duration);
  void PlanRestart(Micros at, int member);
  void PlanPause(Micros at, int member, Micros duration);
  void PlanSplit(Micros at, Micros duration);
  void PlanCut(Micros at, int member, Micros duration);
  void PlanRelease(Micros at, int member, Micros duration);
  void PlanLoad(Micros at, int member);

  void Kill(int member);
  void Start(int member);
  void RepairAll();

  const bool verbose_;
  pcg32 random_;
  int stated_members_ = 0;  // `instances` of the settings; one more may start
  std::unique_ptr<Fleet> fleet_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_BUDGETS_BUDGET_SCENARIO_H_
