// All nodes together stay under what overloads a worker that has just started, and use what it may get.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// What all nodes together send to one warming-up worker in any window of `fall`, in slot-time of mean jobs.
TEST(SlowStartOfWorkers, AllNodesTogetherStayUnderWhatOverloadsAWarmingWorker) {
  for (const int nodes : {1, 10, 100}) {
    Settings s = BasicSettings();
    s.nodes = nodes;
    s.overload_factor = 2.5;
    s.overload_window = kSecond;
    s.cold_capacity_share = 0.12;
    s.warm_after = 20 * kSecond;
    const Micros start = 1000 * kSecond;
    std::vector<Micros> sends;
    for (int node = 0; node < nodes; ++node) {
      Driver d(s, 100 + node);
      WorkerEntry cold = Entry("cold");
      cold.since = start;
      d.now = start + 1;
      d.List({cold});
      // Far more is asked for than the worker could ever take.
      for (int id = 0; id < 20'000 / nodes; ++id) {
        auto actions = d.Advance(d.now + kSecond * nodes / 1000);
        const auto more = d.Arrive(id, "unsafe");
        actions.insert(actions.end(), more.begin(), more.end());
        for (std::size_t n = Only<Send>(actions).size(); n > 0; --n)
          sends.push_back(d.now - start);
      }
    }
    EXPECT_FALSE(sends.empty());
    std::sort(sends.begin(), sends.end());
    // One slot, as no report said otherwise; an unknown job counts as the class's target.
    const double job = s.classes[2].target;
    for (std::size_t first = 0, last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] > s.overload_window)
        ++first;
      const double able = s.cold_capacity_share +
                          (1.0 - s.cold_capacity_share) * static_cast<double>(sends[first]) / s.warm_after;
      const double bound = s.overload_factor * able * s.overload_window;
      // The job that opens the window is left out: one is always possible, whatever its size.
      const double sent = static_cast<double>(last - first) * job;
      ASSERT_LE(sent, bound) << nodes << " nodes at " << sends[last];
    }
  }
}

// Were idle nodes to keep their allowance, a surge would make all of them use it within the same second.
TEST(SlowStartOfWorkers, UnusedAllowanceIsNotSavedForASurge) {
  Settings s = BasicSettings();
  s.nodes = 200;
  s.overload_factor = 2.5;
  s.overload_window = kSecond;
  s.cold_capacity_share = 0.12;
  s.warm_after = 20 * kSecond;
  const Micros start = 1000 * kSecond;
  const Micros surge = start + 15 * kSecond;
  int sends = 0;
  for (int node = 0; node < s.nodes; ++node) {
    Driver d(s, 100 + node);
    WorkerEntry cold = Entry("cold");
    cold.since = start;
    d.now = start + 1;
    d.List({cold});
    d.Arrive(1, "unsafe");  // the worker is looked at
    d.now = surge;
    d.all.clear();
    for (int id = 2; id <= 22; ++id) {
      d.Advance(d.now + s.overload_window / 20);
      d.Arrive(id, "unsafe");
    }
    sends += Count<Send>(d.all);
  }
  const double able = s.cold_capacity_share + (1.0 - s.cold_capacity_share) * 15.0 / 20.0;
  EXPECT_GT(sends, 0);
  EXPECT_LE(sends * s.classes[2].target, s.overload_factor * able * s.overload_window);
}

// With turns in place of draws, each of a hundred nodes had its turn for under a second in ten minutes and
// left it unused: with six in ten workers replaced the others had to carry all load.
TEST(SlowStartOfWorkers, ManyNodesTogetherUseTheAllowanceOfWarmingWorkers) {
  Settings s = BasicSettings();
  s.nodes = 100;
  s.hedging = false;
  s.overload_factor = 3.0;
  s.overload_window = 3 * kSecond;
  s.cold_capacity_share = 0.3;
  s.warm_after = 9 * kSecond;
  s.classes[0].target = 2 * kSecond;  // ten times what a job of the others takes
  int to_cold[2] = {0, 0};            // short ones, long ones: half of the jobs each
  for (int node = 0; node < s.nodes; ++node) {
    Driver d(s, 100 + node);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 60; ++i) {
      workers.push_back(Entry((i < 36 ? "cold" : "warm") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      if (i < 36)
        workers.back().since = d.now;
    }
    d.List(workers);
    std::mt19937_64 random(node);
    std::exponential_distribution<double> gap(1.0);
    const Micros warm = d.now + s.warm_after;
    for (int id = 1;; ++id) {
      d.Advance(d.now + static_cast<Micros>(gap(random) * kSecond));
      if (d.now >= warm)
        break;
      const bool is_long = random() % 2 == 0;
      for (const Send& send : Only<Send>(d.Arrive(id, is_long ? "repeatable" : "unsafe"))) {
        to_cold[is_long] += send.worker.starts_with("cold");
        d.Start(id, 0);
        d.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_GT(to_cold[0], 40);  // of some 450; by turns it was none
  EXPECT_EQ(to_cold[1], 0);   // few long ones make a cluster
}

// Of many workers that warm up, the one that started last must not inherit the chances of those that are warm
// by now.
TEST(SlowStartOfWorkers, TheLastWorkerToWarmUpDoesNotGetTheAllowanceOfOthers) {
  Settings s = BasicSettings();
  s.nodes = 200;
  s.overload_factor = 3.0;
  s.overload_window = 3 * kSecond;
  s.cold_capacity_share = 0.3;
  s.warm_after = 9 * kSecond;
  int to_last = 0;
  for (int node = 0; node < s.nodes; ++node) {
    Driver d(s, 100 + node);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 60; ++i) {
      workers.push_back(Entry((i == 0 ? "last" : "other") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      workers.back().since = i == 0 ? d.now - 2 * kSecond : d.now - 9 * kSecond + 1;
    }
    d.List(workers);
    std::mt19937_64 random(node);
    std::exponential_distribution<double> gap(1.0);
    const Micros until = d.now + s.overload_window;
    for (int id = 1;; ++id) {
      d.Advance(d.now + 10 + static_cast<Micros>(gap(random) * kSecond));
      if (d.now >= until)
        break;
      for (const Send& send : Only<Send>(d.Arrive(id, "unsafe")))
        to_last += send.worker == "last0";
    }
  }
  const double able = s.cold_capacity_share + (1.0 - s.cold_capacity_share) * 2.0 / 9.0;
  EXPECT_GT(to_last, 0);
  EXPECT_LE(to_last * s.classes[2].target, s.overload_factor * able * s.overload_window);
}

// Workers of which nothing is known look free and are not where most of a fleet warms up.
TEST(SlowStartOfWorkers, AJobDrawnForAWarmingWorkerGoesThere) {
  Settings s = BasicSettings();
  s.cold_capacity_share = 0.3;
  s.overload_factor = 30.0;  // so that every job is drawn
  Driver d(s);
  std::vector<WorkerEntry> workers = {Entry("free"), Entry("cold")};
  workers[1].since = d.now;
  d.List(workers);
  d.Advance(d.now + kSecond);
  const auto sends = Only<Send>(d.Arrive(1, "unsafe"));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].worker, "cold");
}

TEST(SlowStartOfWorkers, AWarmWorkerIsUnlimited) {
  Driver d(BasicSettings());
  WorkerEntry entry = Entry("a");
  entry.since = d.now - 21 * kSecond;
  d.List({entry});
  EXPECT_EQ(Count<Send>(d.Arrive(1, "unsafe")), 1);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
