// No attempt beyond what the class of the request allows.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

constexpr Outcome kProvenNotRun[] = {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kNotSent};

constexpr Outcome kMayHaveRun[] = {Outcome::kError, Outcome::kTimeout, Outcome::kLost, Outcome::kCancelled};

// A hedged copy costs a whole run where workers drop nothing that is cancelled: on a deployment with jobs of
// a tenth of a second hedging made one job in five late.
TEST(RetrySafety, DoesNotHedgeAWaitingRequestThoughAllowed) {
  Driver d(BasicSettings());
  d.List({Entry("a"), Entry("b"), Entry("c")});
  int first = 0;
  for (int id = 1; id <= 1000; ++id) {
    first += Count<Send>(d.Arrive(id, "repeatable"));
    d.Advance(d.now + kSecond / 6);  // it waits, as far as was told
    d.End(id, 0, Outcome::kServed, true);
  }
  EXPECT_GT(first, 900);
  EXPECT_EQ(Count<Send>(d.all), first);
}

TEST(RetrySafety, RetriesOrRejectsWhatNeverRan) {
  for (const char* job_class : kClasses) {
    for (const Outcome outcome : kProvenNotRun) {
      Driver d(BasicSettings());
      d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
      d.Arrive(1, job_class);
      EXPECT_EQ(Count<Send>(d.End(1, 0, outcome)), 1) << job_class;
      EXPECT_EQ(Count<Send>(d.End(1, 1, outcome)), 1) << job_class;
      EXPECT_EQ(Count<Reject>(d.End(1, 2, outcome)), 1) << job_class;  // three attempts are allowed
    }
  }
}

TEST(RetrySafety, FailsAnUnsafeRequestThatMayHaveRun) {
  for (const Outcome outcome : kMayHaveRun) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "unsafe");
    const auto actions = d.End(1, 0, outcome);
    EXPECT_EQ(Count<Send>(actions), 0);
    EXPECT_EQ(Count<Reject>(actions), 0);
    EXPECT_EQ(Count<Fail>(actions), 1);
  }
}

TEST(RetrySafety, DoesNotHedgeAnUnsafeRequest) {
  Driver d(BasicSettings());
  d.List({Entry("a"), Entry("b")});
  d.Arrive(1, "unsafe");
  EXPECT_EQ(Count<Send>(d.Advance(d.now + 4 * kSecond)), 0);
}

TEST(RetrySafety, RetriesARepeatableRequestThatMayHaveRun) {
  for (const Outcome outcome : kMayHaveRun) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "repeatable");
    EXPECT_EQ(Count<Send>(d.End(1, 0, outcome)), 1);
  }
}

TEST(RetrySafety, RetriesAKeyedRequestOnlyInItsScope) {
  for (const KeyScope scope : {KeyScope::kZone, KeyScope::kCell}) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Settings s = BasicSettings();
      s.classes[1].scope = scope;
      Driver d(s, seed);
      std::vector<WorkerEntry> workers;
      for (int i = 0; i < 12; ++i) {
        workers.push_back(Entry("w" + std::to_string(i), i % 2 == 0 ? "near" : "far", i % 4));
      }
      d.List(workers);
      d.Arrive(1, "keyed");
      d.End(1, 0, Outcome::kError);
      const auto sends = Only<Send>(d.all);
      ASSERT_EQ(sends.size(), 2u);
      EXPECT_NE(sends[0].worker, sends[1].worker);
      const int a = std::stoi(sends[0].worker.substr(1));
      const int b = std::stoi(sends[1].worker.substr(1));
      EXPECT_EQ(a % 2, b % 2);
      if (scope == KeyScope::kCell) {
        EXPECT_EQ(a % 4, b % 4);
      }
    }
  }
}

TEST(RetrySafety, FailsAKeyedRequestThatMayHaveRunAfterItsWindow) {
  Settings s = BasicSettings();
  s.hedging = false;
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  d.Arrive(1, "keyed");
  d.Advance(d.now + 2 * kSecond);
  const auto late = d.End(1, 0, Outcome::kLost);
  EXPECT_EQ(Count<Send>(late), 0);
  EXPECT_EQ(Count<Reject>(late), 0);
  EXPECT_EQ(Count<Fail>(late), 1);
}

TEST(RetrySafety, RejectsAKeyedRequestWhoseScopeIsAllWorkers) {
  Settings s = BasicSettings();
  s.classes[1].scope = KeyScope::kAll;
  s.max_attempts = 1;
  Driver d(s);
  d.List({Entry("a")});
  d.Arrive(1, "keyed");
  EXPECT_EQ(Count<Reject>(d.End(1, 0, Outcome::kError)), 1);
}

TEST(RetrySafety, KeepsOneAttemptOpenWhereHedgingIsForbidden) {
  Settings s = BasicSettings();
  s.hedging = false;
  for (const char* job_class : kClasses) {
    Driver d(s);
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, job_class);
    EXPECT_EQ(Count<Send>(d.Advance(d.now + 4 * kSecond)), 0) << job_class;
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
