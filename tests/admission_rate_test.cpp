// Tests the throttle's token rate and prices under late starts, rejections and random traffic.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// Where workers have short queues, rejections are normal and must not lower the rate if another worker has
// room.
TEST(AdmissionRate, RejectionsRetriedElsewhereDoNotLowerTheRate) {
  Settings settings = BasicSettings();
  settings.tenants = {{"only", 1.0, 20.0}};
  Driver driver(settings);
  driver.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 1000; ++id) {
    driver.Advance(driver.now + kSecond / 18);
    driver.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    int attempt_number = 0;
    if (Count<Send>(driver.End(id, 0, Outcome::kRejected)) > 0)
      attempt_number = 1;
    driver.Start(id, attempt_number);
    driver.End(id, attempt_number, Outcome::kServed, true);
  }
  EXPECT_LT(Count<Reject>(driver.all), 50);
}

// A start after the target is not a sign of overload while a job of median length can still end in time.
TEST(AdmissionRate, StartsWithinTheAllowanceDoNotLowerTheRate) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  settings.tenants = {{"only", 1.0, 20.0}};
  Driver driver(settings);
  driver.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  // Ten jobs a second. Each starts later than the target, but within the target plus the running time.
  for (int id = 1; id <= 500; ++id) {
    driver.Advance(driver.now + kSecond / 10);
    driver.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    if (id > 3)
      driver.Start(id - 3, 0);
    if (id > 6)
      driver.End(id - 6, 0, Outcome::kServed, true);
  }
  EXPECT_LT(Count<Reject>(driver.all), 10);
}

// Where only a few jobs are long, most are far shorter than the mean, so the allowance must follow the
// median.
TEST(AdmissionRate, LateStartsOfShortJobsLowerTheRateThoughAFewAreLong) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  settings.tenants = {{"only", 1.0, 40.0}};
  Driver driver(settings);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  driver.List(workers);
  std::multimap<Micros, int> starts;
  std::multimap<Micros, int> ends;
  // Each start is due after the target of 0.2 s and one running time.
  const auto schedule_starts = [&](const std::vector<Action>& actions) {
    for (const Send& send : Only<Send>(actions))
      starts.emplace(driver.now + 300'000, static_cast<int>(send.request));
  };
  for (int id = 1; id <= 1500; ++id) {
    for (const Micros until = driver.now + kSecond / 30; driver.now < until;) {
      schedule_starts(driver.Advance(driver.now + 1000));
      for (; !starts.empty() && starts.begin()->first <= driver.now; starts.erase(starts.begin())) {
        const int started = starts.begin()->second;
        driver.Start(started, 0);
        ends.emplace(driver.now + (started % 10 == 0 ? 3 * kSecond : kSecond / 100), started);
      }
      for (; !ends.empty() && ends.begin()->first <= driver.now; ends.erase(ends.begin()))
        driver.End(ends.begin()->second, 0, Outcome::kServed, true);
    }
    schedule_starts(driver.Arrive(id, "unsafe", 100 * kSecond, 1, "only"));
  }
  EXPECT_GT(Count<Reject>(driver.all), 500);
}

// The shares of the short and of the long jobs that are rejected at three times the quota.
std::pair<double, double> RejectedSharesOfShortAndLong(double short_weight, double long_weight,
                                                       bool by_work) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  settings.tenants = {{"only", 1.0, 20.0}};
  settings.classes[0].priority_weight = short_weight;
  settings.classes[2].priority_weight = long_weight;
  settings.priority_weight_by_work = by_work;
  Driver driver(settings);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  driver.List(workers);
  std::mt19937_64 random(1);
  std::map<int, bool> is_long;
  std::multimap<Micros, int> ends;
  const auto start = [&](const std::vector<Action>& actions) {
    for (const Send& send : Only<Send>(actions)) {
      const int id = static_cast<int>(send.request);
      driver.Start(id, 0);
      ends.emplace(driver.now + (is_long[id] ? kSecond : kSecond / 50), id);
    }
  };
  for (int id = 1; id <= 2000; ++id) {  // one job in four is long; all together are three times the quota
    for (const Micros until = driver.now + kSecond / 60; driver.now < until;) {
      start(driver.Advance(driver.now + 1000));
      for (; !ends.empty() && ends.begin()->first <= driver.now; ends.erase(ends.begin()))
        driver.End(ends.begin()->second, 0, Outcome::kServed, true);
    }
    is_long[id] = random() % 4 == 0;
    start(driver.Arrive(id, is_long[id] ? "unsafe" : "repeatable", 100 * kSecond, 1, "only"));
  }
  double rejected[2] = {0.0, 0.0};
  for (const Reject& rejection : Only<Reject>(driver.all))
    ++rejected[is_long[static_cast<int>(rejection.request)]];
  return {rejected[0] / 1500.0, rejected[1] / 500.0};
}

// If every job cost one token, whatever its length, long jobs of low weight would take the tokens of short
// ones.
TEST(AdmissionPrice, LongJobsOfLowWeightDoNotCrowdOutShortOnesOfHighWeight) {
  const auto [of_short, of_long] = RejectedSharesOfShortAndLong(10.0, 1.0, false);
  EXPECT_LT(2.0 * of_short, of_long);
}

