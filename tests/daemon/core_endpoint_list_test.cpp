// Tests the reducer's endpoint list, the list's lease, and the effect of both on attempts.
#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <variant>

#include "reducer_harness.h"

namespace aldersill {
namespace {

void CheckNothingIsSent(ReducerHarness& harness) {
  for (const char* job_class : {"safe", "keyed", "once"}) {
    harness.Request(3, job_class);
    CHECK(harness.EffectsOf<StartAttempt>().empty());
    CHECK(std::get<Rejection>(harness.Single<Answer>().answer).retry_after > 0);
  }
}

TEST_CASE("updates from the previous discovery are applied, and the new one is still polled") {
  ReducerHarness harness;
  harness.UpdateEndpoints(EndpointListUpdate::Form::kSnapshot,
                          {ReducerHarness::Worker("a"), ReducerHarness::Worker("b")});
  harness.Post(EndpointListWatchFailed{});  // the first poll of the new discovery
  const auto timers = harness.EffectsOf<SetTimer>();
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDeltaFromPreviousSource,
                          {ReducerHarness::Worker("a", WorkerEndpoint::State::kDraining)});
  for (std::uint64_t client = 1; client <= 8; ++client) {
    harness.Request(client, "once");
    CHECK(harness.Single<StartAttempt>().worker == "b");
  }
  std::size_t watches = 0;
  for (const SetTimer& timer : timers) {
    harness.Post(TimerDue{timer.key}, timer.delay);
    watches += harness.EffectsOf<WatchEndpointList>().size();
  }
  CHECK(watches == 1);
}

TEST_CASE("an unsent attempt never reaches a worker that starts draining") {
  ReducerHarness harness;
  harness.Request(1, "once");
  const auto start = harness.Single<StartAttempt>();
  harness.UpdateEndpoints(
      EndpointListUpdate::Form::kDelta,
      {ReducerHarness::Worker("a", WorkerEndpoint::State::kDraining), ReducerHarness::Worker("b")});
  CHECK(harness.Single<StopAttempt>().attempt == start.attempt);
  // The attempt never ran, so even an unsafe job is retried.
  CHECK(harness.Single<StartAttempt>().worker == "b");
}

TEST_CASE("an unsent attempt never reaches a worker that has restarted") {
  ReducerHarness harness;
  harness.Request(1, "once");
  const auto start = harness.Single<StartAttempt>();
  WorkerEndpoint restarted = ReducerHarness::Worker("a");
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta,
                          {restarted, ReducerHarness::Worker("b")});  // not restarted yet
  CHECK(harness.EffectsOf<StopAttempt>().empty());
  restarted.started = kTestStart;
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {restarted});
  CHECK(harness.Single<StopAttempt>().attempt == start.attempt);
  CHECK(harness.Single<StartAttempt>().worker == "b");
}

TEST_CASE("once the list's lease has expired, nothing new is sent until it is renewed") {
  ReducerHarness harness;
  harness.Post(EndpointListLease{3 * kSecond});
  const auto timer = harness.Single<SetTimer>();
  harness.Request(1, "once");
  const auto sent = harness.Single<StartAttempt>();
  harness.Post(AttemptSent{sent.attempt});
  harness.Request(2, "safe");
  const auto connecting = harness.Single<StartAttempt>();
  SUBCASE("reported by the timer") {
    harness.Post(EndpointListLease{kSecond});  // shorter than the first lease, so it ends before the timer
    harness.Post(EndpointListLease{2 * kSecond}, 900 * kMillisecond);
    harness.Post(TimerDue{timer.key}, 1'999 * kMillisecond);
    CHECK(harness.EffectsOf<StopAttempt>().empty());
    harness.Post(TimerDue{timer.key}, harness.Single<SetTimer>().delay);
    // A connection that is established late must not send. The attempt never ran, so a later retry is safe.
    CHECK(harness.Single<StopAttempt>().attempt == connecting.attempt);
  }
  SUBCASE("detected by an event before the timer fires") {
    harness.PostClientLeft(9, 3 * kSecond);
    CHECK(harness.Single<StopAttempt>().attempt == connecting.attempt);
  }
  SUBCASE("expired by a lease of 0") {
    harness.Post(EndpointListLease{0});
    CHECK(harness.Single<StopAttempt>().attempt == connecting.attempt);
  }
  CheckNothingIsSent(harness);
  harness.UpdateEndpoints(
      EndpointListUpdate::Form::kCached,
      {ReducerHarness::Worker("a"), ReducerHarness::Worker("b")});  // from a source that is not watched
  harness.Request(4, "safe");
  CHECK(harness.EffectsOf<StartAttempt>().empty());
  harness.UpdateEndpoints(EndpointListUpdate::Form::kSnapshot, {ReducerHarness::Worker("b")});
  harness.Post(EndpointListLease{kSecond});
  harness.Request(5, "safe");
  CHECK(harness.Single<StartAttempt>().worker == "b");
  harness.EndAttempt(sent.attempt, Outcome::kServed, "r");
  CHECK(std::get<Served>(harness.Single<Answer>().answer).result == "r");
}

TEST_CASE("an attempt whose send is reported when the list expires counts as sent") {
  ReducerHarness harness;
  harness.Post(EndpointListLease{kSecond});
  harness.Request(1, "once", "", 5 * kSecond);
  const auto start = harness.Single<StartAttempt>();
  harness.Post(AttemptConnected{start.attempt}, 999 * kMillisecond - 1);
  CHECK(harness.Single<SendAttempt>().attempt == start.attempt);
  harness.Post(AttemptSent{start.attempt});  // the first event after the expiry
  CHECK(harness.EffectsOf<StopAttempt>().empty());
  CHECK(harness.EffectsOf<Answer>().empty());
  harness.EndAttempt(start.attempt, Outcome::kLost, "", 0);
  CHECK(std::holds_alternative<Failure>(harness.Single<Answer>().answer));
}

TEST_CASE("a sent attempt stays at a worker that is no longer listed, and an unsafe job is not retried") {
  ReducerHarness harness;
  harness.Request(1, "once");
  const auto start = harness.Single<StartAttempt>();
  harness.Post(AttemptSent{start.attempt});
  harness.UpdateEndpoints(EndpointListUpdate::Form::kSnapshot,
                          {ReducerHarness::Worker("b")});  // "a" is not in the snapshot
  CHECK(harness.EffectsOf<StopAttempt>().empty());
  harness.EndAttempt(start.attempt, Outcome::kLost);
  CHECK(harness.EffectsOf<StartAttempt>().empty());
  CHECK(std::holds_alternative<Failure>(harness.Single<Answer>().answer));
}

TEST_CASE("a session's update does not count as discovery's: the list is still polled") {
  ReducerHarness harness;
  const auto timers = harness.EffectsOf<SetTimer>();  // include the decision module's poll timer
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {ReducerHarness::Worker("s")},
                          WorkerEndpoint::Source::kSession);
  bool polled = false;
  for (const SetTimer& timer : timers) {
    if (timer.key.kind != TimerKey::Kind::kDispatcher)
      continue;
    harness.Post(TimerDue{timer.key}, 200 * kMillisecond);
    polled = polled || !harness.EffectsOf<WatchEndpointList>().empty();
  }
  CHECK(polled);
  // A snapshot from discovery must not remove the workers of sessions.
  harness.UpdateEndpoints(EndpointListUpdate::Form::kSnapshot, {});
  CHECK(harness.core().endpoints().contains("s"));
  CHECK_FALSE(harness.core().endpoints().contains("a"));
}

}  // namespace
}  // namespace aldersill
