// Tests of the parts that determine the throttle's rate and prices: running times, arrival rate, job pricing
// and rate control.
#include <gtest/gtest.h>

#include "module_parts.h"

namespace aldersill::dispatch::testing {
namespace {

TEST(RunTimes, StartFromTheTargetsAndFollowTheSamples) {
  const Settings settings = BasicSettings();  // targets of 0.2 s, stretch 2
  RunTimes run_times(settings.classes);
  EXPECT_DOUBLE_EQ(run_times.Mean(0), 200'000.0);
  EXPECT_DOUBLE_EQ(run_times.StartAllowance(0), 400'000.0);
  for (int i = 0; i < 200; ++i)
    run_times.Record(0, 1'000'000.0);
  EXPECT_NEAR(run_times.Mean(0), 1'000'000.0, 1'000.0);
  EXPECT_DOUBLE_EQ(run_times.Mean(1), 200'000.0);
  EXPECT_NEAR(run_times.MeanOverClasses(), 1'400'000.0 / 3.0, 1'000.0);
}

TEST(RunTimes, StartAllowanceFollowsTheMedianOfALongTailedClass) {
  const Settings settings = BasicSettings();
  RunTimes run_times(settings.classes);
  for (int i = 0; i < 1000; ++i)
    run_times.Record(0, i % 10 == 0 ? 3'000'000.0 : 10'000.0);
  EXPECT_GT(run_times.Mean(0), 100'000.0);
  EXPECT_LT(run_times.StartAllowance(0), 230'000.0);
}

TEST(ArrivalRate, CountsTokensOverTheWindow) {
  ArrivalRate rate(/*from_first_arrival=*/false);
  for (int i = 0; i <= 1000; ++i)
    rate.Record(i * kSecond / 10, 2);
  EXPECT_NEAR(rate.TokensPerSecond(100 * kSecond), 20.0, 1.0);
  EXPECT_LT(rate.TokensPerSecond(140 * kSecond), 0.2);
}

TEST(ArrivalRate, ANewNodeDividesByTheTimeSinceItsFirstArrival) {
  ArrivalRate since_first(/*from_first_arrival=*/true);
  ArrivalRate over_window(/*from_first_arrival=*/false);
  for (int i = 0; i <= 20; ++i) {
    since_first.Record(100 * kSecond + i * kSecond / 10, 1);
    over_window.Record(100 * kSecond + i * kSecond / 10, 1);
  }
  EXPECT_NEAR(since_first.TokensPerSecond(102 * kSecond), 10.0, 1.0);
  EXPECT_LT(over_window.TokensPerSecond(102 * kSecond), 3.0);
  EXPECT_DOUBLE_EQ(since_first.CountedWindow(102 * kSecond), 2.0 * kSecond);
  EXPECT_DOUBLE_EQ(over_window.CountedWindow(102 * kSecond), 8.0 * kSecond);
}

TEST(JobPricing, AJobPaysItsSlotsWhereAllClassesAreAlike) {
  const Settings settings = BasicSettings();
  const RunTimes run_times(settings.classes);
  JobPricing pricing(settings, run_times);
  int price = 0;
  for (int i = 0; i < 200; ++i)
    price = pricing.PriceArrival({.slots = 3});
  EXPECT_EQ(price, 3);
  EXPECT_NEAR(pricing.mean_price(), 3.0, 0.1);
  EXPECT_NEAR(pricing.mean_slot_time(), 600'000.0, 1'000.0);
}

TEST(JobPricing, AClassWithALongRunningTimeForItsWeightPaysMore) {
  for (const bool by_work : {false, true}) {
    Settings settings = BasicSettings();
    settings.priority_weight_by_work = by_work;
    RunTimes run_times(settings.classes);
    for (int i = 0; i < 200; ++i)
      run_times.Record(kUnsafeClass, 2'000'000.0);
    JobPricing pricing(settings, run_times);
    for (int i = 0; i < 99; ++i)
      pricing.PriceArrival({.job_class = i % 10 == 0 ? kUnsafeClass : kRepeatableClass});
    const int price_of_short = pricing.PriceArrival({.job_class = kRepeatableClass});
    const int price_of_long = pricing.PriceArrival({.job_class = kUnsafeClass});
    EXPECT_EQ(price_of_short, 1);
    if (by_work) {
      EXPECT_EQ(price_of_long, 1);  // a weight per unit of work already accounts for the length
    } else {
      EXPECT_GT(price_of_long, 3);
    }
  }
}

// Settings with one tenant that has this quota.
Settings OneQuota(double per_second) {
  Settings settings = BasicSettings();
  settings.tenants = {{"only", 1.0, per_second}};
  return settings;
}

TEST(RateControl, BeginsAtThisNodesPartOfTheQuotas) {
  Settings settings = OneQuota(300.0);
  settings.nodes = 10;
  ModuleParts parts(settings);
  parts.rate.Begin();
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 30.0);
}

TEST(RateControl, BeginsAtWhatTheListedWorkersRunWithoutQuotas) {
  ModuleParts parts;
  parts.Apply({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  parts.rate.Begin();
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 20.0);  // four workers with one slot each run jobs of 0.2 s
}

TEST(RateControl, FallsOnFailuresToAnEighthAndReturnsWithTimelyStarts) {
  ModuleParts parts(OneQuota(40.0));
  parts.rate.Begin();
  for (int i = 0; i < 100; ++i)
    parts.rate.RecordFailure();
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 5.0);
  EXPECT_TRUE(parts.rate.IsOverloaded());
  EXPECT_EQ(Count<Log>(parts.actions), 1);
  for (int i = 0; i < 9; ++i)
    parts.rate.RecordStart({.measured = 1.0, .usual = 1.0, .allowed = 100.0});
  EXPECT_NEAR(parts.rate.rate(), 40.0, 1.0);
}

TEST(RateControl, ALateStartIsASignOfOverload) {
  ModuleParts parts(OneQuota(40.0));
  parts.rate.Begin();
  parts.rate.RecordStart({.measured = 101.0, .usual = 101.0, .allowed = 100.0});
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 36.0);
  parts.rate.RecordAnswer(/*in_time=*/false);
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 36.0 - 3.6);
}

TEST(RateControl, ARejectionLowersTheRateOnlyWhereNothingElseCanBeTried) {
  ModuleParts parts(OneQuota(40.0));
  parts.rate.Begin();
  parts.rate.RecordRejection(/*final=*/false);
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 40.0);
  parts.rate.RecordRejection(/*final=*/true);
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 36.0);
}

TEST(RateControl, RisesToWhatArrivesOnceAWorkerHasAccepted) {
  ModuleParts parts(OneQuota(1.0));
  parts.rate.Begin();
  const auto arrive = [&parts] {
    for (int i = 0; i < 100; ++i) {
      parts.Advance(kSecond / 10);
      parts.rate.RecordArrival(1);
    }
  };
  arrive();
  EXPECT_DOUBLE_EQ(parts.rate.rate(), 1.0);
  parts.rate.RecordAnswer(/*in_time=*/true);
  arrive();
  EXPECT_GT(parts.rate.rate(), 8.0);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
