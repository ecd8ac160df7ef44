// The throttle's rate and prices under late starts, rejections and traffic by chance.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// Where workers have short queues a rejection is ordinary and must not lower the rate if another worker has
// room.
TEST(AdmissionRate, RejectionsRetriedElsewhereDoNotLowerTheRate) {
  Settings s = BasicSettings();
  s.tenants = {{"only", 1.0, 20.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 1000; ++id) {
    d.Advance(d.now + kSecond / 18);
    d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    int attempt_number = 0;
    if (Count<Send>(d.End(id, 0, Outcome::kRejected)) > 0)
      attempt_number = 1;
    d.Start(id, attempt_number);
    d.End(id, attempt_number, Outcome::kServed, true);
  }
  EXPECT_LT(Count<Reject>(d.all), 50);
}

// A start after the target is no overload while a job of median length can still be in time.
TEST(AdmissionRate, StartsWithinTheAllowanceDoNotLowerTheRate) {
  Settings s = BasicSettings();
  s.hedging = false;
  s.tenants = {{"only", 1.0, 20.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 500;
       ++id) {  // ten a second, each started later than the target, within target and run
    d.Advance(d.now + kSecond / 10);
    d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    if (id > 3)
      d.Start(id - 3, 0);
    if (id > 6)
      d.End(id - 6, 0, Outcome::kServed, true);
  }
  EXPECT_LT(Count<Reject>(d.all), 10);
}

// Where few jobs are long, most are far shorter than the mean, and the allowance must follow the median.
TEST(AdmissionRate, LateStartsOfShortJobsLowerTheRateThoughAFewAreLong) {
  Settings s = BasicSettings();
  s.hedging = false;
  s.tenants = {{"only", 1.0, 40.0}};
  Driver d(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  d.List(workers);
  std::multimap<Micros, int> starts;
  std::multimap<Micros, int> ends;
  const auto sent = [&](const std::vector<Action>& actions) {
    for (const Send& send : Only<Send>(actions))
      starts.emplace(d.now + 300'000, static_cast<int>(send.request));  // target 0.2 s and one running time
  };
  for (int id = 1; id <= 1500; ++id) {
    for (const Micros until = d.now + kSecond / 30; d.now < until;) {
      sent(d.Advance(d.now + 1000));
      for (; !starts.empty() && starts.begin()->first <= d.now; starts.erase(starts.begin())) {
        const int started = starts.begin()->second;
        d.Start(started, 0);
        ends.emplace(d.now + (started % 10 == 0 ? 3 * kSecond : kSecond / 100), started);
      }
      for (; !ends.empty() && ends.begin()->first <= d.now; ends.erase(ends.begin()))
        d.End(ends.begin()->second, 0, Outcome::kServed, true);
    }
    sent(d.Arrive(id, "unsafe", 100 * kSecond, 1, "only"));
  }
  EXPECT_GT(Count<Reject>(d.all), 500);
}

// The shares of short and of long jobs that are rejected under three times the quota.
std::pair<double, double> RefusedShortAndLong(double short_weight, double long_weight, bool by_work) {
  Settings s = BasicSettings();
  s.hedging = false;
  s.tenants = {{"only", 1.0, 20.0}};
  s.classes[0].priority_weight = short_weight;
  s.classes[2].priority_weight = long_weight;
  s.priority_weight_by_work = by_work;
  Driver d(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  d.List(workers);
  std::mt19937_64 random(1);
  std::map<int, bool> is_long;
  std::multimap<Micros, int> ends;
  const auto start = [&](const std::vector<Action>& actions) {
    for (const Send& send : Only<Send>(actions)) {
      const int id = static_cast<int>(send.request);
      d.Start(id, 0);
      ends.emplace(d.now + (is_long[id] ? kSecond : kSecond / 50), id);
    }
  };
  for (int id = 1; id <= 2000; ++id) {  // one in four is long; together three times the quota
    for (const Micros until = d.now + kSecond / 60; d.now < until;) {
      start(d.Advance(d.now + 1000));
      for (; !ends.empty() && ends.begin()->first <= d.now; ends.erase(ends.begin()))
        d.End(ends.begin()->second, 0, Outcome::kServed, true);
    }
    is_long[id] = random() % 4 == 0;
    start(d.Arrive(id, is_long[id] ? "unsafe" : "repeatable", 100 * kSecond, 1, "only"));
  }
  double refused[2] = {0.0, 0.0};
  for (const Reject& r : Only<Reject>(d.all))
    ++refused[is_long[static_cast<int>(r.request)]];
  return {refused[0] / 1500.0, refused[1] / 500.0};
}

// At one token for each job, whatever its length, long jobs of low weight take the tokens of short ones.
TEST(AdmissionPrice, LongJobsOfLowWeightDoNotCrowdOutShortOnesOfHighWeight) {
  const auto [of_short, of_long] = RefusedShortAndLong(10.0, 1.0, false);
  EXPECT_LT(2.0 * of_short, of_long);
}

// A weight for each unit of work pays for the length of a job already.
TEST(AdmissionPrice, LongJobsWithAWeightByWorkAreNotRejectedFirst) {
  const auto [of_short, of_long] = RefusedShortAndLong(5.0, 8.0, true);
  EXPECT_LT(of_long, 1.1 * of_short);
}

// Where workers reject what they cannot start soon, the rate may exceed the value at which a sixth of starts
// is late.
TEST(AdmissionRate, RisesAboveItsInitialValueWhereWorkersRejectWhatTheyCannotStart) {
  int refused[2] = {0, 0};
  for (const bool full : {false, true}) {
    Settings s = BasicSettings();
    s.hedging = false;
    s.tenants = {{"only", 1.0, 20.0}};
    Driver d(s);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 40; ++i)
      workers.push_back(Entry("w" + std::to_string(i)));
    d.List(workers);
    std::multimap<Micros, std::pair<int, int>> late;
    const auto handle = [&](const std::vector<Action>& actions) {
      for (const Send& send : Only<Send>(actions)) {
        const int id = static_cast<int>(send.request);
        const int attempt_number = full && Count<Send>(d.End(id, 0, Outcome::kRejected)) > 0 ? 1 : 0;
        if (id % 5 == 0) {  // a fifth of the starts is late
          late.emplace(d.now + kSecond, std::pair(id, attempt_number));
          continue;
        }
        d.Start(id, attempt_number);
        d.End(id, attempt_number, Outcome::kServed, true);
      }
    };
    for (int id = 1; id <= 1500; ++id) {
      handle(d.Advance(d.now + kSecond / 30));
      for (; !late.empty() && late.begin()->first <= d.now; late.erase(late.begin())) {
        const auto [started, attempt_number] = late.begin()->second;
        d.Start(started, attempt_number);
        d.End(started, attempt_number, Outcome::kServed, true);
      }
      handle(d.Arrive(id, "unsafe", 5 * kSecond, 1, "only"));
    }
    refused[full] = Count<Reject>(d.all);
  }
  EXPECT_LT(2 * refused[true], refused[false]);
}

// After an overload a node at its lowest rate has few starts, so each timely one has to raise the rate by
// much.
TEST(AdmissionRate, RecoversSoonOnceWorkersStartJobsAtOnce) {
  Settings s = BasicSettings();
  s.hedging = false;
  s.tenants = {{"only", 1.0, 20.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 100; ++id) {  // every job starts far too late
    d.Advance(d.now + kSecond / 20);
    d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    if (id > 40)
      d.Start(id - 40, 0);
    if (id > 41)
      d.End(id - 41, 0, Outcome::kServed, true);
  }
  for (int id = 60; id <= 100; ++id) {
    d.Start(id, 0);
    d.End(id, 0, Outcome::kServed, true);
  }
  for (int id = 101; id <= 150; ++id) {  // then all start at once: two seconds to return
    if (id == 141)
      d.all.clear();
    auto actions = d.Advance(d.now + kSecond / 20);
    const auto more = d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    actions.insert(actions.end(), more.begin(), more.end());
    for (const Send& send : Only<Send>(actions)) {
      d.Start(static_cast<int>(send.request), 0);
      d.End(static_cast<int>(send.request), 0, Outcome::kServed, true);
    }
  }
  EXPECT_LT(Count<Reject>(d.all), 3);
}

// One node of a hundred gets a tenant's token every ten seconds: a bank of one or two jobs rejected a third
// of them at the start and a tenth later, beside idle workers.
TEST(AdmissionRate, OneNodeOfManyRejectsFewJobsByChance) {
  int refused = 0, jobs = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Settings s = BasicSettings();
    s.nodes = 100;
    s.hedging = false;
    s.tenants.clear();
    for (int t = 0; t < 6; ++t)
      s.tenants.push_back({"t" + std::to_string(t), 1.0, 20.0});
    Driver d(s, seed);
    d.List({Entry("a"), Entry("b")});
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(
        0.9);  // jobs a second, of the 1.2 that the quotas leave this node
    for (int id = 1; id <= 60; ++id, ++jobs) {
      d.Advance(d.now + static_cast<Micros>(gap(random) * kSecond));
      const auto actions =
          d.Arrive(id, "unsafe", 5 * kSecond, 1, "t" + std::to_string(random() % s.tenants.size()));
      if (Count<Send>(actions) == 0)
        continue;
      d.Start(id, 0);
      d.End(id, 0, Outcome::kServed, true);
    }
    d.Advance(d.now + 5 * kSecond);
    refused += Count<Reject>(d.all);
  }
  EXPECT_LT(refused, jobs / 100) << "of " << jobs;
}

}  // namespace
}  // namespace aldersill::dispatch::testing
