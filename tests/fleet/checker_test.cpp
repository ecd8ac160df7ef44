// Tests that the checker finds each rule's violation in a list of observations that violates no other rule.
#include "fleet/checker.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;
using Observations = std::vector<Observation>;

constexpr std::int64_t kMs = 1'000;

Rules TwoAttempts() {
  Rules rules;
  rules.run_once_classes = {"cobro"};
  rules.max_attempts = 2;
  rules.drain_grace = 300 * kMs;
  return rules;
}

// Returns an observation at dispatcher 0 and worker 0.
Observation Seen(Kind kind, const std::string& request = "", std::uint64_t attempt = 0) {
  return {.kind = kind, .request = request, .dispatcher = 0, .worker = 0, .attempt = attempt};
}

Observation At(std::int64_t ms, Observation seen) {
  seen.at = ms * kMs;
  return seen;
}

Observation Sent(const std::string& request, const std::string& job_class, std::int64_t deadline_ms = 1'000) {
  Observation sent = Seen(Kind::kRequestSent, request);
  sent.job_class = job_class;
  sent.deadline = deadline_ms * kMs;
  return sent;
}

Observation Attempt(const std::string& request, std::uint64_t attempt) {
  return Seen(Kind::kAttemptStarted, request, attempt);
}

Observation AttemptEnd(const std::string& request, std::uint64_t attempt) {
  return Seen(Kind::kAttemptEnded, request, attempt);
}

Observation Answer(const std::string& request, int status, const std::string& text = "") {
  Observation answer = Seen(Kind::kAnswered, request);
  answer.status = status;
  answer.text = text;
  return answer;
}

Observation Result(const std::string& request, const std::string& text) {
  Observation result = Seen(Kind::kJobResult, request);
  result.text = text;
  return result;
}

// Returns an observation of the kind kWorkerChanged, kWorkerAnnounced or kDiscoveryReachable.
Observation Available(Kind kind, bool available) {
  Observation seen = Seen(kind);
  seen.available = available;
  return seen;
}

// Returns the observations of a request whose first attempt did not run the job, and whose second served it.
Observations Good(const std::string& job_class) {
  return {Sent("a", job_class),         Attempt("a", 1),  AttemptEnd("a", 1), Attempt("a", 2),
          Seen(Kind::kJobStarted, "a"), Result("a", "r"), AttemptEnd("a", 2), Answer("a", 200, "r")};
}

std::string FirstViolation(const Observations& observations, const Rules& rules = TwoAttempts()) {
  const Verdict verdict = Check(observations, rules);
  return verdict.violations.empty() ? "" : verdict.violations.front();
}

// Returns the first violation whose line contains `rule`, or an empty string.
std::string FirstViolationOf(const std::string& rule, const Observations& observations) {
  for (const std::string& line : Check(observations, TwoAttempts()).violations) {
    if (line.find(rule) != std::string::npos)
      return line;
  }
  return "";
}

