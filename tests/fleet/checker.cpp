#include "fleet/checker.h"

#include <algorithm>
#include <map>
#include <optional>

#include "fleet/drain_rule.h"
#include "fleet/lease_rule.h"
#include "fleet/slow_start_rule.h"

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

// An attempt may start while the news that its client has left is still on its way. The rules are therefore
// violated only from these numbers of cases on.
constexpr int kMinLateAttempts = 3, kMinForwardedAfterLeaving = 5;

// What has been observed of one request so far.
struct RequestState {
  std::string job_class;
  int dispatcher = -1;
  int answers = 0, attempts = 0, runs = 0;
  bool connection_lost = false, dispatcher_killed = false, client_left = false;
  bool left_before_attempt = false;
  std::int64_t sent_at = 0, deadline = 0;
  // When the request was answered or its client left. Its attempts must be stopped from then on.
  std::optional<std::int64_t> ended_at;
  std::set<std::uint64_t> open_attempts;
  std::set<int> closed_by;  // dispatchers that closed the connection of the request without an answer
  std::set<std::string> results;
};

// Processes the observations one by one. Each Check method implements one rule.
class Checker {
 public:
  explicit Checker(const Rules& rules) : rules_(rules), drains_(rules), slow_start_(rules) {}

  void Add(const Observation& seen);
  Verdict Finish();

 private:
  void AddFleetObservation(const Observation& seen);
  void AddRequestObservation(const Observation& seen);
  void DispatcherStarted(const Observation& started);
  void DispatcherKilled(const Observation& killed);
  void CheckUnansweredAtKill(const RequestState& request, const std::string& id, int dispatcher);
  void DispatcherResumed(const Observation& resumed);
  void RequestSent(RequestState* request, bool known, const Observation& sent);
  void Answered(RequestState* request, const Observation& answer);
  void ClosedUnanswered(RequestState* request, const Observation& closed);
  void ClientLeft(RequestState* request, const Observation& left);
  void AttemptStarted(RequestState* request, bool known, const Observation& attempt);
  void AttemptEnded(RequestState* request, const Observation& ended);
  void JobStarted(RequestState* request, const Observation& started);
  void RestartFinished(const Observation& restart);

  void CheckAnswerIsGenuine(const RequestState& request, const Observation& answer);
  void CheckNotForwardedAfterClose(const RequestState& request, const Observation& attempt);
  void CheckAttemptsAfterLeaving(const RequestState& request, const Observation& attempt);
  void CheckSlowStart(const Observation& attempt);
  void CheckAttemptCount(const RequestState& request, const Observation& attempt);
  void CheckConcurrentAttempts(const RequestState& request, const Observation& attempt);
  void CheckAttemptStopped(const RequestState& request, const Observation& ended);
  void CheckOpenAttemptsStopped(const Observation& end);
  void CheckFirstAttemptsAfterLeaving();
  void CheckRestarts();
  void CheckAllAnswered();

  void Violate(const std::string& rule, const Observation& seen) { Violate(rule, seen.request); }
  void Violate(const std::string& rule, const std::string& request) {
    verdict_.violations.push_back(rule + ": " + request);
  }

  const Rules& rules_;
  Verdict verdict_;
  std::map<std::string, RequestState> requests_;
  std::map<int, std::int64_t> terminated_at_;  // time of SIGTERM, by dispatcher that has not been restarted
  DrainRule drains_;
  SlowStartRule slow_start_;
  LeaseRule lease_;
};

void Checker::Add(const Observation& seen) {
  AddFleetObservation(seen);
  if (!seen.request.empty())
    AddRequestObservation(seen);
}

