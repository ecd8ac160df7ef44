#include "core/request_lifecycle.h"

#include <algorithm>
#include <utility>

namespace aldersill {
namespace {

// The answer margin is at most the client's time divided by this number, so that a job with little time left
// still gets an attempt.
constexpr Micros kMaxAnswerMarginDivisor = 10;
// Retry-After of a request that comes too late in a drain: another dispatcher can take it.
constexpr Micros kRetryAfterInDrain = 500 * kMillisecond;
constexpr Micros kRetryAfterLateRead = 500 * kMillisecond;

}  // namespace

void RequestLifecycle::Apply(RequestReceived&& received) {
  const std::string id = received.job.id;
  AdmitOrAnswer(std::move(received));
  attempts_.ReportIfClosed(id);
}

void RequestLifecycle::AdmitOrAnswer(RequestReceived&& received) {
  const JobClasses::JobClass* job_class = env_.classes.Find(received.job.job_class);
  // Frontends answer requests of unknown classes themselves. If one passes such a request on, the process
  // must not crash.
  if (job_class == nullptr)
    return env_.context.Emit(Answer{.client = received.client, .answer = Failure{}});
  ClassCounters& counters = env_.context.counters.classes[job_class->counter];
  ++counters.received;
  const Verdict verdict = received.open_elsewhere
                              ? Verdict::kReject
                              : env_.job_ids.Check(received.job, job_class->settings, env_.context.now);
  if (verdict != Verdict::kAdmit)
    return AnswerRepeat(received, verdict, counters);
  received.job.time_left -= received.waited;
  if (received.job.time_left <= 0)
    return RejectUnadmitted(received, {Rejection::Reason::kReadTooLate, kRetryAfterLateRead}, counters);
  if (env_.drain.TooLateToStart(env_.context.now, received.job.time_left))
    return RejectUnadmitted(received, {Rejection::Reason::kDraining, kRetryAfterInDrain}, counters);
  received.job.time_left = env_.drain.LimitTime(env_.context.now, received.job.time_left);
  Admit(std::move(received), *job_class);
}

void RequestLifecycle::AnswerRepeat(const RequestReceived& received, Verdict verdict,
                                    ClassCounters& counters) {
  ++env_.context.counters.repeats_rejected;
  if (verdict == Verdict::kReject) {
    ++counters.failed;
    return env_.context.Emit(Answer{.client = received.client,
                                    .answer = Failure{.reason = Failure::Reason::kRepeat},
                                    .request_id = received.job.id});
  }
  RejectUnadmitted(received,
                   {.reason = Rejection::Reason::kAbandonedAttemptRunning,
                    .retry_after = env_.context.settings.dispatcher.max_retry_after},
                   counters);
}

void RequestLifecycle::RejectUnadmitted(const RequestReceived& received, const Rejection& rejection,
                                        ClassCounters& counters) {
  ++counters.rejected;
  env_.context.Emit(Answer{.client = received.client, .answer = rejection, .request_id = received.job.id});
}

void RequestLifecycle::Admit(RequestReceived&& received, const JobClasses::JobClass& job_class) {
  Job& job = received.job;
  const Micros now = env_.context.now;
  const Micros margin =
      std::min(env_.context.settings.answer_margin, job.time_left / kMaxAnswerMarginDivisor);
  Request request;
  request.client = received.client;
  request.class_counter = job_class.counter;
  request.dispatcher = env_.dispatchers.AssignRequest();
  request.received_at = now;
  // No request waits longer than its class allows, whatever time the client gives: it would use capacity that
  // other requests need.
  request.deadline = now + std::min(job.time_left, job_class.settings.deadline) - margin;
  request.start_by = env_.job_ids.LatestStart(job, job_class.settings);
  env_.job_ids.Open(job);
  request.job = std::make_shared<const Job>(std::move(job));
  const std::shared_ptr<const Job> admitted = request.job;
  const DispatcherGeneration dispatcher = *request.dispatcher;
  const Micros time_left = request.deadline - now;
  const dispatch::RequestId id = env_.requests.Add(std::move(request));
  env_.dispatchers.Post(dispatcher, dispatch::Arrival{.request = id,
                                                      .job_class = admitted->job_class,
                                                      .tenant = admitted->tenant,
                                                      .key = admitted->subject,
                                                      .time_left = time_left,
                                                      .work = admitted->work,
                                                      .slots = admitted->slots,
                                                      .is_retry = admitted->is_retry});
}

void RequestLifecycle::Apply(const RequestRejectedByFrontend& rejected) {
  ++env_.context.counters.rejected_by_frontend[rejected.status];
}

void RequestLifecycle::Apply(const ClientLeft& left) {
#ifdef ALDERSILL_MUTANT_IGNORED_CLIENT_LEAVING  // injected fault that fleet_search must detect
  return;
#endif
  const auto id = env_.requests.FindWaiting(left.client);
  if (!id)
    return;
  Request& request = env_.requests.At(*id);
  env_.requests.StopWaiting(request);
  ++env_.context.counters.classes[request.class_counter].clients_left;
  env_.dispatchers.PostIfAssigned(request.dispatcher, dispatch::ClientGone{.request = *id});
  // No decision module handles a job from another process, so its attempt is cancelled here: its result is no
  // longer needed.
  if (!request.dispatcher && env_.context.settings.dispatcher.cancel)
    return attempts_.CancelReceived(request);
  attempts_.ReleaseIfAnswered(*id);
}

void RequestLifecycle::Reject(const dispatch::Reject& rejection) {
  // Every rejection carries a Retry-After. If the decision module gives none, it is the longest time that
  // clients honour.
  const Micros retry_after =
      rejection.retry_after > 0 ? rejection.retry_after : env_.context.settings.dispatcher.max_retry_after;
  const Request* request = env_.requests.Find(rejection.request);
  Rejection answer{.reason = Rejection::Reason::kNothingSent, .retry_after = retry_after};
  if (request != nullptr && !request->attempts.empty())
    answer.reason = Rejection::Reason::kAfterAttempts;
  else if (env_.context.counters.ready_workers == 0)
    answer.reason = Rejection::Reason::kNoWorker;
  env_.requests.Answer(rejection.request, answer);
  attempts_.ReleaseIfAnswered(rejection.request);
}

void RequestLifecycle::Fail(const dispatch::Fail& failure) {
  const Request* request = env_.requests.Find(failure.request);
  const bool late = request != nullptr && env_.context.now >= request->deadline;
  env_.requests.Answer(failure.request,
                       Failure{.reason = late ? Failure::Reason::kTooLate : Failure::Reason::kFailed});
  attempts_.ReleaseIfAnswered(failure.request);
}

}  // namespace aldersill
