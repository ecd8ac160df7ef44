// Tests of the parts that track workers: fleet, estimates, ejection, unresponsive workers and endpoint-list
// polling.
#include <gtest/gtest.h>

#include "module_parts.h"

namespace aldersill::dispatch::testing {
namespace {

TEST(WorkerPool, SamplesByWeight) {
  WorkerPool pool;
  pool.Add(4, 1.0);
  pool.Add(5, 3.0);
  EXPECT_EQ(pool.AtQuantile(0.0), 4);
  EXPECT_EQ(pool.AtQuantile(0.24), 4);
  EXPECT_EQ(pool.AtQuantile(0.26), 5);
  EXPECT_EQ(pool.AtQuantile(1.0), 5);
  EXPECT_DOUBLE_EQ(pool.total_weight(), 4.0);
}

TEST(KeyPopularity, GivesTheShareOfRecentRequests) {
  KeyPopularity keys;
  for (std::uint64_t i = 0; i < 4'000; ++i)
    keys.Record(i % 4 == 0 ? 7 : 1'000 + i);
  EXPECT_NEAR(keys.ShareOf(7), 0.25, 0.03);
  EXPECT_LT(keys.ShareOf(999), 0.01);
}

TEST(Fleet, PoolsHoldTheReadyWorkersOfAKindAndZone) {
  ModuleParts parts;
  WorkerEntry draining = Entry("c");
  draining.state = WorkerEntry::State::kDraining;
  parts.Apply({Entry("a", "near", 1, "box"), Entry("b", "far", 2, "crate"), draining});
  EXPECT_EQ(parts.fleet.ready_workers(), 2);
  EXPECT_EQ(parts.fleet.All(1).size(), 1u);
  EXPECT_EQ(parts.fleet.InZone(-1, parts.fleet.home())[0], parts.fleet.Find("a"));
  EXPECT_EQ(parts.fleet.InCell(2)[0], parts.fleet.Find("b"));
  EXPECT_TRUE(parts.fleet.InCell(3).empty());
}

TEST(Fleet, ARestartResetsEstimatesAndKeepsOpenAttempts) {
  ModuleParts parts;
  parts.Apply({Entry("a")});
  parts.fleet.RecordSent(0, 2, 7);
  parts.WorkerNamed("a").error_rate = 0.5;
  WorkerEntry restarted = Entry("a");
  restarted.since = 1;
  parts.Apply({restarted}, WorkerList::Form::kDelta);
  EXPECT_EQ(parts.WorkerNamed("a").own_slots, 2);
  EXPECT_EQ(parts.WorkerNamed("a").error_rate, 0.0);
  EXPECT_FALSE(parts.WorkerNamed("a").HasRecentKey(7));
}

TEST(WorkerEstimates, FreeSlotsAreReadFromWhatTheReportHas) {
  LoadReport report;
  EXPECT_FALSE(FreeSlotsIn(report, 4.0).has_value());
  report.waiting = 2.0;
  EXPECT_FALSE(FreeSlotsIn(report, 4.0).has_value());
  report.cpu_share = 0.5;
  EXPECT_DOUBLE_EQ(*FreeSlotsIn(report, 4.0), 0.0);
  report.running_jobs = 1.0;
  EXPECT_DOUBLE_EQ(*FreeSlotsIn(report, 4.0), 1.0);
  report.free_slots = 4.0;
  EXPECT_DOUBLE_EQ(*FreeSlotsIn(report, 4.0), 2.0);
}

TEST(WorkerEstimates, AReportLosesWeightAsItAges) {
  ModuleParts parts;
  parts.Apply({Entry("a"), Entry("b")});
  parts.estimates.RecordReport(0, ReportOfFreeSlots(8.0));
  parts.estimates.RecordReport(0, ReportOfFreeSlots(0.0));
  const double soon = parts.estimates.FreeSlots(parts.fleet.worker(0));
  parts.Advance(10 * kSecond);
  const double later = parts.estimates.FreeSlots(parts.fleet.worker(0));
  EXPECT_LT(soon, later);
  EXPECT_NEAR(later, parts.estimates.FreeSlots(parts.fleet.worker(1)), 1e-6);
}

TEST(WorkerEstimates, ARejectingWorkerCountsAsFull) {
  ModuleParts parts;
  parts.Apply({Entry("a"), Entry("b")});
  parts.estimates.RecordReport(0, ReportOfFreeSlots(4.0));
  parts.estimates.RecordRejection(&parts.fleet.worker(0));
  EXPECT_LT(parts.estimates.FreeSlots(parts.fleet.worker(0)), -3.0);
  EXPECT_GT(parts.estimates.FreeSlots(parts.fleet.worker(1)), 3.0);
}

TEST(WorkerEstimates, EvidenceOnOneWorkerDecaysToItsPeersAverage) {
  ModuleParts parts;
  parts.Apply({Entry("a"), Entry("b")});
  Worker& worker = parts.fleet.worker(0);
  worker.decayed_at = parts.context.now();
  parts.estimates.RecordResult(&worker, /*failed=*/true);
  parts.estimates.RecordRunTime(&worker, 4.0);
  EXPECT_DOUBLE_EQ(worker.error_rate, 0.25);
  EXPECT_DOUBLE_EQ(worker.run_time_ratio, 1.75);
  parts.Advance(100 * kSecond);
  parts.estimates.Decay(&worker);
  EXPECT_NEAR(worker.error_rate, 0.05, 1e-3);
  EXPECT_NEAR(worker.run_time_ratio, 1.15, 1e-3);
}

TEST(WorkerEstimates, UsualStartDelayFallsFastAndRisesSlowly) {
  ModuleParts parts;
  parts.Apply({Entry("a")});
  const Worker& worker = parts.fleet.worker(0);
  EXPECT_DOUBLE_EQ(parts.estimates.RecordStartDelay(worker, 1000.0), 500.0);
  EXPECT_DOUBLE_EQ(parts.estimates.RecordStartDelay(worker, 100.0), 300.0);
  EXPECT_DOUBLE_EQ(parts.estimates.RecordStartDelay(worker, 1300.0), 310.0);
}

TEST(OutlierEjection, BackoffDoublesUntilAnAnswer) {
  ModuleParts parts;
  parts.Apply({Entry("a")});
  Worker& worker = parts.fleet.worker(0);
  Micros backoff = kSecond / 2;
  for (int i = 0; i < 4; ++i, backoff *= 2) {
    parts.ejection.Eject(&worker);
    EXPECT_EQ(worker.ejection_backoff, backoff);
    EXPECT_TRUE(parts.ejection.IsEjected(worker));
    EXPECT_GE(worker.ejected_until, parts.context.now() + backoff / 2);
    EXPECT_LE(worker.ejected_until, parts.context.now() + backoff * 3 / 2);
  }
  parts.ejection.RecordAnswer(&worker);
  EXPECT_FALSE(parts.ejection.IsEjected(worker));
  parts.ejection.Eject(&worker);
  EXPECT_EQ(worker.ejection_backoff, kSecond / 2);
}

TEST(OutlierEjection, ThreeConsecutiveConnectFailuresEjectTheZone) {
  ModuleParts parts;
  parts.Apply({Entry("a"), Entry("b"), Entry("c", "far")});
  Worker& failing = parts.WorkerNamed("a");
  parts.ejection.RecordConnectFailure(&failing);
  parts.ejection.RecordConnectFailure(&failing);
  EXPECT_FALSE(parts.ejection.IsEjected(parts.WorkerNamed("b")));
  parts.ejection.RecordConnectFailure(&failing);
  EXPECT_TRUE(parts.ejection.IsEjected(parts.WorkerNamed("b")));
  EXPECT_FALSE(parts.ejection.IsEjected(parts.WorkerNamed("c")));
  EXPECT_EQ(Count<Log>(parts.actions), 1);
  parts.ejection.RecordAnswer(&parts.WorkerNamed("b"));
  EXPECT_FALSE(parts.ejection.IsEjected(parts.WorkerNamed("b")));
}

// Time within which a job of BasicSettings() must be answered, in microseconds: 1.5 x (0.4 s + 0.2 s).
constexpr Micros kAnswerTimeout = 900'000;

TEST(UnresponsiveWorkers, ASilentWorkerIsEjectedAndItsAttemptCancelled) {
  ModuleParts parts;
  parts.rate.Begin();
  parts.throttle.Begin();
  parts.Apply({Entry("a")});
  Request& request = parts.AddRequest(1, kRepeatableClass);
  parts.AddAttempt(&request, "a");
  parts.Advance(kAnswerTimeout / 2);
  parts.unresponsive_workers.CheckAttempts(&request);
  EXPECT_FALSE(parts.ejection.IsEjected(parts.WorkerNamed("a")));
  ASSERT_EQ(Count<SetTimer>(parts.actions), 1);  // for the next check
  EXPECT_EQ(Only<SetTimer>(parts.actions)[0].delay, kAnswerTimeout / 2);
  parts.Advance(kAnswerTimeout / 2);
  parts.unresponsive_workers.CheckAttempts(&request);
  EXPECT_TRUE(parts.ejection.IsEjected(parts.WorkerNamed("a")));
  EXPECT_EQ(Count<Cancel>(parts.actions), 1);
}

TEST(UnresponsiveWorkers, AnUnsafeRequestIsNotCancelled) {
  ModuleParts parts;
  parts.rate.Begin();
  parts.throttle.Begin();
  parts.Apply({Entry("a")});
  Request& request = parts.AddRequest(1, kUnsafeClass);
  parts.AddAttempt(&request, "a");
  parts.Advance(kAnswerTimeout);
  parts.unresponsive_workers.CheckAttempts(&request);
  EXPECT_TRUE(parts.ejection.IsEjected(parts.WorkerNamed("a")));
  EXPECT_EQ(Count<Cancel>(parts.actions), 0);
}

TEST(UnresponsiveWorkers, AWorkerIsProbedFirstWhereProbesAreAllowed) {
  Settings settings = BasicSettings();
  settings.probes = true;
  ModuleParts parts(settings);
  parts.rate.Begin();
  parts.throttle.Begin();
  parts.Apply({Entry("a")});
  Request& request = parts.AddRequest(1, kRepeatableClass);
  parts.AddAttempt(&request, "a");
  parts.Advance(kAnswerTimeout);
  parts.unresponsive_workers.CheckAttempts(&request);
  EXPECT_EQ(Count<Probe>(parts.actions), 1);
  EXPECT_FALSE(parts.ejection.IsEjected(parts.WorkerNamed("a")));
  parts.Advance(300'000);
  parts.unresponsive_workers.CheckAttempts(&request);
  EXPECT_EQ(Count<Probe>(parts.actions), 0);
  EXPECT_TRUE(parts.ejection.IsEjected(parts.WorkerNamed("a")));
}

TEST(UnresponsiveWorkers, AWorkerThatAnsweredAnotherJobIsNotSilent) {
  ModuleParts parts;
  parts.Apply({Entry("a")});
  Request& request = parts.AddRequest(1, kRepeatableClass);
  parts.AddAttempt(&request, "a");
  parts.Advance(kAnswerTimeout);
  parts.WorkerNamed("a").answered_at = parts.context.now() - 1000;
  parts.unresponsive_workers.CheckAttempts(&request);
  EXPECT_FALSE(parts.ejection.IsEjected(parts.WorkerNamed("a")));
}

TEST(EndpointListPolling, BacksOffUntilAListArrives) {
  Settings settings = BasicSettings();
  settings.subscribe = true;
  settings.max_list_poll_interval = 32 * kSecond;
  ModuleParts parts(settings);
  parts.list_polling.Begin();
  EXPECT_EQ(Count<SetTimer>(parts.actions), 1);
  for (Micros backoff = kSecond; backoff <= 8 * kSecond; backoff *= 2) {
    parts.Advance(kSecond);
    parts.list_polling.Poll();
    EXPECT_EQ(Count<SubscribeList>(parts.actions), 1);
    ASSERT_EQ(Count<SetTimer>(parts.actions), 1);
    EXPECT_GE(Only<SetTimer>(parts.actions)[0].delay, backoff);
    EXPECT_LE(Only<SetTimer>(parts.actions)[0].delay, 2 * backoff);
  }
  parts.list_polling.RecordList(WorkerList::Form::kCached);  // does not confirm the subscription
  parts.Advance(kSecond);
  parts.list_polling.Poll();
  EXPECT_EQ(Count<SubscribeList>(parts.actions), 1);
  parts.list_polling.RecordList(WorkerList::Form::kDelta);
  parts.Advance(kSecond);
  parts.list_polling.Poll();
  EXPECT_TRUE(parts.actions.empty());
}

TEST(EndpointListPolling, AFailureSchedulesOnePoll) {
  Settings settings = BasicSettings();
  settings.subscribe = true;
  ModuleParts parts(settings);
  parts.list_polling.RecordList(WorkerList::Form::kFull);
  parts.list_polling.RecordList(WorkerList::Form::kFailed);
  parts.list_polling.RecordList(WorkerList::Form::kFailed);
  EXPECT_EQ(Count<SetTimer>(parts.actions), 1);
  EXPECT_EQ(Count<Log>(parts.actions), 1);  // the second line within ten seconds is dropped
}

}  // namespace
}  // namespace aldersill::dispatch::testing
