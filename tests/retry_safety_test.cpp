// Tests that a request is attempted again only if its class allows that.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

constexpr Outcome kProvenNotRun[] = {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kNotSent};

constexpr Outcome kMayHaveRun[] = {Outcome::kError, Outcome::kTimeout, Outcome::kLost, Outcome::kCancelled};

// Where workers do not stop cancelled jobs, a hedged request costs a complete run. On a deployment with jobs
// of a tenth of a second, hedging made one job in five late.
TEST(RetrySafety, DoesNotHedgeAWaitingRequestThoughAllowed) {
  Driver driver(BasicSettings());
  driver.List({Entry("a"), Entry("b"), Entry("c")});
  int first = 0;
  for (int id = 1; id <= 1000; ++id) {
    first += Count<Send>(driver.Arrive(id, "repeatable"));
    driver.Advance(driver.now + kSecond / 6);  // no start was reported, so the job seems to wait
    driver.End(id, 0, Outcome::kServed, true);
  }
  EXPECT_GT(first, 900);
  EXPECT_EQ(Count<Send>(driver.all), first);
}

TEST(RetrySafety, RetriesOrRejectsWhatNeverRan) {
  for (const char* job_class : kClasses) {
    for (const Outcome outcome : kProvenNotRun) {
      Driver driver(BasicSettings());
      driver.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
      driver.Arrive(1, job_class);
      EXPECT_EQ(Count<Send>(driver.End(1, 0, outcome)), 1) << job_class;
      EXPECT_EQ(Count<Send>(driver.End(1, 1, outcome)), 1) << job_class;
      EXPECT_EQ(Count<Reject>(driver.End(1, 2, outcome)), 1) << job_class;  // three attempts are allowed
    }
  }
}

TEST(RetrySafety, FailsAnUnsafeRequestThatMayHaveRun) {
  for (const Outcome outcome : kMayHaveRun) {
    Driver driver(BasicSettings());
    driver.List({Entry("a"), Entry("b")});
    driver.Arrive(1, "unsafe");
    const auto actions = driver.End(1, 0, outcome);
    EXPECT_EQ(Count<Send>(actions), 0);
    EXPECT_EQ(Count<Reject>(actions), 0);
    EXPECT_EQ(Count<Fail>(actions), 1);
  }
}

TEST(RetrySafety, DoesNotHedgeAnUnsafeRequest) {
  Driver driver(BasicSettings());
  driver.List({Entry("a"), Entry("b")});
  driver.Arrive(1, "unsafe");
  EXPECT_EQ(Count<Send>(driver.Advance(driver.now + 4 * kSecond)), 0);
}

TEST(RetrySafety, RetriesARepeatableRequestThatMayHaveRun) {
  for (const Outcome outcome : kMayHaveRun) {
    Driver driver(BasicSettings());
    driver.List({Entry("a"), Entry("b")});
    driver.Arrive(1, "repeatable");
    EXPECT_EQ(Count<Send>(driver.End(1, 0, outcome)), 1);
  }
}

TEST(RetrySafety, RetriesAKeyedRequestOnlyInItsScope) {
  for (const KeyScope scope : {KeyScope::kZone, KeyScope::kCell}) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Settings settings = BasicSettings();
      settings.classes[1].scope = scope;
      Driver driver(settings, seed);
      std::vector<WorkerEntry> workers;
      for (int i = 0; i < 12; ++i) {
        workers.push_back(Entry("w" + std::to_string(i), i % 2 == 0 ? "near" : "far", i % 4));
      }
      driver.List(workers);
      driver.Arrive(1, "keyed");
      driver.End(1, 0, Outcome::kError);
      const auto sends = Only<Send>(driver.all);
      ASSERT_EQ(sends.size(), 2u);
      EXPECT_NE(sends[0].worker, sends[1].worker);
      const int first_index = std::stoi(sends[0].worker.substr(1));
      const int second_index = std::stoi(sends[1].worker.substr(1));
      EXPECT_EQ(first_index % 2, second_index % 2);
      if (scope == KeyScope::kCell) {
        EXPECT_EQ(first_index % 4, second_index % 4);
      }
    }
  }
}

TEST(RetrySafety, FailsAKeyedRequestThatMayHaveRunAfterItsWindow) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  Driver driver(settings);
  driver.List({Entry("a"), Entry("b")});
  driver.Arrive(1, "keyed");
  driver.Advance(driver.now + 2 * kSecond);
  const auto late = driver.End(1, 0, Outcome::kLost);
  EXPECT_EQ(Count<Send>(late), 0);
  EXPECT_EQ(Count<Reject>(late), 0);
  EXPECT_EQ(Count<Fail>(late), 1);
}

TEST(RetrySafety, RejectsAKeyedRequestWhoseScopeIsAllWorkers) {
  Settings settings = BasicSettings();
  settings.classes[1].scope = KeyScope::kAll;
  settings.max_attempts = 1;
  Driver driver(settings);
  driver.List({Entry("a")});
  driver.Arrive(1, "keyed");
  EXPECT_EQ(Count<Reject>(driver.End(1, 0, Outcome::kError)), 1);
}

TEST(RetrySafety, KeepsOneAttemptOpenWhereHedgingIsForbidden) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  for (const char* job_class : kClasses) {
    Driver driver(settings);
    driver.List({Entry("a"), Entry("b")});
    driver.Arrive(1, job_class);
    EXPECT_EQ(Count<Send>(driver.Advance(driver.now + 4 * kSecond)), 0) << job_class;
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
