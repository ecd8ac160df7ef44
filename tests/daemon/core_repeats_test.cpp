// The reducer: which jobs may run again after an attempt or a request that may have run.
#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "reducer_harness.h"

namespace aldersill {
namespace {

TEST_CASE("a keyed request that may have run is retried within the window of its first attempt, or never") {
  CoreSettings settings = TestSettings();
  settings.dispatcher.classes[1].window = 100 * kMillisecond;  // shorter than a dial
  ReducerHarness harness(settings);
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {ReducerHarness::Worker("b")});
  harness.Request(1, "keyed");
  const auto first = harness.Single<StartAttempt>();
  harness.Post(AttemptConnected{first.attempt});
  harness.Post(AttemptSent{first.attempt});
  harness.EndAttempt(first.attempt, Outcome::kLost, "", 58 * kMillisecond);
  const auto second = harness.Single<StartAttempt>();  // 60 ms after the start of the first
  const TimerKey deadline = TimerOf(second.attempt, TimerKey::Kind::kSendDeadline);
  Micros delay = 0;
  for (const SetTimer& timer : harness.EffectsOf<SetTimer>())
    delay = timer.key == deadline ? timer.delay : delay;
  CHECK(delay == 40 * kMillisecond);
  SUBCASE("the last moment") {
    harness.Post(AttemptConnected{second.attempt}, delay - 1);
    CHECK(harness.Single<SendAttempt>().attempt == second.attempt);
  }
  SUBCASE("too late") {
    SUBCASE("by the timer") { harness.Post(TimerDue{deadline}, delay); }
    SUBCASE("before the timer, which fires late") { harness.Post(AttemptConnected{second.attempt}, delay); }
    CHECK(harness.EffectsOf<SendAttempt>().empty());
    CHECK(harness.Single<StopAttempt>().attempt == second.attempt);
    CHECK(harness.EffectsOf<StartAttempt>().empty());
    // The idempotency key holds everywhere, so the client may try again.
    CHECK(std::holds_alternative<Rejection>(harness.Single<Answer>().answer));
    CHECK(harness.core().counters().attempts[static_cast<std::size_t>(Outcome::kNotSent)] == 1);
    CHECK(harness.core().IsIdle());
  }
}

struct AttemptEnding {
  enum class How {
    kEnded,         // the transport reports the outcome
    kSendDeadline,  // not sent in time
    kGiveUp,        // no answer in time
    kDrain,         // the worker starts draining
    kListExpired,
    kConnectedLate,  // connected after the client's deadline
  };
  std::string what;
  bool sent = false;
  How how = How::kEnded;
  Outcome outcome = Outcome::kNotSent;  // reported for kEnded, counted for all
  bool never_ran = false;
};

void PostEnding(ReducerHarness& harness, const StartAttempt& start, const AttemptEnding& ending) {
  using How = AttemptEnding::How;
  switch (ending.how) {
    case How::kEnded:
      return harness.EndAttempt(start.attempt, ending.outcome);
    case How::kSendDeadline:
      return harness.Post(TimerDue{TimerOf(start.attempt, TimerKey::Kind::kSendDeadline)},
                          250 * kMillisecond);
    case How::kGiveUp:
      return harness.Post(TimerDue{TimerOf(start.attempt, TimerKey::Kind::kGiveUp)}, kSecond);
    case How::kDrain:
      return harness.UpdateEndpoints(
          EndpointListUpdate::Form::kDelta,
          {ReducerHarness::Worker(start.worker, WorkerEndpoint::State::kDraining)});
    case How::kListExpired:
      return harness.Post(EndpointListLease{0});
    case How::kConnectedLate:
      return harness.Post(AttemptConnected{start.attempt}, kSecond);
  }
}

void CheckRetryAfter(const AttemptEnding& ending, const std::string& job_class) {
  using How = AttemptEnding::How;
  ReducerHarness harness;
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {ReducerHarness::Worker("b")});
  harness.Request(1, job_class);
  const auto start = harness.Single<StartAttempt>();
  if (ending.sent) {
    harness.Post(AttemptConnected{start.attempt});
    CHECK(harness.Single<SendAttempt>().attempt == start.attempt);
    harness.Post(AttemptSent{start.attempt});
  }
  PostEnding(harness, start, ending);
  CHECK(harness.core().counters().attempts[static_cast<std::size_t>(ending.outcome)] == 1);
  // What may still run at the worker is stopped before anything else starts.
  CHECK(harness.EffectsOf<StopAttempt>().size() == (ending.how == How::kEnded ? 0 : 1));
  const bool no_retry_possible =
      ending.how == How::kGiveUp || ending.how == How::kConnectedLate || ending.how == How::kListExpired;
  const bool harmless = ending.never_ran || job_class != "once";
  const bool retried = !no_retry_possible && harmless;
  REQUIRE(harness.EffectsOf<StartAttempt>().size() == (retried ? 1 : 0));
  if (retried)
    return;
  const auto answer = harness.Single<Answer>().answer;
  CHECK(std::holds_alternative<Rejection>(answer) == harmless);
  CHECK(harness.core().IsIdle());
}