// A weight per unit of work already accounts for the length of a job.
TEST(AdmissionPrice, LongJobsWithAWeightByWorkAreNotRejectedFirst) {
  const auto [of_short, of_long] = RejectedSharesOfShortAndLong(5.0, 8.0, true);
  EXPECT_LT(of_long, 1.1 * of_short);
}

// Where workers reject what they cannot start soon, the rate may rise above the value at which a sixth of the
// starts are late.
TEST(AdmissionRate, RisesAboveItsInitialValueWhereWorkersRejectWhatTheyCannotStart) {
  int rejected[2] = {0, 0};
  for (const bool full : {false, true}) {
    Settings settings = BasicSettings();
    settings.hedging = false;
    settings.tenants = {{"only", 1.0, 20.0}};
    Driver driver(settings);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 40; ++i)
      workers.push_back(Entry("w" + std::to_string(i)));
    driver.List(workers);
    std::multimap<Micros, std::pair<int, int>> late_starts;
    const auto handle = [&](const std::vector<Action>& actions) {
      for (const Send& send : Only<Send>(actions)) {
        const int id = static_cast<int>(send.request);
        const int attempt_number = full && Count<Send>(driver.End(id, 0, Outcome::kRejected)) > 0 ? 1 : 0;
        if (id % 5 == 0) {  // a fifth of the starts are late
          late_starts.emplace(driver.now + kSecond, std::pair(id, attempt_number));
          continue;
        }
        driver.Start(id, attempt_number);
        driver.End(id, attempt_number, Outcome::kServed, true);
      }
    };
    for (int id = 1; id <= 1500; ++id) {
      handle(driver.Advance(driver.now + kSecond / 30));
      for (; !late_starts.empty() && late_starts.begin()->first <= driver.now;
           late_starts.erase(late_starts.begin())) {
        const auto [started, attempt_number] = late_starts.begin()->second;
        driver.Start(started, attempt_number);
        driver.End(started, attempt_number, Outcome::kServed, true);
      }
      handle(driver.Arrive(id, "unsafe", 5 * kSecond, 1, "only"));
    }
    rejected[full] = Count<Reject>(driver.all);
  }
  EXPECT_LT(2 * rejected[true], rejected[false]);
}

// After an overload, a node at its lowest rate has few starts, so each start in time must raise the rate by a
// large step.
TEST(AdmissionRate, RecoversSoonOnceWorkersStartJobsAtOnce) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  settings.tenants = {{"only", 1.0, 20.0}};
  Driver driver(settings);
  driver.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 100; ++id) {  // every job starts far too late
    driver.Advance(driver.now + kSecond / 20);
    driver.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    if (id > 40)
      driver.Start(id - 40, 0);
    if (id > 41)
      driver.End(id - 41, 0, Outcome::kServed, true);
  }
  for (int id = 60; id <= 100; ++id) {
    driver.Start(id, 0);
    driver.End(id, 0, Outcome::kServed, true);
  }
  for (int id = 101; id <= 150; ++id) {  // then all start at once; the rate must recover within two seconds
    if (id == 141)
      driver.all.clear();
    auto actions = driver.Advance(driver.now + kSecond / 20);
    const auto more = driver.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    actions.insert(actions.end(), more.begin(), more.end());
    for (const Send& send : Only<Send>(actions)) {
      driver.Start(static_cast<int>(send.request), 0);
      driver.End(static_cast<int>(send.request), 0, Outcome::kServed, true);
    }
  }
  EXPECT_LT(Count<Reject>(driver.all), 3);
}

// One node of a hundred gets a token of a tenant every ten seconds. With a bank of one or two jobs it
// rejected a third of the jobs at the start and a tenth later, although workers were idle.
TEST(AdmissionRate, OneNodeOfManyRejectsFewJobsByChance) {
  int rejected = 0, jobs = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Settings settings = BasicSettings();
    settings.nodes = 100;
    settings.hedging = false;
    settings.tenants.clear();
    for (int t = 0; t < 6; ++t)
      settings.tenants.push_back({"t" + std::to_string(t), 1.0, 20.0});
    Driver driver(settings, seed);
    driver.List({Entry("a"), Entry("b")});
    std::mt19937_64 random(seed);
    // 0.9 jobs a second, of the 1.2 that the quotas leave this node.
    std::exponential_distribution<double> gap(0.9);
    for (int id = 1; id <= 60; ++id, ++jobs) {
      driver.Advance(driver.now + static_cast<Micros>(gap(random) * kSecond));
      const auto actions = driver.Arrive(id, "unsafe", 5 * kSecond, 1,
                                         "t" + std::to_string(random() % settings.tenants.size()));
      if (Count<Send>(actions) == 0)
        continue;
      driver.Start(id, 0);
      driver.End(id, 0, Outcome::kServed, true);
    }
    driver.Advance(driver.now + 5 * kSecond);
    rejected += Count<Reject>(driver.all);
  }
  EXPECT_LT(rejected, jobs / 100) << "of " << jobs;
}

}  // namespace
}  // namespace aldersill::dispatch::testing
