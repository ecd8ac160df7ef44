// Slow start: all nodes together must stay below the load that overloads a worker whose process has just
// started, and must use what the worker may get.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// Checks the work that all nodes together send to one warming-up worker in any overload window.
TEST(SlowStartOfWorkers, AllNodesTogetherStayUnderWhatOverloadsAWarmingWorker) {
  for (const int nodes : {1, 10, 100}) {
    Settings settings = BasicSettings();
    settings.nodes = nodes;
    settings.overload_factor = 2.5;
    settings.overload_window = kSecond;
    settings.cold_capacity_share = 0.12;
    settings.warm_after = 20 * kSecond;
    const Micros start = 1000 * kSecond;
    std::vector<Micros> sends;
    for (int node = 0; node < nodes; ++node) {
      Driver driver(settings, 100 + node);
      WorkerEntry cold = Entry("cold");
      cold.since = start;
      driver.now = start + 1;
      driver.List({cold});
      // Far more jobs arrive than the worker could ever take.
      for (int id = 0; id < 20'000 / nodes; ++id) {
        auto actions = driver.Advance(driver.now + kSecond * nodes / 1000);
        const auto more = driver.Arrive(id, "unsafe");
        actions.insert(actions.end(), more.begin(), more.end());
        for (std::size_t count = Only<Send>(actions).size(); count > 0; --count)
          sends.push_back(driver.now - start);
      }
    }
    EXPECT_FALSE(sends.empty());
    std::sort(sends.begin(), sends.end());
    // The worker is assumed to have one slot, as there is no load report, and a job of unknown running time
    // to take its class's target.
    const double job_time = settings.classes[2].target;
    for (std::size_t first = 0, last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] > settings.overload_window)
        ++first;
      const double capacity_share = settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) *
                                                                       static_cast<double>(sends[first]) /
                                                                       settings.warm_after;
      const double bound = settings.overload_factor * capacity_share * settings.overload_window;
      // The first job of the window does not count, as one job is always allowed, whatever its size.
      const double sent = static_cast<double>(last - first) * job_time;
      ASSERT_LE(sent, bound) << nodes << " nodes at " << sends[last];
    }
  }
}

// If idle nodes kept their unused allowance, all of them would use it within the same second of a surge.
TEST(SlowStartOfWorkers, UnusedAllowanceIsNotSavedForASurge) {
  Settings settings = BasicSettings();
  settings.nodes = 200;
  settings.overload_factor = 2.5;
  settings.overload_window = kSecond;
  settings.cold_capacity_share = 0.12;
  settings.warm_after = 20 * kSecond;
  const Micros start = 1000 * kSecond;
  const Micros surge = start + 15 * kSecond;
  int sends = 0;
  for (int node = 0; node < settings.nodes; ++node) {
    Driver driver(settings, 100 + node);
    WorkerEntry cold = Entry("cold");
    cold.since = start;
    driver.now = start + 1;
    driver.List({cold});
    driver.Arrive(1, "unsafe");  // the node considers the worker for a job
    driver.now = surge;
    driver.all.clear();
    for (int id = 2; id <= 22; ++id) {
      driver.Advance(driver.now + settings.overload_window / 20);
      driver.Arrive(id, "unsafe");
    }
    sends += Count<Send>(driver.all);
  }
  const double capacity_share =
      settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) * 15.0 / 20.0;
  EXPECT_GT(sends, 0);
  EXPECT_LE(sends * settings.classes[2].target,
            settings.overload_factor * capacity_share * settings.overload_window);
}

