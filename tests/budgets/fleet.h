// A fleet of instances in virtual time under traffic. Every use of a budget is reported to the checkers.
#ifndef ALDERSILL_TESTS_BUDGETS_FLEET_H_
#define ALDERSILL_TESTS_BUDGETS_FLEET_H_

#include <cmath>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "checker.h"
#include "virtual_budgets/virtual_budgets.h"

namespace aldersill::tests {

constexpr std::size_t kMail = 0, kSlots = 1, kSpend = 2;  // a rate, a level, an amount
constexpr Micros kTrafficStep = 5 * kMillisecond;
constexpr Micros kCheckInterval = 20 * kMillisecond;

// The budgets of `n` instances together. They are small, so that a mistake shows.
inline std::vector<budgets::Budget> SmallBudgets(int n, std::int64_t scale = 1) {
  return {{"mail", budgets::Kind::kRate, 40 * scale * budgets::kUnitsPerStart, n + 6, 0, 0, 0.05},
          {"slots", budgets::Kind::kLevel, 24 * scale, 0, 0, 2 * kSecond, 0.25},
          {"spend", budgets::Kind::kAmount, 400 * scale, 0, 15 * kSecond, 0, 0.05}};
}

class Fleet {
 public:
  explicit Fleet(const tools::VirtualBudgets::Options& o)
      : budgets_(o.settings.budgets),
        offered(static_cast<std::size_t>(o.instances), 10.0),
        world(o),
        mail_(static_cast<double>(budgets_[kMail].total) / budgets::kUnitsPerStart,
              static_cast<double>(budgets_[kMail].burst)),
        slots_(budgets_[kSlots].total),
        spend_(budgets_[kSpend].total),
        served(static_cast<std::size_t>(o.instances), 0) {}

  // Runs under traffic until the time `until`. Returns false once a budget has been exceeded; `violation`
  // then says which.
  bool RunUntil(Micros until) {
    while (world.now() < until && violation.empty()) {
      world.RunUntil(std::min(until, world.now() + kTrafficStep));
      for (int i = 0; i < world.size(); ++i)
        Offer(i);
      if (world.now() >= next_check_at_) {
        CheckAllowed();
        next_check_at_ = world.now() + kCheckInterval;
      }
    }
    return violation.empty();
  }

  // What all running instances together may use now. This includes the paused ones, because they may be
  // resumed at any time.
  double Allowed(std::size_t budget) const {
    double sum = 0;
    for (int i = 0; i < world.size(); ++i) {
      if (world.IsRunning(i))
        sum += static_cast<double>(world.quota_client(i).Allowed(world.LocalTime(i), budgets_[budget].name));
    }
    return sum;
  }
  double Total(std::size_t budget) const { return static_cast<double>(budgets_[budget].total); }
  double LargestBurst() const { return mail_.largest_burst(); }

 private:
  std::vector<budgets::Budget> budgets_;

 public:
  std::vector<double> offered;  // starts per second at each instance; as many tries to take slots and units
  tools::VirtualBudgets world;
  std::string violation;  // the first one; empty if there is none

 private:
  using Incarnation = std::pair<int, int>;  // instance and number of its incarnation

  void Fail(const std::string& what) {
    if (!violation.empty())
      return;
    std::ostringstream text;
    text << "at " << static_cast<double>(world.now()) / kSecond << " s: " << what;
    violation = text.str();
  }

  // A random number with this mean.
  int DrawCount(double mean) {
    int count = static_cast<int>(mean);
    return count + (world.RandomFraction() < mean - count ? 1 : 0);
  }

  // Offers the traffic of one step to instance `i`.
  void Offer(int i) {
    if (!world.IsRunning(i) || world.IsPaused(i))
      return;
    const double mean = offered[i] * static_cast<double>(kTrafficStep) / kSecond;
    for (int n = DrawCount(mean); n > 0; --n) {
      if (!world.Take(i, kMail))
        continue;
      ++served[i];
      if (!mail_.Start(world.now()))
        Fail("more starts in an interval than the rate and its burst allow");
    }
    for (int n = DrawCount(mean); n > 0; --n) {
      if (!world.Take(i, kSlots))
        continue;
      if (!slots_.Begin())
        Fail("more slots are in use at once than the level allows");
      const Incarnation incarnation{i, world.incarnation(i)};
      ++used_[incarnation];
      // A slot is in use at a worker, so it stays in use whatever happens to the instance that took it.
      const Micros duration =
          static_cast<Micros>(world.RandomFraction() * static_cast<double>(budgets_[kSlots].longest_use));
      world.At(world.now() + duration, [this, incarnation] {
        slots_.End();
        --used_[incarnation];
        world.Free(incarnation.first, kSlots, incarnation.second);
      });
    }
    for (int n = DrawCount(mean); n > 0; --n) {
      const std::int64_t count = 1 + static_cast<std::int64_t>(world.random()(3));
      if (!world.Take(i, kSpend, count))
        continue;
      const auto window = static_cast<std::uint64_t>(world.LocalTime(i) / budgets_[kSpend].window);
      spent_[{window, {i, world.incarnation(i)}}] += count;
      if (!spend_.Use(window, count))
        Fail("more units were used in a window than the amount allows");
    }
  }

  // Checks that what is in use and what all instances may still use stay within the budgets together.
  void CheckAllowed() {
    if (Allowed(kMail) > Total(kMail))
      Fail("the shares of all instances exceed the rate");
    double slots = 0;
    std::map<Incarnation, std::int64_t> used;
    for (const auto& [incarnation, count] : used_) {
      if (count > 0)
        used[incarnation] = count;
    }
    std::map<std::uint64_t, double> spend;
    for (int i = 0; i < world.size(); ++i) {
      if (!world.IsRunning(i))
        continue;
      const Incarnation incarnation{i, world.incarnation(i)};
      const auto local = world.LocalTime(i);
      const auto allowed = [&](std::size_t b) {
        return static_cast<std::int64_t>(world.quota_client(i).Allowed(local, budgets_[b].name));
      };
      slots +=
          static_cast<double>(std::max(allowed(kSlots), used.contains(incarnation) ? used[incarnation] : 0));
      used.erase(incarnation);
      const auto window = static_cast<std::uint64_t>(local / budgets_[kSpend].window);
      spend[window] +=
          static_cast<double>(std::max(allowed(kSpend) - spent_[{window, incarnation}], std::int64_t{0}));
    }
    for (const auto& [incarnation, count] : used)
      slots += static_cast<double>(count);
    if (slots > Total(kSlots))
      Fail("the slots that all instances may use or use exceed the level");
    for (const auto& [window, left] : spend) {
      if (left + static_cast<double>(spend_.used(window)) > Total(kSpend))
        Fail("the units that all instances may use or have used in a window exceed the amount");
    }
  }

  RateChecker mail_;
  LevelChecker slots_;
  AmountChecker spend_;
  Micros next_check_at_ = 0;
  std::map<Incarnation, std::int64_t> used_;
  std::map<std::pair<std::uint64_t, Incarnation>, std::int64_t> spent_;

 public:
  std::vector<std::int64_t> served;  // starts at each instance
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_BUDGETS_FLEET_H_
