#include "core/attempt_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/outcome.h"
#include "core/request_transfer.h"

namespace aldersill {
namespace {

using StopReason = StopAttempt::Reason;

TimerKey SendDeadlineTimer(AttemptId id) {
  return {.kind = TimerKey::Kind::kSendDeadline, .id = static_cast<std::uint64_t>(id)};
}

TimerKey GiveUpTimer(AttemptId id) {
  return {.kind = TimerKey::Kind::kGiveUp, .id = static_cast<std::uint64_t>(id)};
}

}  // namespace

void AttemptController::Start(const dispatch::Send& send) {
  Request* request = env_.requests.Find(send.request);
  if (request == nullptr)
    return;
  const Micros now = env_.context.now;
  const AttemptId id{next_attempt_++};
  const int attempt_number = static_cast<int>(request->attempts.size());
  request->attempts.push_back(id);
  const WorkerEndpoint* worker = env_.endpoints.Find(send.worker);
  const bool available = worker != nullptr && env_.endpoints.IsAvailable(*worker);
  if (now >= request->start_by)
    env_.requests.Answer(send.request, Failure{.reason = Failure::Reason::kRepeat});
  if (!available || request->answered || now >= request->deadline) {
    // The decision module's endpoint list should equal the core's. If they differ, the core's list decides.
    env_.dispatchers.PostIfAssigned(request->dispatcher,
                                    dispatch::AttemptEnded{.request = send.request,
                                                           .attempt_number = attempt_number,
                                                           .outcome = Outcome::kNotSent,
                                                           .request_ended = request->answered,
                                                           .elapsed = 0,
                                                           .report = {}});
    return ReleaseIfAnswered(send.request);
  }
  ++request->open_attempts;
  ++env_.context.counters.attempts_started;
  const Micros give_up_at =
      send.give_up_at > 0 ? std::min(send.give_up_at, request->deadline) : request->deadline;
  const Micros start_by = send.start_by > 0 ? std::min(send.start_by, give_up_at) : give_up_at;
  Attempt& attempt = attempts_[id];
  attempt = {.request = send.request,
             .attempt_number = attempt_number,
             .worker = send.worker,
             .source = worker->source,
             .worker_started = worker->started,
             .started_at = now,
             .start_by = std::min(start_by, request->start_by),
             .give_up_at = give_up_at};
  SetTimersAndStart(id, attempt, *request);
}

void AttemptController::SetTimersAndStart(AttemptId id, const Attempt& attempt, const Request& request) {
  const CoreSettings& settings = env_.context.settings;
  const bool fetches = attempt.source == WorkerEndpoint::Source::kSession;
  const Micros limit = fetches ? settings.fetch_timeout : settings.dial_timeout;
  const Micros time_left = attempt.give_up_at - env_.context.now;
  env_.context.Emit(SetTimer{.key = SendDeadlineTimer(id),
                             .delay = std::clamp<Micros>(attempt.start_by - env_.context.now, 1, limit)});
  env_.context.Emit(SetTimer{.key = GiveUpTimer(id), .delay = std::max<Micros>(1, time_left)});
  env_.context.Emit(StartAttempt{.attempt = id,
                                 .worker = attempt.worker,
                                 .address = env_.endpoints.Find(attempt.worker)->address,
                                 .source = attempt.source,
                                 .job = request.job,
                                 .time_left = time_left,
                                 .client = request.client,
                                 .attempt_number = attempt.attempt_number});
}

// The connection may be established long after the decision module chose the worker, and the timers that
// limit the wait may fire late. So the conditions of that decision are checked again at the current time.
void AttemptController::Apply(const AttemptConnected& connected) {
  const Attempt* attempt = Find(connected.attempt);
  if (attempt == nullptr || attempt->sent)
    return;
  const auto end_unsent = [&](StopReason reason) {
    End(connected.attempt, {.outcome = Outcome::kNotSent, .reason = reason});
  };
  if (env_.requests.At(attempt->request).answered)
    return end_unsent(StopReason::kRequestAnswered);
  if (!MaySend(*attempt))
    return end_unsent(StopReason::kWorkerUnavailable);
  if (env_.context.now >= attempt->start_by)
    return end_unsent(StopReason::kStartWindowOver);
  env_.context.Emit(SendAttempt{.attempt = connected.attempt,
                                .source = attempt->source,
                                .time_left = attempt->give_up_at - env_.context.now});
}

void AttemptController::Apply(const AttemptSent& sent) {
  const auto found = attempts_.find(sent.attempt);
  if (found == attempts_.end() || found->second.sent)
    return;
  found->second.sent = true;
  found->second.sent_at = env_.context.now;
  ++env_.context.counters.attempts_sent;
  env_.context.Emit(ClearTimer{.key = SendDeadlineTimer(sent.attempt)});
}

void AttemptController::Apply(const AttemptProgress& progress) {
  const Attempt* attempt = Find(progress.attempt);
  if (attempt == nullptr)
    return;
  env_.dispatchers.PostIfAssigned(env_.requests.At(attempt->request).dispatcher,
                                  dispatch::Progress{.request = attempt->request,
                                                     .attempt_number = attempt->attempt_number,
                                                     .started = progress.started,
                                                     .share = progress.share});
}

void AttemptController::Apply(AttemptEnded&& ended) {
  End(ended.attempt,
      {.outcome = ended.outcome, .result = std::move(ended.result), .report = ended.report, .stop = false});
}

void AttemptController::Apply(const AbandonedAttemptEnded& ended) {
  const auto found = abandoned_attempts_.find(ended.attempt);
  if (found == abandoned_attempts_.end())
    return;
  if (ended.acknowledged)
    ++env_.context.counters.late_acknowledgements;
  env_.job_ids.MarkAbandonedEnded(found->second);
  abandoned_attempts_.erase(found);
}

void AttemptController::HandleGiveUp(AttemptId id) {
  const Attempt* attempt = Find(id);
  if (attempt == nullptr)
    return;
  // An unsent attempt cannot have run, and it cannot run once it is stopped.
  End(id, {.outcome = attempt->sent ? Outcome::kTimeout : Outcome::kConnectFailed,
           .reason = StopReason::kDeadline});
}

void AttemptController::HandleSendDeadline(AttemptId id) {
  const Attempt* attempt = Find(id);
  if (attempt == nullptr || attempt->sent)
    return;
  // If the window for repeats has ended, the attempt's failure does not indicate a fault of the worker.
  if (attempt->start_by < attempt->give_up_at && env_.context.now >= attempt->start_by)
    return End(id, {.outcome = Outcome::kNotSent, .reason = StopReason::kStartWindowOver});
  // A worker that fetches its jobs and did not fetch this one in time is busy, not unreachable.
  const bool fetches = attempt->source == WorkerEndpoint::Source::kSession;
  End(id, {.outcome = fetches ? Outcome::kRejected : Outcome::kConnectFailed,
           .reason = StopReason::kNotConnectedInTime});
}

void AttemptController::Cancel(const dispatch::Cancel& cancel) {
  const Request* request = env_.requests.Find(cancel.request);
  if (request == nullptr || cancel.attempt_number < 0 ||
      cancel.attempt_number >= std::ssize(request->attempts))
    return;
  const AttemptId id = request->attempts[static_cast<std::size_t>(cancel.attempt_number)];
  const Attempt* attempt = Find(id);
  if (attempt == nullptr)
    return;
  if (MustAwaitEnd(*attempt, *request)) {
    ++env_.context.counters.cancellations_refused;
    return;
  }
  End(id, {.outcome = attempt->sent ? Outcome::kCancelled : Outcome::kNotSent,
           .reason = StopReason::kDispatchModule});
}

bool AttemptController::MustAwaitEnd(const Attempt& attempt, const Request& request) const {
  const bool stoppable = !attempt.sent || attempt.source != WorkerEndpoint::Source::kSession;
  return !stoppable && !request.answered && !env_.context.settings.dispatcher.hedging;
}

AttemptId AttemptController::AddReceived(dispatch::RequestId id, std::string worker) {
  const AttemptId attempt{next_attempt_++};
  Request& request = env_.requests.At(id);
  request.attempts = {attempt};
  request.open_attempts = 1;
  const Micros now = env_.context.now;
  attempts_[attempt] = {.request = id,
                        .worker = std::move(worker),
                        .started_at = now,
                        .start_by = now,
                        .give_up_at = request.deadline,
                        .sent = true,
                        .sent_at = now};
  env_.context.Emit(SetTimer{.key = GiveUpTimer(attempt), .delay = request.deadline - now});
  return attempt;
}

void AttemptController::CancelReceived(const Request& request) {
  End(request.attempts.front(), {.outcome = Outcome::kCancelled});
}

bool AttemptController::RemoveTransferred(AttemptId id) {
  if (attempts_.erase(id) == 0)
    return false;
  env_.context.Emit(ClearTimer{.key = GiveUpTimer(id)});
  return true;
}

void AttemptController::End(AttemptId id, Ending ending) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
#ifdef ALDERSILL_MUTANT_LOST_AS_CONNECT_FAILED  // injected fault that fleet_search must detect
  if (ending.outcome == Outcome::kLost)
    ending.outcome = Outcome::kConnectFailed;
#endif
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  ++env_.context.counters.attempts[static_cast<std::size_t>(ending.outcome)];
  EmitEnd(id, attempt, ending);
  Request& request = env_.requests.At(attempt.request);
  if (ending.stop && attempt.sent && attempt.source == WorkerEndpoint::Source::kSession)
    MarkAbandoned(id, *request.job);
  --request.open_attempts;
  if (MayHaveRun(ending.outcome) && request.first_run_at == 0)
    request.first_run_at = attempt.sent ? attempt.sent_at : env_.context.now;
  AnswerRequest(attempt, request, ending);
  env_.dispatchers.PostIfAssigned(request.dispatcher,
                                  dispatch::AttemptEnded{.request = attempt.request,
                                                         .attempt_number = attempt.attempt_number,
                                                         .outcome = ending.outcome,
                                                         .request_ended = request.answered,
                                                         .elapsed = env_.context.now - attempt.started_at,
                                                         .report = ending.report});
  ReleaseIfAnswered(attempt.request);
}