TEST_CASE("a good run violates no rule, and each injected violation is found") {
  CHECK(FirstViolation(Good("cobro")) == "");
  const struct {
    const char* rule;
    std::size_t at;  // position in the good run at which the observation is inserted
    Observation inserted;
  } violations[] = {
      {"answered twice", 8, Answer("a", 503)},
      {"cobro ran twice", 5, Seen(Kind::kJobStarted, "a")},
      {"two attempts open at once", 2, Attempt("a", 9)},
      {"more attempts than allowed", 7, Attempt("a", 9)},
      {"attempted without a client's request", 8, Attempt("b", 9)},
      {"never answered", 0, Sent("c", "cobro")},
  };
  for (const auto& violation : violations) {
    CAPTURE(violation.rule);
    Observations run = Good("cobro");
    run.insert(run.begin() + static_cast<std::ptrdiff_t>(violation.at), violation.inserted);
    CHECK(FirstViolation(run) == std::string(violation.rule) + ": " + violation.inserted.request);
  }
  Observations run = Good("cobro");
  run.back().text = "made up";
  CHECK(FirstViolation(run) == "served with a result that no worker made for it: a");
  run.back() = Answer("a", 400);
  CHECK(FirstViolation(run) == "answered 400: a");
  run.back() = At(1'600, Answer("a", 200, "r"));
  CHECK(FirstViolation(run) == "answered after its deadline: a");
  run.back() = Seen(Kind::kConnectionLost, "a");
  CHECK(FirstViolation(run) == "connection ended without an answer: a");
  // A killed dispatcher may leave its own requests unanswered, but not those of other dispatchers.
  run.back() = Seen(Kind::kDispatcherKilled);
  run.back().dispatcher = 1;
  CHECK(FirstViolation(run) == "never answered: a");
  run.back().dispatcher = 0;
  CHECK(FirstViolation(run) == "");
  CHECK(Check(run, TwoAttempts()).lost_to_kills == 1);
}

TEST_CASE("an abandoned attempt must be stopped, however the request ended") {
  for (const Observation& end : {Answer("a", 200, "r"), Seen(Kind::kClientLeft, "a")}) {
    Observations run = Good("cobro");
    run[6] = end;
    run[7] = At(400, AttemptEnd("a", 2));
    CHECK(FirstViolation(run) == "");
    run[7].at = 600 * kMs;
    CHECK(FirstViolation(run) == "an abandoned attempt was not stopped: a");
    run[7] = At(600, Seen(Kind::kRunEnded));
    CHECK(FirstViolation(run) == "an abandoned attempt was not stopped: a");
  }
}

TEST_CASE("only requests of classes that may run twice are hedged") {
  Rules rules = TwoAttempts();
  rules.hedging_allowed = true;
  for (const char* job_class : {"certificado", "cobro"}) {
    Observations run = Good(job_class);
    std::swap(run[2], run[3]);
    const bool run_once = rules.run_once_classes.contains(job_class);
    CHECK(FirstViolation(run, rules) == (run_once ? "two attempts open at once: a" : ""));
  }
}

TEST_CASE("only one dispatcher at a time holds the lease, between its reports under one term") {
  const auto holds = [](int dispatcher, std::uint64_t term, std::int64_t asked_ms, std::int64_t answered_ms) {
    Observation report = At(answered_ms, Seen(Kind::kLeaseReported));
    report.dispatcher = dispatcher;
    report.term = term;
    report.asked_at = asked_ms * kMs;
    return report;
  };
  CHECK(FirstViolation(
            {holds(0, 1, 0, 1), holds(0, 1, 100, 150), holds(1, 2, 90, 100), holds(1, 2, 200, 201)}) == "");
  CHECK(FirstViolation(
            {holds(0, 1, 0, 1), holds(1, 2, 90, 99), holds(0, 1, 100, 150), holds(1, 2, 200, 201)}) ==
        "two dispatchers held the lease at once: d0 under term 1, d1 under term 2");
  CHECK(FirstViolation(
            {holds(0, 1, 0, 1), holds(1, 2, 90, 99), holds(0, 3, 100, 150), holds(1, 2, 200, 201)}) == "");
}

// Returns the first violation of a run in which dispatcher 0 starts, `before` is observed, and the dispatcher
// starts an attempt at worker 0 at the time `ms`.
std::string ViolationOfAttemptAt(std::int64_t ms, Observations before) {
  before.insert(before.begin(), Seen(Kind::kDispatcherStarted));
  before.push_back(Sent("a", "certificado", ms));
  before.push_back(At(ms, Attempt("a", 1)));
  before.push_back(At(ms, Answer("a", 503)));
  before.push_back(At(ms, AttemptEnd("a", 1)));
  return FirstViolation(before);
}

const std::string kSentToDraining = "attempt sent to a worker that drains or is gone: a";

TEST_CASE("no attempt is sent to a worker once its drain is announced, or counts as announced") {
  const Observation drains = Available(Kind::kWorkerChanged, false);
  const Observation announced = At(1'000, Available(Kind::kWorkerAnnounced, false));
  const Observation back = Available(Kind::kWorkerChanged, true);
  const Observation announced_back = Available(Kind::kWorkerAnnounced, true);
  CHECK(ViolationOfAttemptAt(1'800, {drains, announced}) == "");  // 300 ms drain grace and 500 ms slack
  CHECK(ViolationOfAttemptAt(1'801, {drains, announced}) == kSentToDraining);
  CHECK(ViolationOfAttemptAt(1'801, {drains, announced, back}) == kSentToDraining);
  CHECK(ViolationOfAttemptAt(1'801, {drains, announced, back, announced_back}) == "");
  CHECK(ViolationOfAttemptAt(6'800, {drains}) == "");
  CHECK(ViolationOfAttemptAt(6'801, {drains}) == kSentToDraining);
  CHECK(ViolationOfAttemptAt(6'801, {drains, back}) == "");
  // A new process has not received any announcement. A resumed process has the drain grace from its
  // resumption on.
  const Observation restarted = At(1'500, Seen(Kind::kDispatcherStarted));
  CHECK(ViolationOfAttemptAt(8'300, {drains, announced, restarted}) == "");
  CHECK(ViolationOfAttemptAt(8'301, {drains, announced, restarted}) == kSentToDraining);
  const Observation resumed = At(3'000, Seen(Kind::kDispatcherResumed));
  CHECK(ViolationOfAttemptAt(3'800, {drains, announced, resumed}) == "");
  CHECK(ViolationOfAttemptAt(3'801, {drains, announced, resumed}) == kSentToDraining);
}

TEST_CASE("a change while discovery is unreachable counts from when discovery is reachable again") {
  const auto reachable = [](std::int64_t ms, bool available) {
    return At(ms, Available(Kind::kDiscoveryReachable, available));
  };
  const Observation drains = At(1'000, Available(Kind::kWorkerChanged, false));
  const Observations cut_off = {reachable(0, false), drains, reachable(3'000, true)};
  CHECK(ViolationOfAttemptAt(9'800, cut_off) == "");
  CHECK(ViolationOfAttemptAt(9'801, cut_off) == kSentToDraining);
  // A change before the outage counts from its own time, and so does any change if there was no outage.
  CHECK(ViolationOfAttemptAt(7'801, {drains, reachable(2'000, false), reachable(5'000, true)}) ==
        kSentToDraining);
  CHECK(ViolationOfAttemptAt(7'801, {drains, reachable(5'000, true)}) == kSentToDraining);
  // A worker that is available again may be used, even if this has not been announced yet.
  const Observation back = At(2'000, Available(Kind::kWorkerChanged, true));
  CHECK(ViolationOfAttemptAt(9'801, {reachable(0, false), drains, back, reachable(3'000, true)}) == "");
}

TEST_CASE("after a reload that moves discovery a change counts 4 s later, until the new address announces") {
  const Observation drains_before = At(1'000, Available(Kind::kWorkerChanged, false));
  const Observation drains_after = At(3'000, Available(Kind::kWorkerChanged, false));
  const auto reloaded = [](std::int64_t ms, int address) {
    Observation seen = At(ms, Seen(Kind::kDispatcherReloaded));
    seen.discovery_address = address;
    return seen;
  };
  const auto announced = [](std::int64_t ms, int address) {
    Observation seen = At(ms, Available(Kind::kWorkerAnnounced, true));
    seen.discovery_address = address;
    return seen;
  };
  const Observation moved = reloaded(2'000, 1);
  CHECK(ViolationOfAttemptAt(6'800, {drains_before, moved}) == "");
  CHECK(ViolationOfAttemptAt(6'801, {drains_before, moved}) == kSentToDraining);
  CHECK(ViolationOfAttemptAt(6'801, {moved, drains_after}) == kSentToDraining);
  // Neither another move nor an announcement at the previous address restarts the time.
  CHECK(ViolationOfAttemptAt(6'801, {moved, drains_after, reloaded(5'000, 2)}) == kSentToDraining);
  CHECK(ViolationOfAttemptAt(6'801, {moved, announced(2'500, 0), drains_after}) == kSentToDraining);
  // An announcement at the new address does, because from then on changes are announced there.
  CHECK(ViolationOfAttemptAt(9'800, {moved, announced(2'500, 1), drains_after}) == "");
  CHECK(ViolationOfAttemptAt(9'801, {moved, announced(2'500, 1), drains_after}) == kSentToDraining);
}

TEST_CASE("SIGKILL must not find a request unanswered that was sent late after SIGTERM") {
  const auto violation = [](std::int64_t sent_ms, bool terminated) {
    Observations run = {Seen(Kind::kDispatcherStarted)};
    if (terminated)
      run.push_back(At(1'000, Seen(Kind::kDispatcherTerminated)));
    run.push_back(At(sent_ms, Sent("a", "certificado", 9'000)));
    run.push_back(At(4'700, Seen(Kind::kDispatcherKilled)));
    return FirstViolation(run);
  };
  CHECK(violation(1'800, true) == "");  // 700 ms allowance and 100 ms slack
  CHECK(violation(1'801, true) == "found unanswered by SIGKILL, though sent late after SIGTERM: a");
  CHECK(violation(1'801, false) == "");
}

// Returns the observations of requests whose clients left after one second. `forwarded` of them are attempted
// for the first time `later_ms` after that, the others are never attempted. The attempts end at once, so that
// they are stopped in time.
Observations Left(int forwarded, int not_forwarded, std::int64_t later_ms) {
  Observations run;
  for (int i = 0; i < forwarded + not_forwarded; ++i) {
    const std::string request = "r" + std::to_string(i);
    run.push_back(Sent(request, "certificado"));
    run.push_back(At(1'000, Seen(Kind::kClientLeft, request)));
    if (i >= forwarded)
      continue;
    run.push_back(At(1'000 + later_ms, Attempt(request, i + 1)));
    run.push_back(At(1'000 + later_ms, AttemptEnd(request, i + 1)));
  }
  return run;
}

TEST_CASE("attempts that start after their client has left violate a rule from the third on") {
  const std::string rule = "started after its client had left";
  CHECK(FirstViolationOf(rule, Left(2, 0, 601)) == "");
  CHECK(FirstViolationOf(rule, Left(3, 0, 600)) == "");
  CHECK(FirstViolationOf(rule, Left(3, 0, 601)) ==
        "an attempt started after its client had left, the third or a later one: r2");
  // A retry counts too. For a dispatcher that was stopped, the time counts from its resumption.
  Observations run = Left(2, 0, 601);
  for (const Observation& seen : {Sent("a", "certificado"), Attempt("a", 11), AttemptEnd("a", 11),
                                  At(1'000, Seen(Kind::kClientLeft, "a")), At(1'601, Attempt("a", 12))})
    run.push_back(seen);
  CHECK(FirstViolationOf(rule, run) != "");
  run.insert(run.end() - 1, At(1'002, Seen(Kind::kDispatcherResumed)));
  CHECK(FirstViolationOf(rule, run) == "");
}

TEST_CASE("of requests left before the first attempt, at most four or a quarter are forwarded later") {
  const std::string rule = "forwarded although their clients had left before the first attempt: ";
  CHECK(FirstViolationOf(rule, Left(5, 0, 800)) == "");
  CHECK(FirstViolationOf(rule, Left(5, 0, 801)) == rule + "5 of 5");
  CHECK(FirstViolationOf(rule, Left(4, 0, 801)) == "");
  CHECK(FirstViolationOf(rule, Left(5, 15, 801)) == "");
  CHECK(FirstViolationOf(rule, Left(5, 14, 801)) == rule + "5 of 19");
}

TEST_CASE(
    "a worker in slow start gets at most its share and a margin for chance from all dispatchers together") {
  Rules rules = TwoAttempts();
  rules.max_attempts = 1;
  rules.warm_calls = 80.0;  // per second; the slack adds half a second to the window
  rules.slow_start_share = 0.3;
  rules.slow_start_window = 1'000 * kMs;
  rules.slow_start_duration = 1'000'000 * kMs;
  // Allowed are 80 x 0.3 x 1.5 = 36 calls, and 2 x 6 + 2 = 14 for chance. The calls are made by the
  // dispatchers in turn, `interval_ms` apart.
  const auto violation = [&](int calls, std::int64_t interval_ms, bool started) {
    Observations run = {At(0, Available(Kind::kWorkerChanged, started))};
    for (int i = 0; i < calls; ++i) {
      const std::string request = "r" + std::to_string(i);
      run.push_back(Sent(request, "certificado"));
      run.push_back(At(i * interval_ms, Attempt(request, i + 1)));
      run.back().dispatcher = i % 12;
      run.push_back(At(i * interval_ms, AttemptEnd(request, i + 1)));
      run.push_back(At(i * interval_ms, Answer(request, 503)));
    }
    return FirstViolation(run, rules);
  };
  CHECK(violation(50, 10, true) == "");
  CHECK(violation(52, 10, true) ==
        "a worker in slow start got more calls than it bears, and chance allows: r50");
  CHECK(violation(52, 20, true) == "");
  CHECK(violation(30, 10, false) == "");  // the worker did not start
}

TEST_CASE("at least nine in ten restarted dispatchers must be ready in time") {
  const auto violation = [](int in_time, int late, std::int64_t late_ms) {
    Observations run(in_time + late, Seen(Kind::kRestartFinished));
    for (int i = 0; i < in_time + late; ++i)
      run[i].startup_time = (i < in_time ? 10'500 : late_ms) * kMs;
    return FirstViolation(run);
  };
  CHECK(violation(9, 1, 10'501) == "");
  CHECK(violation(8, 1, 10'501) == "restarted dispatchers not ready in time: 1 of 9");
  CHECK(violation(8, 1, 0) == "restarted dispatchers not ready in time: 1 of 9");
}

TEST_CASE(
    "a request on a connection that was closed without an answer may be retried if it was not forwarded") {
  Observations run = Good("cobro");
  run.insert(run.begin(), {Sent("a", "cobro"), Seen(Kind::kClosedUnanswered, "a")});
  for (std::size_t i = 2; i < run.size(); ++i)
    run[i].dispatcher = 1;
  CHECK(FirstViolation(run) == "");
  const std::string violation = "forwarded by a dispatcher that closed its connection without an answer: a";
  Observations before = run, after = run;
  before.insert(before.begin() + 1, {Attempt("a", 8), AttemptEnd("a", 8)});
  CHECK(FirstViolation(before) == violation);
  after.insert(after.begin() + 3, {Attempt("a", 8), AttemptEnd("a", 8)});
  CHECK(FirstViolation(after) == violation);
  // A request that is not retried does not need an answer.
  CHECK(FirstViolation({Sent("a", "cobro"), Seen(Kind::kClosedUnanswered, "a")}) == "");
}

TEST_CASE("jobs of classes that may run again may run twice") {
  Observations run = Good("certificado");
  run.insert(run.begin() + 5, Seen(Kind::kJobStarted, "a"));
  CHECK(FirstViolation(run) == "");
}

}  // namespace
}  // namespace aldersill::fleet
