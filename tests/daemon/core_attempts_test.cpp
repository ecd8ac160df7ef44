// Tests the reducer's handling of attempts: start, connection, send and end.
#include <doctest/doctest.h>

#include <cstddef>
#include <string>

#include "reducer_harness.h"

namespace aldersill {
namespace {

TEST_CASE("an attempt past its send deadline counts as not connected and is stopped before the next starts") {
  ReducerHarness harness;
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {ReducerHarness::Worker("b")});
  harness.Request(1, "once");
  const auto start = harness.Single<StartAttempt>();
  harness.Post(TimerDue{TimerOf(start.attempt, TimerKey::Kind::kSendDeadline)}, 250 * kMillisecond);
  CHECK(harness.Single<StopAttempt>().attempt == start.attempt);
  CHECK(harness.Single<StartAttempt>().worker != start.worker);
  CHECK(harness.core().counters().attempts[static_cast<std::size_t>(Outcome::kConnectFailed)] == 1);
}

TEST_CASE("a client that leaves ends its unsent attempts, for any class, with and without cancelling") {
  for (const bool cancels : {true, false}) {
    for (const std::string job_class : {"safe", "keyed", "once"}) {
      CAPTURE(cancels);
      CAPTURE(job_class);
      CoreSettings settings = TestSettings();
      settings.dispatcher.cancel = cancels;
      ReducerHarness harness(settings);
      harness.Request(1, job_class);
      const auto connecting = harness.Single<StartAttempt>();
      harness.Request(2, job_class);
      const auto running = harness.Single<StartAttempt>();
      harness.Post(AttemptSent{running.attempt});
      harness.PostClientLeft(1);
      CHECK(harness.Single<StopAttempt>().attempt == connecting.attempt);
      CHECK(harness.EffectsOf<StartAttempt>().empty());
      harness.Post(AttemptSent{connecting.attempt});  // has no effect: the attempt has ended
      CHECK(harness.core().counters().attempts[static_cast<std::size_t>(Outcome::kNotSent)] == 1);
      harness.PostClientLeft(2);
      CHECK(harness.EffectsOf<StopAttempt>().size() == (cancels ? 1 : 0));
      harness.EndAttempt(running.attempt, Outcome::kServed);
      CHECK(harness.EffectsOf<Answer>().empty());
      CHECK(harness.core().IsIdle());
    }
  }
}

TEST_CASE("an answered request ends its unsent attempts, even without cancelling") {
  CoreSettings settings = TestSettings();
  settings.dispatcher.cancel = false;
  ReducerHarness harness(settings);
  harness.Request(1, "once");
  const auto start = harness.Single<StartAttempt>();
  // The decision module's deadline timer fires before the connection is established, because it is shorter
  // than the reducer's timer.
  for (const SetTimer& timer : harness.EffectsOf<SetTimer>()) {
    if (timer.key.kind == TimerKey::Kind::kDispatcher)
      harness.Post(TimerDue{timer.key}, timer.delay);
    if (!harness.EffectsOf<Answer>().empty())
      break;
  }
  CHECK(harness.EffectsOf<Answer>().size() == 1);
  CHECK(harness.Single<StopAttempt>().attempt == start.attempt);
  CHECK(harness.core().IsIdle());
}

TEST_CASE("a connected attempt is checked again before it is sent, even if its timers fire late") {
  ReducerHarness harness;
  SUBCASE("connected in time: it is sent with the time that is left") {
    harness.Request(1, "once");
    const auto start = harness.Single<StartAttempt>();
    harness.Post(AttemptConnected{start.attempt}, 200 * kMillisecond);
    CHECK(harness.Single<SendAttempt>().attempt == start.attempt);
    CHECK(harness.Single<SendAttempt>().time_left == 780 * kMillisecond);
  }
  SUBCASE("connected around the deadline") {
    harness.Request(1, "safe", "", 300 * kMillisecond);
    const auto start = harness.Single<StartAttempt>();
    SUBCASE("just in time") {
      harness.Post(AttemptConnected{start.attempt}, 280 * kMillisecond - 1);
      CHECK(harness.Single<SendAttempt>().time_left == 1);
    }
    SUBCASE("too late") {
      harness.Post(AttemptConnected{start.attempt}, 280 * kMillisecond);
      CHECK(harness.EffectsOf<SendAttempt>().empty());
      CHECK(harness.Single<StopAttempt>().attempt == start.attempt);
      CHECK(harness.EffectsOf<Answer>().size() == 1);
      CHECK(harness.core().IsIdle());
    }
  }
}

TEST_CASE("a connected attempt that may no longer run is not sent") {
  ReducerHarness harness;
  SUBCASE("the endpoint list has expired") {
    harness.Request(1, "safe");
    harness.Post(EndpointListLease{200 * kMillisecond});
    harness.Post(AttemptConnected{AttemptId{1}}, 200 * kMillisecond);
    CHECK(harness.EffectsOf<SendAttempt>().empty());
    CHECK(harness.Single<StopAttempt>().attempt == AttemptId{1});
  }
  SUBCASE("the worker drains, or the client has left: the attempt has already ended") {
    harness.Request(1, "safe");
    harness.Request(2, "safe");
    harness.PostClientLeft(1);
    harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta,
                            {ReducerHarness::Worker("a", WorkerEndpoint::State::kDraining)});
    for (const AttemptId number : {AttemptId{1}, AttemptId{2}}) {
      harness.Post(AttemptConnected{number});
      CHECK(harness.EffectsOf<SendAttempt>().empty());
    }
  }
}

TEST_CASE("an attempt that is cancelled before its last byte was written never ran") {
  CoreSettings settings = TestSettings();
  settings.dispatcher.classes[1].window = 2 * kSecond;
  settings.dial_timeout = 4 * kSecond;  // longer than the decision module waits for progress
  ReducerHarness harness(settings);
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {ReducerHarness::Worker("b")});
  harness.Request(1, "keyed", "", 5 * kSecond);
  const auto first = harness.Single<StartAttempt>();
  Micros waited = 0;
  for (const SetTimer& timer : harness.EffectsOf<SetTimer>()) {
    if (timer.key.kind != TimerKey::Kind::kDispatcher || timer.delay >= 4 * kSecond || waited > 0)
      continue;
    harness.Post(TimerDue{timer.key}, timer.delay);
    waited = harness.EffectsOf<StopAttempt>().empty() ? 0 : timer.delay;
  }
  REQUIRE(waited > kSecond);
  CHECK(harness.Single<StopAttempt>().attempt == first.attempt);
  CHECK(harness.core().counters().attempts[static_cast<std::size_t>(Outcome::kNotSent)] == 1);
  const auto second = harness.Single<StartAttempt>();
  harness.Post(AttemptSent{second.attempt});
  // The window starts with the second attempt, the first that may have run.
  harness.EndAttempt(second.attempt, Outcome::kLost, "", 2 * kSecond - 2 * kMillisecond);
  CHECK(harness.EffectsOf<StartAttempt>().size() == 1);
}

}  // namespace
}  // namespace aldersill