void AttemptController::EmitEnd(AttemptId id, const Attempt& attempt, const Ending& ending) {
  if (!attempt.sent)
    env_.context.Emit(ClearTimer{.key = SendDeadlineTimer(id)});
  env_.context.Emit(ClearTimer{.key = GiveUpTimer(id)});
#ifdef ALDERSILL_MUTANT_NO_ATTEMPT_STOP  // injected fault that fleet_search must detect
  return;
#endif
  if (ending.stop)
    env_.context.Emit(StopAttempt{.attempt = id, .source = attempt.source, .reason = ending.reason});
}

void AttemptController::MarkAbandoned(AttemptId id, const Job& job) {
  env_.job_ids.MarkAbandoned(job.id);
  abandoned_attempts_.emplace(id, job.id);
}

void AttemptController::AnswerRequest(const Attempt& attempt, Request& request, Ending& ending) {
  if (request.answered)
    return;
  if (ending.outcome == Outcome::kServed) {
    const Micros elapsed = env_.context.now - request.received_at;
    env_.context.counters.classes[request.class_counter].served_ms +=
        static_cast<std::uint64_t>(elapsed / kMillisecond);
    env_.requests.Answer(attempt.request, Served{.result = std::move(ending.result)});
  } else if (!request.dispatcher) {
    const JobClasses::JobClass* job_class = env_.classes.Find(request.job->job_class);
    env_.requests.Answer(
        attempt.request,
        AnswerToReceivedJob(request, job_class == nullptr ? dispatch::ClassSettings{} : job_class->settings,
                            env_.context));
  }
}