void Checker::AddFleetObservation(const Observation& seen) {
  switch (seen.kind) {
    case Kind::kDispatcherKilled:
      return DispatcherKilled(seen);
    case Kind::kDispatcherStarted:
      return DispatcherStarted(seen);
    case Kind::kDispatcherResumed:
      return DispatcherResumed(seen);
    case Kind::kDispatcherTerminated:
      terminated_at_[seen.dispatcher] = seen.at;
      return;
    case Kind::kDispatcherReloaded:
      return drains_.DispatcherReloaded(seen);
    case Kind::kWorkerChanged:
      drains_.WorkerChanged(seen);
      return slow_start_.WorkerChanged(seen);
    case Kind::kWorkerAnnounced:
      return drains_.WorkerAnnounced(seen);
    case Kind::kDiscoveryReachable:
      return drains_.DiscoveryReachable(seen);
    case Kind::kRestartFinished:
      return RestartFinished(seen);
    case Kind::kLeaseReported:
      return lease_.LeaseReported(seen);
    case Kind::kRunEnded:
      return CheckOpenAttemptsStopped(seen);
    default:
      return;
  }
}

void Checker::AddRequestObservation(const Observation& seen) {
  const bool known = requests_.contains(seen.request);
  RequestState& request = requests_[seen.request];
  switch (seen.kind) {
    case Kind::kRequestSent:
      return RequestSent(&request, known, seen);
    case Kind::kAnswered:
      return Answered(&request, seen);
    case Kind::kClosedUnanswered:
      return ClosedUnanswered(&request, seen);
    case Kind::kConnectionLost:
      request.connection_lost = true;
      return;
    case Kind::kClientLeft:
      return ClientLeft(&request, seen);
    case Kind::kAttemptStarted:
      return AttemptStarted(&request, known, seen);
    case Kind::kAttemptEnded:
      return AttemptEnded(&request, seen);
    case Kind::kJobStarted:
      return JobStarted(&request, seen);
    case Kind::kJobResult:
      request.results.insert(seen.text);
      return;
    default:
      return;
  }
}

void Checker::DispatcherStarted(const Observation& started) {
  terminated_at_.erase(started.dispatcher);
  drains_.DispatcherStarted(started);
}

void Checker::DispatcherKilled(const Observation& killed) {
  for (auto& [id, request] : requests_) {
    if (request.dispatcher != killed.dispatcher || request.answers > 0 || request.ended_at ||
        request.connection_lost)
      continue;
    request.dispatcher_killed = true;
    CheckUnansweredAtKill(request, id, killed.dispatcher);
  }
}

// Rule: when SIGKILL follows SIGTERM, all unanswered requests were sent before SIGTERM or soon after it.
void Checker::CheckUnansweredAtKill(const RequestState& request, const std::string& id, int dispatcher) {
  const auto terminated = terminated_at_.find(dispatcher);
  if (terminated != terminated_at_.end() &&
      request.sent_at > terminated->second + rules_.kill_allowance + rules_.kill_allowance_slack)
    Violate("found unanswered by SIGKILL, though sent late after SIGTERM", id);
}

// A dispatcher that was stopped could neither answer nor stop attempts, so its time limits start at SIGCONT.
void Checker::DispatcherResumed(const Observation& resumed) {
  drains_.DispatcherResumed(resumed);
  for (auto& [id, request] : requests_) {
    if (request.dispatcher != resumed.dispatcher)
      continue;
    request.deadline = std::max(request.deadline, resumed.at);
    if (request.ended_at)
      request.ended_at = resumed.at;
  }
}

// Rule: the rig uses a request id only once, except to retry after a connection was closed without an answer.
void Checker::RequestSent(RequestState* request, bool known, const Observation& sent) {
  if (known && request->closed_by.empty())
    Violate("sent twice under one id (a fault of the rig)", sent);
  request->job_class = sent.job_class;
  request->dispatcher = sent.dispatcher;
  request->sent_at = sent.at;
  request->deadline = sent.deadline;
  ++verdict_.requests;
}

