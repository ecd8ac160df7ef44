// Which worker gets an attempt, from load reports, rejections, weights and kinds.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// A load report is older than the rejection that follows it, so the worker must not look idle because of it.
TEST(WorkerChoice, AvoidsAWorkerThatRejectedThoughAnOlderReportShowedItFree) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  std::map<std::string, int> sends;
  Driver d(s);
  d.List({Entry("full"), Entry("a"), Entry("b"), Entry("c")});
  for (int id = 1; id <= 400; ++id) {
    d.Advance(d.now + kSecond / 50);
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe"))) {
      ++sends[send.worker];
      if (send.worker == "full") {
        d.End(id, 0, Outcome::kRejected);
      } else {
        d.Start(id, 0);
        d.Advance(d.now + kSecond / 20);
        d.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_LT(4 * sends["full"], sends["a"] + sends["b"] + sends["c"]);
}

// Where queues are long, a worker that rejects is worse than one that reports half as long a queue.
TEST(WorkerChoice, CountsARejectingWorkerWithTheLongestQueueOfItsKind) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings s = BasicSettings();
    s.max_attempts = 1;
    Driver d(s, seed);
    const auto post_report = [&](const std::string& worker, double free, double waiting) {
      LoadReport report = ReportOfFreeSlots(free);
      report.waiting = waiting;
      d.Do(ProbeDone{worker, Outcome::kServed, 1000, report});
    };
    d.List({Entry("a")});
    post_report("a", 4.0, 0.0);
    post_report("a", 0.0, 20.0);
    d.Arrive(1, "unsafe");
    d.End(1, 0, Outcome::kRejected);
    d.List({Entry("a"), Entry("b")});
    post_report("b", 0.0, 10.0);
    const auto next = Only<Send>(d.Arrive(2, "unsafe"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].worker, "b");
  }
}

// The load report that comes with a rejection is older than the rejection.
TEST(WorkerChoice, RejectionOutweighsTheLoadReportInIt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings s = BasicSettings();
    s.max_attempts = 1;
    Driver d(s, seed);
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "unsafe");
    const std::string first = Only<Send>(d.all)[0].worker;
    AttemptEnded e;
    e.request = RequestId{1};
    e.outcome = Outcome::kRejected;
    e.report = ReportOfFreeSlots(4.0);
    d.Do(e);
    const auto next = Only<Send>(d.Arrive(2, "unsafe"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_NE(next[0].worker, first);
  }
}

// Free slots count even where no job would be late: scarce ones are left to later jobs.
TEST(WorkerChoice, PrefersTheFreerWorkerEvenWhereNoJobNeedBeLate) {
  int to_freer = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings s = BasicSettings();
    for (ClassSettings& c : s.classes)
      c.target = 4 * kSecond;  // as long as jobs run until one is seen to end
    Driver d(s, seed);
    d.List({Entry("busy"), Entry("freer")});
    d.Do(ProbeDone{"busy", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});  // it has four slots
    d.Do(ProbeDone{"busy", Outcome::kServed, 1000, ReportOfFreeSlots(1.0)});
    d.Do(ProbeDone{"freer", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});
    for (const Send& send : Only<Send>(d.Arrive(1, "unsafe")))
      to_freer += send.worker == "freer";
  }
  EXPECT_EQ(to_freer, 20);
}

// A kind of faster workers must not be chosen for its speed until it is full while others idle.
TEST(WorkerChoice, DoesNotOverloadAFasterKindWhileASlowerOneIsFree) {
  Settings s = BasicSettings();
  Driver d(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(Entry("fast" + std::to_string(i), "near", 0, "box"));
    workers.push_back(Entry("slow" + std::to_string(i), "near", 0, "crate"));
  }
  d.List(workers);
  std::map<bool, int> sends;
  for (int id = 1; id <= 2000; ++id) {
    d.Advance(d.now + kSecond / 100);
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe"))) {
      const bool fast = send.worker[0] == 'f';
      ++sends[fast];
      d.Start(id, 0);
      d.now += fast ? kSecond / 20 : kSecond / 10;
      AttemptEnded e;
      e.request = RequestId{static_cast<std::uint64_t>(id)};
      e.request_ended = true;
      e.report = ReportOfFreeSlots(fast ? 0.0 : 4.0);
      d.Do(e);
    }
  }
  EXPECT_GT(sends[false], sends[true]);
}

// Load reports are refreshed now and then and arrive late: a report of free slots a second ago says little to
// jobs that run a tenth of a second.
TEST(WorkerChoice, DoesNotSendAllShortJobsToTheWorkerOfAnOutdatedLoadReport) {
  Settings s = BasicSettings();
  for (ClassSettings& c : s.classes)
    c.target = kSecond / 20;
  s.reports = Settings::Reports::kProbesOnly;
  s.probes = true;
  Driver d(s);
  d.List({Entry("told-free"), Entry("told-full")});
  d.Do(ProbeDone{"told-full", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});  // it has four slots
  std::map<std::string, int> sends;
  for (int id = 1; id <= 200; ++id) {
    d.Do(ProbeDone{"told-free", Outcome::kServed, 1000, ReportOfFreeSlots(4.0)});
    d.Do(ProbeDone{"told-full", Outcome::kServed, 1000, ReportOfFreeSlots(0.0)});
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe")))
      ++sends[send.worker];
    d.Advance(d.now + kSecond / 50);
    d.Start(id, 0);
    d.Advance(d.now + kSecond / 50);
    d.End(id, 0, Outcome::kServed, true);
  }
  EXPECT_GT(sends["told-full"], 40);
}

// A worker kept full by other nodes' jobs of one key must be avoided for longer than one running time.
TEST(WorkerChoice, RemembersARejectionBeyondOneRunningTime) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  Driver d(s);
  d.List({Entry("full"), Entry("a")});
  std::map<std::string, int> sends;
  for (int id = 1; id <= 200; ++id) {
    d.Advance(d.now + 2 * kSecond);
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe"))) {
      ++sends[send.worker];
      if (send.worker == "a") {
        d.Start(id, 0);
        d.Advance(d.now + kSecond / 5);
      }
      d.End(id, 0, send.worker == "full" ? Outcome::kRejected : Outcome::kServed, send.worker == "a");
    }
  }
  EXPECT_GT(sends["a"], 150);
  EXPECT_GT(sends["full"], 3);  // and tried again
}

// One node of a hundred meets a worker once in minutes and never learns its size from answers.
TEST(WorkerChoice, SendsByListedWeightsBeforeAnyEvidence) {
  int to_large = 0;
  constexpr int kNodes = 400;
  for (std::uint64_t seed = 1; seed <= kNodes; ++seed) {
    Driver d(BasicSettings(), seed);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 20; ++i) {
      workers.push_back(Entry((i < 10 ? "large" : "small") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      workers.back().weight = i < 10 ? 4.5 : 1.5;
    }
    d.List(workers);
    const auto sends = Only<Send>(d.Arrive(1, "unsafe"));
    ASSERT_EQ(sends.size(), 1u);
    to_large += sends[0].worker.starts_with("large");
  }
  EXPECT_GT(to_large, kNodes * 68 / 100);
  EXPECT_LT(to_large, kNodes * 82 / 100);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
