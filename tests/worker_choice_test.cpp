// Tests which worker gets an attempt, depending on load reports, rejections, weights and kinds.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// A load report is older than the rejection that follows it, so it must not make the worker look idle.
TEST(WorkerChoice, AvoidsAWorkerThatRejectedThoughAnOlderReportShowedItFree) {
  Settings settings = BasicSettings();
  settings.max_attempts = 1;
  std::map<std::string, int> sends;
  Driver driver(settings);
  driver.List({Entry("full"), Entry("a"), Entry("b"), Entry("c")});
  for (int id = 1; id <= 400; ++id) {
    driver.Advance(driver.now + kSecond / 50);
    for (const Send& send : Only<Send>(driver.Arrive(id, "unsafe"))) {
      ++sends[send.worker];
      if (send.worker == "full") {
        driver.End(id, 0, Outcome::kRejected);
      } else {
        driver.Start(id, 0);
        driver.Advance(driver.now + kSecond / 20);
        driver.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_LT(4 * sends["full"], sends["a"] + sends["b"] + sends["c"]);
}

// Where queues are long, a worker that rejects must rank below one that reports a queue half as long.
TEST(WorkerChoice, CountsARejectingWorkerWithTheLongestQueueOfItsKind) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings settings = BasicSettings();
    settings.max_attempts = 1;
    Driver driver(settings, seed);
    const auto post_report = [&](const std::string& worker, double free, double waiting) {
      LoadReport report = ReportOfFreeSlots(free);
      report.waiting = waiting;
      driver.Do(ProbeDone{worker, Outcome::kServed, 1000, report});
    };
    driver.List({Entry("a")});
    post_report("a", 4.0, 0.0);
    post_report("a", 0.0, 20.0);
    driver.Arrive(1, "unsafe");
    driver.End(1, 0, Outcome::kRejected);
    driver.List({Entry("a"), Entry("b")});
    post_report("b", 0.0, 10.0);
    const auto next = Only<Send>(driver.Arrive(2, "unsafe"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].worker, "b");
  }
}

// The load report that comes with a rejection was taken before it.
TEST(WorkerChoice, RejectionOutweighsTheLoadReportInIt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings settings = BasicSettings();
    settings.max_attempts = 1;
    Driver driver(settings, seed);
    driver.List({Entry("a"), Entry("b")});
    driver.Arrive(1, "unsafe");
    const std::string first = Only<Send>(driver.all)[0].worker;
    AttemptEnded end;
    end.request = RequestId{1};
    end.outcome = Outcome::kRejected;
    end.report = ReportOfFreeSlots(4.0);
    driver.Do(end);
    const auto next = Only<Send>(driver.Arrive(2, "unsafe"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_NE(next[0].worker, first);
  }
}

// Free slots count even where no job would be late, because scarce free slots should be left for later jobs.
TEST(WorkerChoice, PrefersTheFreerWorkerEvenWhereNoJobNeedBeLate) {
  int to_freer = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings settings = BasicSettings();
    for (ClassSettings& job_class : settings.classes)
      job_class.target = 4 * kSecond;  // the running time that is assumed until a job has ended
    Driver driver(settings, seed);
    driver.List({Entry("busy"), Entry("freer")});
    // The first report shows that the worker has four slots.
    driver.Do(ProbeDone{"busy", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});
    driver.Do(ProbeDone{"busy", Outcome::kServed, 1000, ReportOfFreeSlots(1.0)});
    driver.Do(ProbeDone{"freer", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});
    for (const Send& send : Only<Send>(driver.Arrive(1, "unsafe")))
      to_freer += send.worker == "freer";
  }
  EXPECT_EQ(to_freer, 20);
}

// The kind with the faster workers must not be filled up for its speed while the other workers are idle.
TEST(WorkerChoice, DoesNotOverloadAFasterKindWhileASlowerOneIsFree) {
  Settings settings = BasicSettings();
  Driver driver(settings);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(Entry("fast" + std::to_string(i), "near", 0, "box"));
    workers.push_back(Entry("slow" + std::to_string(i), "near", 0, "crate"));
  }
  driver.List(workers);
  std::map<bool, int> sends;
  for (int id = 1; id <= 2000; ++id) {
    driver.Advance(driver.now + kSecond / 100);
    for (const Send& send : Only<Send>(driver.Arrive(id, "unsafe"))) {
      const bool fast = send.worker[0] == 'f';
      ++sends[fast];
      driver.Start(id, 0);
      driver.now += fast ? kSecond / 20 : kSecond / 10;
      AttemptEnded end;
      end.request = RequestId{static_cast<std::uint64_t>(id)};
      end.request_ended = true;
      end.report = ReportOfFreeSlots(fast ? 0.0 : 4.0);
      driver.Do(end);
    }
  }
  EXPECT_GT(sends[false], sends[true]);
}

