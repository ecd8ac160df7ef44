// Tests of the choice of a worker and of slow start.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "module_parts.h"

namespace aldersill::dispatch::testing {
namespace {

// The name of the worker that is selected for the request, or an empty string if there is none.
std::string Selected(ModuleParts* parts, const Request& request) {
  const int index = parts->selection.Select(request);
  return index == kNoWorker ? "" : parts->fleet.worker(index).name;
}

TEST(WorkerSelection, PrefersTheWorkerWithFreeSlots) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ModuleParts parts(BasicSettings(), seed);
    parts.Apply({Entry("full"), Entry("free")});
    parts.estimates.RecordRejection(&parts.WorkerNamed("full"));
    EXPECT_EQ(Selected(&parts, parts.AddRequest(1, kUnsafeClass)), "free");
  }
}

TEST(WorkerSelection, TakesAnEjectedWorkerOnlyAsTheLastResort) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ModuleParts parts(BasicSettings(), seed);
    parts.Apply({Entry("ejected"), Entry("other")});
    parts.ejection.Eject(&parts.WorkerNamed("ejected"));
    const Request& request = parts.AddRequest(1, kUnsafeClass);
    EXPECT_EQ(Selected(&parts, request), "other");
    parts.Apply({Entry("ejected")});
    EXPECT_EQ(Selected(&parts, request), "ejected");
  }
}

TEST(WorkerSelection, NeverTakesAWorkerThatIsNotReadyOrHasAnOpenAttempt) {
  ModuleParts parts;
  WorkerEntry draining = Entry("draining");
  draining.state = WorkerEntry::State::kDraining;
  parts.Apply({draining, Entry("tried")});
  Request& request = parts.AddRequest(1, kRepeatableClass);
  parts.AddAttempt(&request, "tried");
  EXPECT_EQ(Selected(&parts, request), "");
  request.attempts[0].open = false;
  EXPECT_EQ(Selected(&parts, request), "tried");
}

TEST(WorkerSelection, RunsAClassOnItsKindOnly) {
  Settings settings = BasicSettings();
  settings.classes[kUnsafeClass].kind = 1;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ModuleParts parts(settings, seed);
    parts.Apply({Entry("box", "near", 0, "box"), Entry("crate", "far", 0, "crate")});
    EXPECT_EQ(Selected(&parts, parts.AddRequest(1, kUnsafeClass)), "crate");
  }
}

TEST(WorkerSelection, AKeyedRequestThatMayHaveRunStaysInItsScope) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ModuleParts parts(BasicSettings(), seed);
    parts.Apply({Entry("first", "far", 2), Entry("same_cell", "far", 2), Entry("other_cell", "far", 3),
                 Entry("other_zone", "near", 2)});
    Request& request = parts.AddRequest(1, kKeyedClass);
    parts.AddAttempt(&request, "first").open = false;
    EXPECT_EQ(Selected(&parts, request), "same_cell");
  }
}

TEST(WorkerSelection, PrefersTheWorkerThatHasTheKeysData) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ModuleParts parts(BasicSettings(), seed);
    parts.Apply({Entry("a"), Entry("b")});
    parts.WorkerNamed("b").recent_keys = {7};
    Request& request = parts.AddRequest(1, kUnsafeClass);
    request.key = 7;
    parts.keys.Record(7);
    EXPECT_EQ(Selected(&parts, request), "b");
  }
}

TEST(SlowStart, CapacityGrowsEvenlyWhileWarmingUp) {
  Settings settings = BasicSettings();  // workers are warm after 20 s
  settings.cold_capacity_share = 0.2;
  ModuleParts parts(settings);
  WorkerEntry starting = Entry("starting");
  starting.since = parts.context.now();
  parts.Apply({starting, Entry("warm")});
  EXPECT_DOUBLE_EQ(WarmUpShare(parts.context, parts.WorkerNamed("starting")), 0.2);
  EXPECT_DOUBLE_EQ(WarmUpShare(parts.context, parts.WorkerNamed("warm")), 1.0);
  parts.Advance(10 * kSecond);
  EXPECT_DOUBLE_EQ(WarmUpShare(parts.context, parts.WorkerNamed("starting")), 0.6);
  parts.Advance(10 * kSecond);
  EXPECT_FALSE(IsWarmingUp(parts.context, parts.WorkerNamed("starting")));
}

// Draws workers for jobs that arrive ten times a second for this time. Returns the number of jobs that go to
// the warming-up worker.
int DrawnJobs(ModuleParts* parts, int seconds, int slots) {
  int drawn = 0;
  Request& request = parts->AddRequest(1, kUnsafeClass);
  request.slots = slots;
  for (int i = 0; i < 10 * seconds; ++i) {
    parts->Advance(kSecond / 10);
    drawn += parts->slow_start.DrawWorker(request) != kNoWorker;
  }
  return drawn;
}

Settings SlowStartSettings() {
  Settings settings = BasicSettings();
  settings.overload_factor = 3.0;
  settings.overload_window = kSecond;
  settings.cold_capacity_share = 0.5;
  settings.warm_after = 1000 * kSecond;
  return settings;
}

TEST(SlowStart, DrawsJobsAtTheRateThatTheWorkerBears) {
  ModuleParts parts(SlowStartSettings());
  WorkerEntry starting = Entry("starting");
  starting.since = parts.context.now();
  parts.Apply({starting});
  parts.slow_start.Begin();
  // When warm, the worker runs five jobs of 0.2 s a second in its one slot; now it has half of that capacity.
  // With an overload factor of 3, the limit is 7.5 jobs in a window of one second.
  const double variability = 1.3;
  const double root = std::sqrt(4.0 * variability + 7.5) - std::sqrt(4.0 * variability);
  const double expected = 0.75 * root * root * 100;
  EXPECT_NEAR(DrawnJobs(&parts, 100, 1), expected, 0.4 * expected);
}

TEST(SlowStart, NodesDivideTheRate) {
  Settings settings = SlowStartSettings();
  settings.nodes = 1000;
  ModuleParts parts(settings);
  WorkerEntry starting = Entry("starting");
  starting.since = parts.context.now();
  parts.Apply({starting});
  parts.slow_start.Begin();
  EXPECT_LT(DrawnJobs(&parts, 100, 1), 3);
}

TEST(SlowStart, LongJobsAreNeverDrawn) {
  ModuleParts parts(SlowStartSettings());
  WorkerEntry starting = Entry("starting");
  starting.since = parts.context.now();
  parts.Apply({starting});
  parts.slow_start.Begin();
  EXPECT_EQ(DrawnJobs(&parts, 10, 2), 0);  // a job of two slots is twice as large as the mean job
}

TEST(SlowStart, WarmAndDrainingWorkersAreNotDrawn) {
  ModuleParts parts(SlowStartSettings());
  WorkerEntry starting = Entry("starting");
  starting.since = parts.context.now();
  parts.Apply({starting, Entry("warm")});
  starting.state = WorkerEntry::State::kDraining;
  parts.fleet.Apply({WorkerList::Form::kDelta, {starting}});
  parts.slow_start.Begin();
  EXPECT_EQ(DrawnJobs(&parts, 10, 1), 0);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
