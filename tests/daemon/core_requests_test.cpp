// Tests the reducer's answers to requests and the settings that apply to them.
#include <doctest/doctest.h>

#include <variant>

#include "reducer_harness.h"

namespace aldersill {
namespace {

TEST_CASE("a request gets one answer, whatever events follow") {
  ReducerHarness harness;
  harness.Request(1, "safe");
  const auto start = harness.Single<StartAttempt>();
  CHECK(start.address == "a:1");
  CHECK(start.time_left <= kSecond - 20 * kMillisecond);  // less the answer margin
  harness.Post(AttemptSent{start.attempt});
  harness.EndAttempt(start.attempt, Outcome::kServed, "r");
  CHECK(std::get<Served>(harness.Single<Answer>().answer).result == "r");
  CHECK(harness.core().IsIdle());
  harness.EndAttempt(start.attempt, Outcome::kLost);
  harness.PostClientLeft(1);
  CHECK(harness.EffectsOf<Answer>().empty());
}

TEST_CASE("every rejection has a Retry-After") {
  ReducerHarness harness;
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta,
                          {ReducerHarness::Worker("a", WorkerEndpoint::State::kGone)});
  for (const char* job_class : {"safe", "keyed", "once"}) {
    harness.Request(1, job_class);
    CHECK(std::get<Rejection>(harness.Single<Answer>().answer).retry_after > 0);
  }
}

TEST_CASE("changed settings apply to later requests; earlier requests end under the previous settings") {
  ReducerHarness harness;
  harness.Request(1, "safe");
  const StartAttempt first = harness.Single<StartAttempt>();
  CoreSettings next = TestSettings();
  next.dispatcher.classes.erase(next.dispatcher.classes.begin());
  next.dispatcher.classes.push_back({.name = "new", .target = 400'000, .deadline = 5 * kSecond});
  harness.Post(SettingsChanged{next});
  harness.Request(2, "new");
  const StartAttempt second = harness.Single<StartAttempt>();
  harness.Request(3, "safe");
  CHECK(std::holds_alternative<Failure>(harness.Single<Answer>().answer));
  for (const StartAttempt& start : {second, first}) {
    harness.Post(AttemptSent{start.attempt});
    harness.EndAttempt(start.attempt, Outcome::kServed, "ok");
    CHECK(std::get<Served>(harness.Single<Answer>().answer).result == "ok");
  }
}

}  // namespace
}  // namespace aldersill