// Load reports are refreshed only at intervals and arrive late. For jobs that run a tenth of a second, the
// free slots reported a second ago mean little.
TEST(WorkerChoice, DoesNotSendAllShortJobsToTheWorkerOfAnOutdatedLoadReport) {
  Settings settings = BasicSettings();
  for (ClassSettings& job_class : settings.classes)
    job_class.target = kSecond / 20;
  settings.reports = Settings::Reports::kProbesOnly;
  settings.probes = true;
  Driver driver(settings);
  driver.List({Entry("reported-free"), Entry("reported-full")});
  // The first report shows that the worker has four slots.
  driver.Do(ProbeDone{"reported-full", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});
  std::map<std::string, int> sends;
  for (int id = 1; id <= 200; ++id) {
    driver.Do(ProbeDone{"reported-free", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});
    driver.Do(ProbeDone{"reported-full", Outcome::kServed, 1000, ReportOfFreeSlots(0.0)});
    for (const Send& send : Only<Send>(driver.Arrive(id, "unsafe")))
      ++sends[send.worker];
    driver.Advance(driver.now + kSecond / 50);
    driver.Start(id, 0);
    driver.Advance(driver.now + kSecond / 50);
    driver.End(id, 0, Outcome::kServed, true);
  }
  EXPECT_GT(sends["reported-full"], 40);
}

// A worker that other nodes keep full with jobs of one key must be avoided for longer than one running time.
TEST(WorkerChoice, RemembersARejectionBeyondOneRunningTime) {
  Settings settings = BasicSettings();
  settings.max_attempts = 1;
  Driver driver(settings);
  driver.List({Entry("full"), Entry("a")});
  std::map<std::string, int> sends;
  for (int id = 1; id <= 200; ++id) {
    driver.Advance(driver.now + 2 * kSecond);
    for (const Send& send : Only<Send>(driver.Arrive(id, "unsafe"))) {
      ++sends[send.worker];
      if (send.worker == "a") {
        driver.Start(id, 0);
        driver.Advance(driver.now + kSecond / 5);
      }
      driver.End(id, 0, send.worker == "full" ? Outcome::kRejected : Outcome::kServed, send.worker == "a");
    }
  }
  EXPECT_GT(sends["a"], 150);
  EXPECT_GT(sends["full"], 3);  // the worker is tried again
}

// One node of a hundred sends to the same worker only every few minutes, so it cannot learn the worker's size
// from answers.
TEST(WorkerChoice, SendsByListedWeightsBeforeAnyEvidence) {
  int to_large = 0;
  constexpr int kNodes = 400;
  for (std::uint64_t seed = 1; seed <= kNodes; ++seed) {
    Driver driver(BasicSettings(), seed);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 20; ++i) {
      workers.push_back(Entry((i < 10 ? "large" : "small") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      workers.back().weight = i < 10 ? 4.5 : 1.5;
    }
    driver.List(workers);
    const auto sends = Only<Send>(driver.Arrive(1, "unsafe"));
    ASSERT_EQ(sends.size(), 1u);
    to_large += sends[0].worker.starts_with("large");
  }
  EXPECT_GT(to_large, kNodes * 68 / 100);
  EXPECT_LT(to_large, kNodes * 82 / 100);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