// When the nodes took turns instead of drawing at random, each of a hundred nodes had its turn for less than
// a second in ten minutes and left it unused. With six in ten workers replaced, the other workers had to
// carry the whole load.
TEST(SlowStartOfWorkers, ManyNodesTogetherUseTheAllowanceOfWarmingWorkers) {
  Settings settings = BasicSettings();
  settings.nodes = 100;
  settings.hedging = false;
  settings.overload_factor = 3.0;
  settings.overload_window = 3 * kSecond;
  settings.cold_capacity_share = 0.3;
  settings.warm_after = 9 * kSecond;
  settings.classes[0].target = 2 * kSecond;  // ten times the target of the other classes
  int to_cold[2] = {0, 0};                   // short jobs, long jobs; half of the jobs each
  for (int node = 0; node < settings.nodes; ++node) {
    Driver driver(settings, 100 + node);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 60; ++i) {
      workers.push_back(Entry((i < 36 ? "cold" : "warm") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      if (i < 36)
        workers.back().since = driver.now;
    }
    driver.List(workers);
    std::mt19937_64 random(node);
    std::exponential_distribution<double> gap(1.0);
    const Micros warm = driver.now + settings.warm_after;
    for (int id = 1;; ++id) {
      driver.Advance(driver.now + static_cast<Micros>(gap(random) * kSecond));
      if (driver.now >= warm)
        break;
      const bool is_long = random() % 2 == 0;
      for (const Send& send : Only<Send>(driver.Arrive(id, is_long ? "repeatable" : "unsafe"))) {
        to_cold[is_long] += send.worker.starts_with("cold");
        driver.Start(id, 0);
        driver.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_GT(to_cold[0], 40);  // of about 450; with turns none
  EXPECT_EQ(to_cold[1], 0);   // a few long jobs already make a cluster
}

// When many workers warm up, the one that started last must not get the allowance of those that have become
// warm.
TEST(SlowStartOfWorkers, TheLastWorkerToWarmUpDoesNotGetTheAllowanceOfOthers) {
  Settings settings = BasicSettings();
  settings.nodes = 200;
  settings.overload_factor = 3.0;
  settings.overload_window = 3 * kSecond;
  settings.cold_capacity_share = 0.3;
  settings.warm_after = 9 * kSecond;
  int to_last = 0;
  for (int node = 0; node < settings.nodes; ++node) {
    Driver driver(settings, 100 + node);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 60; ++i) {
      workers.push_back(Entry((i == 0 ? "last" : "other") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      workers.back().since = i == 0 ? driver.now - 2 * kSecond : driver.now - 9 * kSecond + 1;
    }
    driver.List(workers);
    std::mt19937_64 random(node);
    std::exponential_distribution<double> gap(1.0);
    const Micros until = driver.now + settings.overload_window;
    for (int id = 1;; ++id) {
      driver.Advance(driver.now + 10 + static_cast<Micros>(gap(random) * kSecond));
      if (driver.now >= until)
        break;
      for (const Send& send : Only<Send>(driver.Arrive(id, "unsafe")))
        to_last += send.worker == "last0";
    }
  }
  const double capacity_share =
      settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) * 2.0 / 9.0;
  EXPECT_GT(to_last, 0);
  EXPECT_LE(to_last * settings.classes[2].target,
            settings.overload_factor * capacity_share * settings.overload_window);
}

// Workers without evidence look free, but are not if most of the fleet is warming up.
TEST(SlowStartOfWorkers, AJobDrawnForAWarmingWorkerGoesThere) {
  Settings settings = BasicSettings();
  settings.cold_capacity_share = 0.3;
  settings.overload_factor = 30.0;  // so that a warming-up worker is drawn for every job
  Driver driver(settings);
  std::vector<WorkerEntry> workers = {Entry("free"), Entry("cold")};
  workers[1].since = driver.now;
  driver.List(workers);
  driver.Advance(driver.now + kSecond);
  const auto sends = Only<Send>(driver.Arrive(1, "unsafe"));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].worker, "cold");
}

TEST(SlowStartOfWorkers, AWarmWorkerIsUnlimited) {
  Driver driver(BasicSettings());
  WorkerEntry entry = Entry("a");
  entry.since = driver.now - 21 * kSecond;
  driver.List({entry});
  EXPECT_EQ(Count<Send>(driver.Arrive(1, "unsafe")), 1);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