TEST_CASE("an unsafe job is retried only where it cannot have run") {
  using How = AttemptEnding::How;
  const AttemptEnding endings[] = {
      {.what = "refused, or broken before the last byte",
       .sent = false,
       .how = How::kEnded,
       .outcome = Outcome::kConnectFailed,
       .never_ran = true},
      {.what = "never connected",
       .sent = false,
       .how = How::kSendDeadline,
       .outcome = Outcome::kConnectFailed,
       .never_ran = true},
      {.what = "draining before the last byte",
       .sent = false,
       .how = How::kDrain,
       .outcome = Outcome::kNotSent,
       .never_ran = true},
      {.what = "an answer before the last byte, to an unknown request",
       .sent = false,
       .how = How::kEnded,
       .outcome = Outcome::kError,
       .never_ran = false},
      {.what = "rejected or returned by the worker",
       .sent = true,
       .how = How::kEnded,
       .outcome = Outcome::kFull,
       .never_ran = true},
      {.what = "failed", .sent = true, .how = How::kEnded, .outcome = Outcome::kError, .never_ran = false},
      {.what = "cut, reset or killed",
       .sent = true,
       .how = How::kEnded,
       .outcome = Outcome::kLost,
       .never_ran = false},
      // After these there is no time, or no worker, for a retry.
      {.what = "given up unsent",
       .sent = false,
       .how = How::kGiveUp,
       .outcome = Outcome::kConnectFailed,
       .never_ran = true},
      {.what = "connected late",
       .sent = false,
       .how = How::kConnectedLate,
       .outcome = Outcome::kNotSent,
       .never_ran = true},
      {.what = "the list expired before the last byte",
       .sent = false,
       .how = How::kListExpired,
       .outcome = Outcome::kNotSent,
       .never_ran = true},
      {.what = "given up after the send",
       .sent = true,
       .how = How::kGiveUp,
       .outcome = Outcome::kTimeout,
       .never_ran = false},
  };
  for (const AttemptEnding& ending : endings) {
    for (const std::string job_class : {"safe", "keyed", "once"}) {
      CAPTURE(ending.what);
      CAPTURE(job_class);
      CheckRetryAfter(ending, job_class);
    }
  }
}

TEST_CASE("a job with an idempotent id follows its class's repeat rule") {
  ReducerHarness harness;
  const auto run = [&harness](std::uint64_t client, const std::string& job_class, const std::string& id) {
    harness.Request(client, job_class, id);
    if (harness.EffectsOf<StartAttempt>().empty())
      return false;
    const auto start = harness.Single<StartAttempt>();
    harness.Post(AttemptSent{start.attempt});
    harness.EndAttempt(start.attempt, Outcome::kServed);
    return true;
  };
  CHECK(run(1, "once", "x"));
  CHECK_FALSE(run(2, "once", "x"));
  CHECK(std::get<Failure>(harness.Single<Answer>().answer).reason == Failure::Reason::kRepeat);
  CHECK(run(3, "safe", "y"));
  CHECK(run(4, "safe", "y"));
  CHECK(run(5, "keyed", "z"));
  CHECK(run(6, "keyed", "z"));
  harness.Post(EndpointListWatchFailed{}, 2 * kSecond);  // the window is over
  CHECK_FALSE(run(7, "keyed", "z"));
}

TEST_CASE("a repeat by idempotent id starts within the window of the run before, however long it waits") {
  CoreSettings settings = TestSettings();
  settings.dial_timeout = 2 * kSecond;
  ReducerHarness harness(settings);
  harness.Request(1, "keyed", "z");
  const auto first = harness.Single<StartAttempt>();
  harness.Post(AttemptSent{first.attempt});
  harness.EndAttempt(first.attempt, Outcome::kServed);
  harness.Request(2, "keyed", "z", 3 * kSecond);  // 2 ms into a window of a second
  const auto second = harness.Single<StartAttempt>();
  SUBCASE("the last moment") {
    harness.Post(AttemptConnected{second.attempt}, 998 * kMillisecond - 1);
    CHECK(harness.EffectsOf<SendAttempt>().size() == 1);
  }
  SUBCASE("too late") {
    harness.Post(AttemptConnected{second.attempt}, 998 * kMillisecond);
    CHECK(harness.EffectsOf<SendAttempt>().empty());
    CHECK(harness.Single<StopAttempt>().attempt == second.attempt);
    CHECK(harness.EffectsOf<StartAttempt>().empty());
    CHECK(std::get<Failure>(harness.Single<Answer>().answer).reason ==
          Failure::Reason::kRepeat);  // as for a request that arrives then
    CHECK(harness.core().IsIdle());
  }
}

TEST_CASE("a job is not admitted again while its abandoned attempt runs") {
  ReducerHarness harness;
  harness.UpdateEndpoints(EndpointListUpdate::Form::kSnapshot, {});
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {ReducerHarness::Worker("w")},
                          WorkerEndpoint::Source::kSession);
  harness.Request(1, "safe", "x");
  const auto start = harness.Single<StartAttempt>();
  harness.Post(AttemptSent{start.attempt});
  harness.Post(TimerDue{TimerOf(start.attempt, TimerKey::Kind::kGiveUp)}, 990 * kMillisecond);
  CHECK(harness.EffectsOf<Answer>().size() == 1);
  harness.Request(2, "safe", "x");
  CHECK(harness.EffectsOf<StartAttempt>().empty());
  CHECK(std::get<Rejection>(harness.Single<Answer>().answer).retry_after > 0);
  harness.Post(AbandonedAttemptEnded{start.attempt});
  harness.Request(3, "safe", "x");
  CHECK(harness.EffectsOf<StartAttempt>().size() == 1);
}

}  // namespace
}  // namespace aldersill
