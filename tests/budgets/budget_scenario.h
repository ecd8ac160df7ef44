// One random scenario for a fleet with budgets, drawn from a seed: a number of members, a network with
// faults, and a plan of deaths, restarts, pauses, splits, cuts, departures and shifts of traffic. Then every
// fault is mended, and the budgets must be in use again.
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

  // The broken promise; empty if all were kept.
  std::string Play();
  Fleet& fleet() { return *fleet_; }

 private:
  void Say(const std::string& what) const;

  // The plan of faults; each draws its parameters when it is planned.
  void PlanFaults();
  void PlanDeath(Micros at, int member, Micros duration);
  void PlanRestart(Micros at, int member);
  void PlanPause(Micros at, int member, Micros duration);
  void PlanSplit(Micros at, Micros duration);
  void PlanCut(Micros at, int member, Micros duration);
  void PlanRelease(Micros at, int member, Micros duration);
  void PlanLoad(Micros at, int member);

  void Kill(int member);
  void Begin(int member);
  void MendAll();

  const bool verbose_;
  pcg32 random_;
  int stated_members_ = 0;  // `instances` of the settings; one more may begin
  std::unique_ptr<Fleet> fleet_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_BUDGETS_BUDGET_SCENARIO_H_
