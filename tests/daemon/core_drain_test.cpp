// Tests the reducer's limits during a graceful shutdown.
#include <doctest/doctest.h>

#include <cstdint>
#include <variant>

#include "reducer_harness.h"

namespace aldersill {
namespace {

using Frontend = ClientRef::Frontend;

// The classes of TestSettings() have a deadline of 5 s, of which 3 s count. SIGKILL comes 0.7 s later, and
// the answers are due 0.2 s before it.
constexpr Micros kAnswersDueAfter = 3'500 * kMillisecond;
constexpr Micros kLateAfter = 600 * kMillisecond;

RequestReceived Request(Frontend frontend, Micros time_left) {
  RequestReceived request;
  request.client = {.frontend = frontend, .number = 1};
  request.job.job_class = "once";
  request.job.tenant = "t";
  request.job.time_left = time_left;
  return request;
}

// Guards against a job that finds no answer before SIGKILL because the frontend that received it applies no
// limit of its own.
TEST_CASE("a late request is answered before SIGKILL, whichever frontend received it") {
  for (const Frontend frontend : {Frontend::kHttp, Frontend::kFaktory}) {
    ReducerHarness harness;
    harness.Post(DrainStarted{});
    harness.Post(Request(frontend, 5 * kSecond), kLateAfter);
    const auto start = harness.Single<StartAttempt>();
    const Micros answer_margin = TestSettings().answer_margin;
    CHECK(start.time_left == kAnswersDueAfter - kLateAfter - answer_margin);
    harness.Post(AttemptSent{start.attempt});
    harness.Post(TimerDue{TimerOf(start.attempt, TimerKey::Kind::kGiveUp)}, start.time_left);
    CHECK(std::get<Failure>(harness.Single<Answer>().answer).reason == Failure::Reason::kTooLate);
    CHECK(harness.core().IsIdle());
  }
}

TEST_CASE("a request that is early in the drain, or ends sooner, keeps its own deadline") {
  ReducerHarness harness;
  harness.Post(DrainStarted{});
  SUBCASE("early") {
    harness.Post(Request(Frontend::kFaktory, 5 * kSecond), kLateAfter - 1);
    CHECK(harness.Single<StartAttempt>().time_left == 5 * kSecond - TestSettings().answer_margin);
  }
  SUBCASE("ends sooner") {
    harness.Post(Request(Frontend::kFaktory, kSecond), kLateAfter);
    CHECK(harness.Single<StartAttempt>().time_left == kSecond - TestSettings().answer_margin);
  }
}

TEST_CASE("a request that is too late in the drain is rejected, whichever frontend received it") {
  for (const Frontend frontend : {Frontend::kHttp, Frontend::kFaktory}) {
    ReducerHarness harness;
    harness.Post(DrainStarted{});
    harness.Post(Request(frontend, 5 * kSecond), kAnswersDueAfter - 499 * kMillisecond);
    CHECK(harness.EffectsOf<StartAttempt>().empty());
    const auto rejection = std::get<Rejection>(harness.Single<Answer>().answer);
    CHECK(rejection.reason == Rejection::Reason::kDraining);
    CHECK(rejection.retry_after > 0);
    CHECK(harness.core().IsIdle());
  }
}

TEST_CASE("a job received from another process late in the drain is answered before SIGKILL") {
  ReducerHarness harness;
  harness.Post(DrainStarted{});
  JobReceived received;
  received.job.job_class = "once";
  received.job.time_left = 5 * kSecond;
  received.worker = "a";
  harness.Post(std::move(received), kLateAfter);
  const auto give_up = harness.Single<SetTimer>();
  CHECK(give_up.key.kind == TimerKey::Kind::kGiveUp);
  CHECK(give_up.delay == kAnswersDueAfter - kLateAfter);
}

TEST_CASE("the schedule counts from the first signal, with the settings in force") {
  ReducerHarness harness;
  CoreSettings settings = TestSettings();
  for (auto& job_class : settings.dispatcher.classes)
    job_class.deadline = kSecond;
  harness.Post(DrainStarted{});
  harness.Post(DrainStarted{}, kSecond);
  harness.Post(SettingsChanged{settings}, 0);
  const Micros answers_due_at = kTestStart + 2 * kMillisecond + 1'500 * kMillisecond;
  CHECK_FALSE(harness.core().drain().AnswersDue(answers_due_at - 1));
  CHECK(harness.core().drain().AnswersDue(answers_due_at));
}

}  // namespace
}  // namespace aldersill