// Rule: a request is answered only once, and by its deadline.
void Checker::Answered(RequestState* request, const Observation& answer) {
  if (++request->answers > 1)
    Violate("answered twice", answer);
  request->ended_at = answer.at;
  if (answer.at > request->deadline + rules_.slack)
    Violate("answered after its deadline", answer);
  CheckAnswerIsGenuine(*request, answer);
  if (answer.status == 200) {
    ++verdict_.served;
  } else if (answer.status == 429 || answer.status == 503) {
    ++verdict_.rejected;
  } else {
    ++verdict_.failed;
  }
}

// Rule: the result of a served request was produced by a worker for this request. No request is answered with
// a status of 400 to 499 other than 429, because the rig's requests are well formed.
void Checker::CheckAnswerIsGenuine(const RequestState& request, const Observation& answer) {
  if (answer.status == 200 && !request.results.contains(answer.text))
    Violate("served with a result that no worker made for it", answer);
  if (answer.status >= 400 && answer.status < 500 && answer.status != 429)
    Violate("answered " + std::to_string(answer.status), answer);
}

// Rule: a dispatcher that closes a client's connection unanswered has not forwarded the request before.
void Checker::ClosedUnanswered(RequestState* request, const Observation& closed) {
  if (request->attempts > 0)
    Violate("forwarded by a dispatcher that closed its connection without an answer", closed);
  request->closed_by.insert(closed.dispatcher);
  request->dispatcher = -1;
}

void Checker::ClientLeft(RequestState* request, const Observation& left) {
  request->client_left = true;
  request->ended_at = left.at;
  request->left_before_attempt = request->attempts == 0;
  if (request->left_before_attempt)
    ++verdict_.left_before_attempt;
}

// Rule: every attempt belongs to a request that a client sent. Also checks all other limits of attempts.
void Checker::AttemptStarted(RequestState* request, bool known, const Observation& attempt) {
  if (!known)
    Violate("attempted without a client's request", attempt);
  ++verdict_.attempts;
  CheckNotForwardedAfterClose(*request, attempt);
  CheckAttemptsAfterLeaving(*request, attempt);
  CheckSlowStart(attempt);
  ++request->attempts;
  CheckAttemptCount(*request, attempt);
  CheckConcurrentAttempts(*request, attempt);
  // The rule is described in drain_rule.h.
  if (drains_.Forbids(attempt))
    Violate("attempt sent to a worker that drains or is gone", attempt);
  request->open_attempts.insert(attempt.attempt);
}

// Rule: a dispatcher that closed a client's connection without an answer does not forward the request later.
void Checker::CheckNotForwardedAfterClose(const RequestState& request, const Observation& attempt) {
  if (request.closed_by.contains(attempt.dispatcher))
    Violate("forwarded by a dispatcher that closed its connection without an answer", attempt);
}

// Rule: no attempt of a request starts after its client has left. Two cases in a run are tolerated. Also
// counts the late first attempts for CheckFirstAttemptsAfterLeaving.
void Checker::CheckAttemptsAfterLeaving(const RequestState& request, const Observation& attempt) {
  if (request.client_left && attempt.at > *request.ended_at + rules_.cancel_bound + rules_.slack &&
      ++verdict_.late_attempts >= kMinLateAttempts)
    Violate("an attempt started after its client had left, the third or a later one", attempt);
  if (request.left_before_attempt && request.attempts == 0 &&
      attempt.at > *request.ended_at + rules_.queued_cancel_bound + rules_.slack)
    ++verdict_.forwarded_after_leaving;
}

// The rule is described in slow_start_rule.h. A run reports only its first violation.
void Checker::CheckSlowStart(const Observation& attempt) {
  const double load = slow_start_.AddAttempt(attempt);
  if (load > 1.0 && verdict_.peak_slow_start_load <= 1.0)
    Violate("a worker in slow start got more calls than it bears, and chance allows", attempt);
  verdict_.peak_slow_start_load = std::max(verdict_.peak_slow_start_load, load);
}

// Rule: a request has no more attempts than the settings allow.
void Checker::CheckAttemptCount(const RequestState& request, const Observation& attempt) {
  if (request.attempts > rules_.max_attempts)
    Violate("more attempts than allowed", attempt);
}

