// Tests that one id names one job, whichever frontend or process receives it.
#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>

#include "core/job_id_registry.h"
#include "reducer_harness.h"

namespace aldersill {
namespace {

// The kinds of ids: those that HTTP clients choose and those that Faktory clients choose.
enum class IdKind { kOneTime, kIdempotent };

Job JobWithId(const std::string& id, IdKind kind, const std::string& job_class = "once") {
  Job job;
  job.id = id;
  job.has_idempotent_id = kind == IdKind::kIdempotent;
  job.job_class = job_class;
  job.tenant = "t";
  job.time_left = kSecond;
  return job;
}

void PostRequest(ReducerHarness& harness, std::uint64_t client, Job job) {
  const auto frontend = job.has_idempotent_id ? ClientRef::Frontend::kFaktory : ClientRef::Frontend::kHttp;
  harness.Post(RequestReceived{.client = {.frontend = frontend, .number = client}, .job = std::move(job)});
}

// Whether the last event was a request that was rejected as a repeat.
bool RejectedAsRepeat(const ReducerHarness& harness) {
  if (!harness.EffectsOf<StartAttempt>().empty() || harness.EffectsOf<Answer>().size() != 1)
    return false;
  const auto answer = harness.Single<Answer>().answer;
  const auto* failure = std::get_if<Failure>(&answer);
  return failure != nullptr && failure->reason == Failure::Reason::kRepeat;
}

void CheckBothKindsRejected(ReducerHarness& harness, const std::string& id) {
  PostRequest(harness, 101, JobWithId(id, IdKind::kOneTime));
  CHECK(RejectedAsRepeat(harness));
  PostRequest(harness, 102, JobWithId(id, IdKind::kIdempotent));
  CHECK(RejectedAsRepeat(harness));
}

// Guards against a client that is answered with the result of another client's job: a request with an id that
// was open at one frontend used to be admitted at the other.
TEST_CASE("an id that is open at one frontend is rejected at both") {
  for (const IdKind kind : {IdKind::kOneTime, IdKind::kIdempotent}) {
    ReducerHarness harness;
    PostRequest(harness, 1, JobWithId("x", kind));
    const auto start = harness.Single<StartAttempt>();
    harness.Post(AttemptSent{start.attempt});
    CheckBothKindsRejected(harness, "x");
    harness.EndAttempt(start.attempt, Outcome::kServed, "result of x");
    const auto answer = harness.Single<Answer>();
    CHECK(answer.client.number == 1);
    CHECK(std::get<Served>(answer.answer).result == "result of x");
  }
}

TEST_CASE("an id stays open until the last attempt has ended, also if its client has left") {
  CoreSettings settings = TestSettings();
  settings.dispatcher.cancel = false;
  ReducerHarness harness(settings);
  PostRequest(harness, 1, JobWithId("x", IdKind::kOneTime, "safe"));
  const auto start = harness.Single<StartAttempt>();
  harness.Post(AttemptSent{start.attempt});
  harness.PostClientLeft(1);
  PostRequest(harness, 2, JobWithId("x", IdKind::kIdempotent, "safe"));
  CHECK(RejectedAsRepeat(harness));
  harness.EndAttempt(start.attempt, Outcome::kServed);
  PostRequest(harness, 3, JobWithId("x", IdKind::kIdempotent, "safe"));
  CHECK(harness.EffectsOf<StartAttempt>().size() == 1);
}

// Guards against a second run of an unsafe job whose first run was requested at the other frontend.
TEST_CASE("the repeat rule counts a run that the other frontend requested") {
  for (const std::string job_class : {"safe", "once"}) {
    CAPTURE(job_class);
    ReducerHarness harness;
    PostRequest(harness, 1, JobWithId("x", IdKind::kOneTime, job_class));
    const auto start = harness.Single<StartAttempt>();
    harness.Post(AttemptSent{start.attempt});
    harness.EndAttempt(start.attempt, Outcome::kServed);
    PostRequest(harness, 2, JobWithId("x", IdKind::kIdempotent, job_class));
    CHECK(RejectedAsRepeat(harness) == (job_class == "once"));
  }
}

// Guards against two concurrent runs of one job, one of them at a Faktory worker that cannot be told to stop.
TEST_CASE("a push waits for the abandoned attempt of an HTTP job with the same id") {
  ReducerHarness harness;
  harness.UpdateEndpoints(EndpointListUpdate::Form::kSnapshot, {});
  harness.UpdateEndpoints(EndpointListUpdate::Form::kDelta, {ReducerHarness::Worker("w")},
                          WorkerEndpoint::Source::kSession);
  PostRequest(harness, 1, JobWithId("x", IdKind::kOneTime, "safe"));
  const auto start = harness.Single<StartAttempt>();
  harness.Post(AttemptSent{start.attempt});
  harness.PostClientLeft(1);
  REQUIRE(harness.EffectsOf<StopAttempt>().size() == 1);
  PostRequest(harness, 2, JobWithId("x", IdKind::kIdempotent, "safe"));
  CHECK(std::get<Rejection>(harness.Single<Answer>().answer).reason ==
        Rejection::Reason::kAbandonedAttemptRunning);
  harness.Post(AbandonedAttemptEnded{start.attempt});
  PostRequest(harness, 3, JobWithId("x", IdKind::kIdempotent, "safe"));
  CHECK(harness.EffectsOf<StartAttempt>().size() == 1);
}

JobReceived Received(const std::string& id, bool may_have_run) {
  JobReceived received;
  received.client = {.frontend = ClientRef::Frontend::kHttp, .number = 1};
  received.job = JobWithId(id, IdKind::kOneTime);
  received.worker = "a";
  received.may_have_run = may_have_run;
  return received;
}

// Guards against a second run of a job that another process of the dispatcher has transferred to this one.
TEST_CASE("the id of a received job is open until the job ends, and known afterwards") {
  ReducerHarness harness;
  harness.Post(Received("x", false));
  const auto resume = harness.Single<ResumeAttempt>();
  CheckBothKindsRejected(harness, "x");
  harness.EndAttempt(resume.attempt, Outcome::kServed);
  CheckBothKindsRejected(harness, "x");
}

TEST_CASE("a received job that may have run elsewhere is not run again") {
  for (const bool may_have_run : {true, false}) {
    CAPTURE(may_have_run);
    ReducerHarness harness;
    harness.Post(Received("x", may_have_run));
    harness.EndAttempt(harness.Single<ResumeAttempt>().attempt, Outcome::kRejected);
    PostRequest(harness, 2, JobWithId("x", IdKind::kIdempotent));
    CHECK(RejectedAsRepeat(harness) == may_have_run);
  }
}

// Guards against a second run of a job that this process has transferred to another one.
TEST_CASE("the id of a transferred job stays open") {
  ReducerHarness harness;
  PostRequest(harness, 1, JobWithId("x", IdKind::kOneTime, "safe"));
  harness.Post(AttemptSent{harness.Single<StartAttempt>().attempt});
  harness.Post(JobTransferred{{.frontend = ClientRef::Frontend::kHttp, .number = 1}});
  CHECK(harness.core().IsIdle());
  PostRequest(harness, 2, JobWithId("x", IdKind::kIdempotent, "safe"));
  CHECK(RejectedAsRepeat(harness));
}

// ---- The registry ----

void Run(JobIdRegistry& registry, const std::string& id, IdKind kind) {
  registry.Open(JobWithId(id, kind));
  registry.Close(JobWithId(id, kind), kSecond);
}

bool Admits(const JobIdRegistry& registry, const std::string& id, IdKind kind) {
  const dispatch::ClassSettings once{.name = "once"};
  return registry.Check(JobWithId(id, kind), once, kSecond) == JobIdRegistry::Verdict::kAdmit;
}

TEST_CASE("the registry forgets the ids that ended first, and never an open one") {
  JobIdRegistry registry(2, 2);
  for (const IdKind kind : {IdKind::kOneTime, IdKind::kIdempotent}) {
    const std::string prefix = kind == IdKind::kOneTime ? "one-time-" : "idempotent-";
    registry.Open(JobWithId(prefix + "open", kind));
    Run(registry, prefix + "first", kind);
    Run(registry, prefix + "second", kind);
    Run(registry, prefix + "first", kind);  // is now the one that ended last
    Run(registry, prefix + "third", kind);
    CHECK_FALSE(Admits(registry, prefix + "open", kind));
    CHECK_FALSE(Admits(registry, prefix + "first", kind));
    CHECK(Admits(registry, prefix + "second", kind));
    CHECK_FALSE(Admits(registry, prefix + "third", kind));
  }
}

TEST_CASE("an id that is open twice stays open until both jobs have ended") {
  JobIdRegistry registry;
  const Job job = JobWithId("x", IdKind::kOneTime);
  registry.Open(job);
  registry.Open(job);
  registry.Close(job, 0);
  CHECK(registry.IsOpen("x"));
  registry.Close(job, 0);
  CHECK_FALSE(registry.IsOpen("x"));
  CHECK_FALSE(Admits(registry, "x", IdKind::kOneTime));
  CHECK(Admits(registry, "x", IdKind::kIdempotent));  // it has not run
}

TEST_CASE("empty ids are not compared") {
  ReducerHarness harness;
  for (const std::uint64_t client : {1, 2}) {
    PostRequest(harness, client, JobWithId("", IdKind::kOneTime));
    CHECK(harness.EffectsOf<StartAttempt>().size() == 1);
  }
}

}  // namespace
}  // namespace aldersill
