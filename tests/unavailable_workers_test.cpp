// Workers and zones that cannot be reached or do not answer.
#include <gtest/gtest.h>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// No outcome shows that a worker accepts jobs and answers none: its jobs would wait for their deadlines.
TEST(UnavailableWorkers, EjectsAnUnresponsiveWorkerAndRetriesItsRepeatableJobsElsewhere) {
  Settings s = BasicSettings();
  s.hedging = false;
  s.cancel = true;
  s.tenants = {{"only", 1.0, 100.0}};
  Driver d(s);
  d.List({Entry("silent"), Entry("a")});
  int late = 0, called_back = 0;
  for (int id = 1; id <= 300; ++id) {
    for (const Cancel& c : Only<Cancel>(d.Advance(d.now + kSecond / 10))) {
      ++called_back;
      d.End(static_cast<int>(c.request), c.attempt_number, Outcome::kCancelled);
    }
    for (const Send& send : Only<Send>(d.Arrive(id, "repeatable", 30 * kSecond, 1, "only"))) {
      if (send.worker == "silent") {
        late += id > 200;
      } else {
        d.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_GT(called_back, 0);
  EXPECT_LT(late, 20);  // of a hundred; half of them without it
}

// Operators rely on this line; its rate is bounded.
TEST(UnavailableWorkers, LogsAnUnreachableZoneOnceInTenSeconds) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  for (int id = 1; id <= 100; ++id) {
    d.Advance(d.now + kSecond / 20);
    d.Arrive(id, "unsafe");
    d.End(id, 0, Outcome::kConnectFailed);
  }
  EXPECT_EQ(Count<Log>(d.all), 1);
}

// An ejection ends after a while, so that a worker that is back is found.
TEST(UnavailableWorkers, EjectsAnUnreachableWorkerAndTriesItAgainLater) {
  Settings s = BasicSettings();
  Driver d(s);
  d.List({Entry("dead"), Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  int to_dead = 0;
  for (int id = 1; id <= 600; ++id) {
    d.Advance(d.now + kSecond / 10);
    auto actions = d.Arrive(id, "unsafe");
    for (int attempt_number = 0; Count<Send>(actions) > 0; ++attempt_number) {
      const bool dead = Only<Send>(actions)[0].worker == "dead";
      to_dead += dead;
      if (!dead)
        d.Start(id, attempt_number);
      actions = d.End(id, attempt_number, dead ? Outcome::kConnectFailed : Outcome::kServed, !dead);
    }
  }
  EXPECT_GE(to_dead, 3);
  EXPECT_LE(to_dead, 40);
}

// One node of a hundred gets an answer from a worker once in minutes. Taking each queue for silence, nodes
// cancelled a quarter of all executions and ran them again, most of them when the fleet was short of workers.
TEST(UnavailableWorkers, DoesNotEjectAWorkerThatAnswersOtherNodes) {
  struct Case {
    std::optional<double> served_per_s;  // what it tells when it is asked; nothing: it does not answer
    bool called_back;
  };
  for (const Case& c : {Case{3.0, false}, Case{0.0, true}, Case{std::nullopt, true}}) {
    Settings s = BasicSettings();
    s.hedging = false;
    s.reports_start = false;
    s.probes = true;
    Driver d(s);
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "repeatable", 20 * kSecond);
    int asked = 0;
    // In steps of odd length, as timers ring late.
    for (const Micros end = d.now + 3 * kSecond; d.now < end;) {
      for (const Probe& probe : Only<Probe>(d.Advance(d.now + 7'777))) {
        ++asked;
        if (!c.served_per_s)
          continue;
        LoadReport report = ReportOfFreeSlots(0.0);
        report.served_per_s = c.served_per_s;
        d.now += 5'000;
        d.Do(ProbeDone{probe.worker, Outcome::kServed, 5'000, report});
      }
    }
    EXPECT_GE(asked, 1);
    EXPECT_LE(asked, 10);  // once in the time that an answer may take
    EXPECT_EQ(Count<Cancel>(d.all) > 0, c.called_back) << c.served_per_s.value_or(-1.0);
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