// Rule: a request has only one open attempt at a time, unless the settings allow hedged requests and its
// class may run twice.
void Checker::CheckConcurrentAttempts(const RequestState& request, const Observation& attempt) {
  const bool may_overlap = rules_.hedging_allowed && !rules_.run_once_classes.contains(request.job_class);
  if (!request.open_attempts.empty() && !may_overlap)
    Violate("two attempts open at once", attempt);
}

void Checker::AttemptEnded(RequestState* request, const Observation& ended) {
  if (request->open_attempts.erase(ended.attempt) > 0)
    CheckAttemptStopped(*request, ended);
}

// Rule: an attempt is stopped once its request has been answered or the client has left.
void Checker::CheckAttemptStopped(const RequestState& request, const Observation& ended) {
  if (request.ended_at && ended.at > *request.ended_at + rules_.slack)
    Violate("an abandoned attempt was not stopped", ended);
}

// Applies the rule of CheckAttemptStopped to the attempts that are still open at the end of the run.
void Checker::CheckOpenAttemptsStopped(const Observation& end) {
  for (const auto& [id, request] : requests_) {
    Observation last = end;
    last.request = id;
    if (!request.open_attempts.empty())
      CheckAttemptStopped(request, last);
  }
}

// Rule: a job of a run-once class runs at most once.
void Checker::JobStarted(RequestState* request, const Observation& started) {
  ++verdict_.jobs_started;
  if (++request->runs > 1 && rules_.run_once_classes.contains(request->job_class))
    Violate(request->job_class + " ran twice", started);
}

void Checker::RestartFinished(const Observation& restart) {
  ++verdict_.restarts;
  if (restart.startup_time == 0 || restart.startup_time > rules_.startup_bound + rules_.slack)
    ++verdict_.slow_restarts;
}

// Rule: of the requests whose client left before the first attempt, at most four or a quarter, whichever is
// more, are attempted later than allowed.
void Checker::CheckFirstAttemptsAfterLeaving() {
  if (verdict_.forwarded_after_leaving >= kMinForwardedAfterLeaving &&
      verdict_.forwarded_after_leaving * 4 > verdict_.left_before_attempt)
    verdict_.violations.push_back("forwarded although their clients had left before the first attempt: " +
                                  std::to_string(verdict_.forwarded_after_leaving) + " of " +
                                  std::to_string(verdict_.left_before_attempt));
}

// Rule: at least nine in ten restarted dispatchers are ready within the startup bound.
void Checker::CheckRestarts() {
  if (verdict_.slow_restarts * 10 > verdict_.restarts)
    verdict_.violations.push_back(
        "restarted dispatchers not ready in time: " + std::to_string(verdict_.slow_restarts) + " of " +
        std::to_string(verdict_.restarts));
}

// Rule: every request is answered, unless its client left or its dispatcher was killed.
void Checker::CheckAllAnswered() {
  for (const auto& [id, request] : requests_) {
    if (request.answers > 0 || request.dispatcher < 0)
      continue;
    if (request.client_left) {
      ++verdict_.left_by_client;
    } else if (request.dispatcher_killed) {
      ++verdict_.lost_to_kills;
    } else {
      Violate(request.connection_lost ? "connection ended without an answer" : "never answered", id);
    }
  }
}

Verdict Checker::Finish() {
  // The rule is described in lease_rule.h.
  for (std::string& violation : lease_.Violations())
    verdict_.violations.push_back(std::move(violation));
  verdict_.lease_terms = lease_.terms();
  CheckFirstAttemptsAfterLeaving();
  CheckRestarts();
  CheckAllAnswered();
  return std::move(verdict_);
}

}  // namespace

Verdict Check(const std::vector<Observation>& observations, const Rules& rules) {
  Checker checker(rules);
  for (const Observation& seen : observations)
    checker.Add(seen);
  return checker.Finish();
}

}  // namespace aldersill::fleet
