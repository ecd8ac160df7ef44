// Tests how workers and zones that cannot be reached or do not answer are handled.
#include <gtest/gtest.h>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// A worker that accepts jobs and never answers produces no outcomes. Without ejection its jobs would wait
// until their deadlines.
TEST(UnavailableWorkers, EjectsAnUnresponsiveWorkerAndRetriesItsRepeatableJobsElsewhere) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  settings.cancel = true;
  settings.tenants = {{"only", 1.0, 100.0}};
  Driver driver(settings);
  driver.List({Entry("silent"), Entry("a")});
  int late = 0, cancelled = 0;
  for (int id = 1; id <= 300; ++id) {
    for (const Cancel& cancel : Only<Cancel>(driver.Advance(driver.now + kSecond / 10))) {
      ++cancelled;
      driver.End(static_cast<int>(cancel.request), cancel.attempt_number, Outcome::kCancelled);
    }
    for (const Send& send : Only<Send>(driver.Arrive(id, "repeatable", 30 * kSecond, 1, "only"))) {
      if (send.worker == "silent") {
        late += id > 200;
      } else {
        driver.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_GT(cancelled, 0);
  EXPECT_LT(late, 20);  // of a hundred jobs; without ejection half of them
}

// Operators rely on this log line. Its rate must be bounded.
TEST(UnavailableWorkers, LogsAnUnreachableZoneOnceInTenSeconds) {
  Settings settings = BasicSettings();
  settings.max_attempts = 1;
  Driver driver(settings);
  driver.List({Entry("a"), Entry("b")});
  for (int id = 1; id <= 100; ++id) {
    driver.Advance(driver.now + kSecond / 20);
    driver.Arrive(id, "unsafe");
    driver.End(id, 0, Outcome::kConnectFailed);
  }
  EXPECT_EQ(Count<Log>(driver.all), 1);
}

// An ejection must end after some time, so that a worker that has recovered gets jobs again.
TEST(UnavailableWorkers, EjectsAnUnreachableWorkerAndTriesItAgainLater) {
  Settings settings = BasicSettings();
  Driver driver(settings);
  driver.List({Entry("dead"), Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  int to_dead = 0;
  for (int id = 1; id <= 600; ++id) {
    driver.Advance(driver.now + kSecond / 10);
    auto actions = driver.Arrive(id, "unsafe");
    for (int attempt_number = 0; Count<Send>(actions) > 0; ++attempt_number) {
      const bool dead = Only<Send>(actions)[0].worker == "dead";
      to_dead += dead;
      if (!dead)
        driver.Start(id, attempt_number);
      actions = driver.End(id, attempt_number, dead ? Outcome::kConnectFailed : Outcome::kServed, !dead);
    }
  }
  EXPECT_GE(to_dead, 3);
  EXPECT_LE(to_dead, 40);
}

// One node of a hundred gets an answer from the same worker only every few minutes. When nodes treated every
// queue as an unresponsive worker, they cancelled a quarter of all executions and ran them again, mostly when
// the fleet was short of workers.
TEST(UnavailableWorkers, DoesNotEjectAWorkerThatAnswersOtherNodes) {
  struct Case {
    std::optional<double> served_per_s;  // reported in answer to a probe; nullopt: no answer
    bool cancelled;
  };
  for (const Case& test_case : {Case{3.0, false}, Case{0.0, true}, Case{std::nullopt, true}}) {
    Settings settings = BasicSettings();
    settings.hedging = false;
    settings.reports_start = false;
    settings.probes = true;
    Driver driver(settings);
    driver.List({Entry("a"), Entry("b")});
    driver.Arrive(1, "repeatable", 20 * kSecond);
    int probes = 0;
    // The clock advances in steps of odd length, because timers fire late.
    for (const Micros end = driver.now + 3 * kSecond; driver.now < end;) {
      for (const Probe& probe : Only<Probe>(driver.Advance(driver.now + 7'777))) {
        ++probes;
        if (!test_case.served_per_s)
          continue;
        LoadReport report = ReportOfFreeSlots(0.0);
        report.served_per_s = test_case.served_per_s;
        driver.now += 5'000;
        driver.Do(ProbeDone{probe.worker, Outcome::kServed, 5'000, report});
      }
    }
    EXPECT_GE(probes, 1);
    EXPECT_LE(probes, 10);  // at most one probe in the time that an answer may take
    EXPECT_EQ(Count<Cancel>(driver.all) > 0, test_case.cancelled) << test_case.served_per_s.value_or(-1.0);
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
