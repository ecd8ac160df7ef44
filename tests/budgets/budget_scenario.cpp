#include "budget_scenario.h"

#include <cstdio>
#include <set>

namespace aldersill::tests {
namespace {

constexpr Micros kFaultPeriod = 50 * kSecond;

}  // namespace

BudgetScenario::BudgetScenario(std::uint64_t seed, bool verbose) : verbose_(verbose), random_(seed, 78) {
  tools::VirtualBudgets::Options options;
  options.seed = seed;
  stated_members_ = 3 + static_cast<int>(random_(6));
  options.instances = stated_members_ + 1;  // one above the stated number; often it never starts
  options.voters = stated_members_ >= 5 && random_(2) == 0 ? 5 : 3;
  constexpr double kLoss[] = {0.0, 0.0, 0.02, 0.05, 0.2};
  options.network.loss = kLoss[random_(5)];
  options.network.duplicated = random_(2) == 0 ? 0.0 : 0.1;
  constexpr Micros kSlow[] = {300 * kMillisecond, 2 * kSecond, 6 * kSecond};
  if (random_(2) == 0) {
    options.network.slow = 0.05;
    options.network.max_slow_delay = kSlow[random_(3)];
  }
  options.max_drift = 0.01;
  options.max_clock_offset = 500 * kMillisecond;
  options.lease = 2 * kSecond;
  options.settings.grant_duration = 3 * kSecond;
  options.settings.instances = stated_members_;
  options.settings.budgets = SmallBudgets(stated_members_);
  fleet_ = std::make_unique<Fleet>(options);
  for (int i = 0; i <= stated_members_; ++i) {
    if (random_(4) == 0)
      fleet_->world.SetClock(i, random_(2) == 0 ? 1.01 : 0.99);
  }
}

std::string BudgetScenario::Play() {
  for (int i = 0; i <= stated_members_; ++i) {
    if (i < stated_members_ || random_(3) == 0)
      fleet_->world.At(static_cast<Micros>(random_(2'000'000)), [this, i] { fleet_->world.Start(i); });
  }
  PlanFaults();
  if (fleet_->RunUntil(kFaultPeriod))
    RepairAll();
  return fleet_->violation;
}

void BudgetScenario::Log(const std::string& what) const {
  if (verbose_)
    std::printf("%9.3f  %s\n", static_cast<double>(fleet_->world.now()) / kSecond, what.c_str());
}

void BudgetScenario::PlanFaults() {
  Micros at = 3 * kSecond;
  while (at < kFaultPeriod - 5 * kSecond) {
    const int member = static_cast<int>(random_(stated_members_ + 1));
    const Micros duration = 200 * kMillisecond + random_(8'000'000);
    switch (random_(8)) {
      case 0:
        PlanDeath(at, member, duration);
        break;
      case 1:
        PlanRestart(at, member);
        break;
      case 2:
      case 3:
        PlanPause(at, member, duration);
        break;
      case 4:
        PlanSplit(at, duration);
        break;
      case 5:
        PlanCut(at, member, duration);
        break;
      case 6:
        PlanRelease(at, member, duration);
        break;
      default:
        PlanLoad(at, member);
    }
    at += 200 * kMillisecond + random_(3'000'000);
  }
}

void BudgetScenario::PlanDeath(Micros at, int member, Micros duration) {
  fleet_->world.At(at, [this, member] { Kill(member); });
  fleet_->world.At(at + duration, [this, member] { Start(member); });
}

void BudgetScenario::PlanRestart(Micros at, int member) {
  fleet_->world.At(at, [this, member] {
    if (!fleet_->world.IsRunning(member))
      return;
    Kill(member);
    Start(member);
  });
}

void BudgetScenario::PlanPause(Micros at, int member, Micros duration) {
  // Pauses the lease holder as often as the drawn member.
  const bool holder = random_(2) == 0;
  auto paused = std::make_shared<int>(member);
  fleet_->world.At(at, [this, paused, holder] {
    *paused = holder ? fleet_->world.Holder().value_or(*paused) : *paused;
    Log(fleet_->world.name(*paused) + " is paused");
    fleet_->world.Pause(*paused);
  });
  fleet_->world.At(at + duration, [this, paused] {
    Log(fleet_->world.name(*paused) + " is resumed");
    fleet_->world.Resume(*paused);
  });
}

void BudgetScenario::PlanSplit(Micros at, Micros duration) {
  std::set<int> side;
  for (int member = 0; member <= stated_members_; ++member) {
    if (random_(2) == 0)
      side.insert(member);
  }
  fleet_->world.At(at, [this, side] {
    Log("network split");
    fleet_->world.Split(side);
  });
  fleet_->world.At(at + duration, [this] {
    Log("network healed");
    fleet_->world.Heal();
  });
}

void BudgetScenario::PlanCut(Micros at, int member, Micros duration) {
  const int to = static_cast<int>(random_(stated_members_ + 1));
  fleet_->world.At(at, [this, member, to] {
    Log("cut from " + fleet_->world.name(member) + " to " + fleet_->world.name(to));
    fleet_->world.Cut(member, to);
  });
  fleet_->world.At(at + duration, [this] { fleet_->world.Heal(); });
}

void BudgetScenario::PlanRelease(Micros at, int member, Micros duration) {
  fleet_->world.At(at, [this, member] {
    if (!fleet_->world.IsRunning(member) || fleet_->world.IsPaused(member))
      return;
    Log(fleet_->world.name(member) + " releases its quota");
    fleet_->world.ReleaseQuota(member);
  });
  fleet_->world.At(at + duration, [this, member] {
    Kill(member);
    Start(member);
  });
}

void BudgetScenario::PlanLoad(Micros at, int member) {
  const double load = 2.0 * random_(30);
  fleet_->world.At(at, [this, member, load] { fleet_->offered[member] = load; });
}

void BudgetScenario::Kill(int member) {
  Log(fleet_->world.name(member) + " dies");
  fleet_->world.Kill(member);
}

void BudgetScenario::Start(int member) {
  if (fleet_->world.IsRunning(member))
    return;
  Log(fleet_->world.name(member) + " starts");
  fleet_->world.Start(member);
}

void BudgetScenario::RepairAll() {
  tools::VirtualBudgets& world = fleet_->world;
  world.Heal();
  world.SetNetwork({});
  if (!fleet_->RunUntil(kFaultPeriod + 9 * kSecond))
    return;  // this ran the rest of the plan
  for (int i = 0; i <= stated_members_; ++i) {
    world.Resume(i);
    if (i < stated_members_)
      Start(i);
    fleet_->offered[i] = 40;
  }
  world.Heal();
  Log("all faults are repaired");
  // Long enough for a new lease, for the expiry of all old grants, and for some requests.
  if (!fleet_->RunUntil(world.now() + 20 * kSecond))
    return;
  if (fleet_->Allowed(kMail) < 0.9 * fleet_->Total(kMail))
    fleet_->violation = "the rate was not granted again after the faults";
  if (fleet_->Allowed(kSlots) < 0.75 * fleet_->Total(kSlots))
    fleet_->violation = "the slots were not granted again after the faults";
}

}  // namespace aldersill::tests