void AttemptController::EndUnsent(const std::vector<AttemptId>& attempts, StopReason reason) {
  for (const AttemptId id : attempts) {
    const Attempt* attempt = Find(id);
    if (attempt != nullptr && !attempt->sent)
      End(id, {.outcome = Outcome::kNotSent, .reason = reason});
  }
}

// Ending one attempt may end others and so change `attempts_`: the ids are collected before the first is
// ended.
void AttemptController::EndUnsentWhere(const std::function<bool(const Attempt&)>& predicate,
                                       StopReason reason) {
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (predicate(attempt))
      ids.push_back(id);
  }
  EndUnsent(ids, reason);
}

void AttemptController::EndUnsentAtUnavailableWorkers() {
  EndUnsentWhere([this](const Attempt& attempt) { return !MaySend(attempt); },
                 StopReason::kWorkerUnavailable);
}

void AttemptController::EndUnsentToDiscoveredWorkers() {
  EndUnsentWhere([](const Attempt& attempt) { return attempt.source == WorkerEndpoint::Source::kDiscovery; },
                 StopReason::kListExpired);
}

void AttemptController::ReleaseIfAnswered(dispatch::RequestId id) {
  const Request* request = env_.requests.Find(id);
  if (request == nullptr || !request->answered)
    return;
  EndUnsent(std::vector<AttemptId>(request->attempts), StopReason::kRequestAnswered);
  request = env_.requests.Find(id);  // EndUnsent() may have removed it
  if (request == nullptr || request->open_attempts > 0)
    return;
  // A transferred job continues in another process, so its id stays open here until this process exits.
  if (!request->transferred) {
    env_.job_ids.Close(*request->job, request->first_run_at);
    ReportIfClosed(request->job->id);
  }
  if (request->dispatcher)
    env_.dispatchers.ReleaseRequest(*request->dispatcher);
  env_.requests.Erase(id);
}

void AttemptController::ReportIfClosed(const std::string& id) {
  if (!id.empty() && !env_.job_ids.IsOpen(id))
    env_.context.Emit(JobIdClosed{id});
}

bool AttemptController::MaySend(const Attempt& attempt) const {
  const WorkerEndpoint* worker = env_.endpoints.Find(attempt.worker);
  return worker != nullptr && env_.endpoints.IsAvailable(*worker) &&
         worker->started <= attempt.worker_started;
}

const Attempt* AttemptController::Find(AttemptId id) const {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

}  // namespace aldersill
