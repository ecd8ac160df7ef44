#include "core/request_transfer.h"

#include <algorithm>
#include <utility>

namespace aldersill {
namespace {

// Stands for a first run in another process, whose time is unknown: no window for repeats is left.
constexpr Micros kLongAgo = 1;

}  // namespace

FinalAnswer AnswerToReceivedJob(const Request& request, const dispatch::ClassSettings& job_class,
                                const ReductionContext& context) {
  const bool repeats_dropped_everywhere =
      job_class.repeat == dispatch::Repeat::kKeyed && job_class.scope == dispatch::KeyScope::kAll;
  const bool repeatable = job_class.repeat == dispatch::Repeat::kRepeatable || repeats_dropped_everywhere;
  if (repeatable || request.first_run_at == 0)
    return Rejection{.reason = Rejection::Reason::kAfterAttempts,
                     .retry_after = context.settings.dispatcher.max_retry_after};
  const bool late = context.now >= request.deadline;
  return Failure{.reason = late ? Failure::Reason::kTooLate : Failure::Reason::kFailed};
}

std::vector<InFlightJob> RequestTransfer::InFlightJobs() const {
  std::vector<InFlightJob> jobs;
  for (const auto& [client, id] : env_.requests.waiting()) {
    if (client.frontend != ClientRef::Frontend::kHttp)
      continue;
    if (auto job = ToInFlightJob(env_.requests.At(id)))
      jobs.push_back(std::move(*job));
  }
  return jobs;
}

std::optional<InFlightJob> RequestTransfer::ToInFlightJob(const Request& request) const {
  if (request.open_attempts > 1)
    return std::nullopt;
  InFlightJob job{.client = request.client,
                  .job = request.job,
                  .time_left = request.deadline - env_.context.now,
                  .may_have_run = request.first_run_at != 0,
                  .running = std::nullopt,
                  .worker = ""};
  if (request.open_attempts == 0) {
    // Once an attempt has ended, this process must decide what follows from its outcome.
    return request.attempts.empty() ? std::optional(std::move(job)) : std::nullopt;
  }
  const auto running =
      std::ranges::find_if(request.attempts, [this](AttemptId id) { return attempts_.Find(id) != nullptr; });
  const Attempt& attempt = *attempts_.Find(*running);
  if (!attempt.sent || attempt.source != WorkerEndpoint::Source::kDiscovery)
    return std::nullopt;
  job.running = *running;
  job.worker = attempt.worker;
  return job;
}

void RequestTransfer::Apply(const JobTransferred& transferred) {
  const auto id = env_.requests.FindWaiting(transferred.client);
  if (!id)
    return;
  Request& request = env_.requests.At(*id);
  env_.requests.StopWaiting(request);
  request.transferred = true;
  env_.dispatchers.PostIfAssigned(request.dispatcher, dispatch::ClientGone{.request = *id});
  for (const AttemptId attempt : request.attempts) {
    if (!attempts_.RemoveTransferred(attempt))
      continue;
    --request.open_attempts;
    env_.dispatchers.PostIfAssigned(
        request.dispatcher,
        dispatch::AttemptEnded{.request = *id,
                               .attempt_number = static_cast<int>(request.attempts.size()) - 1,
                               .outcome = Outcome::kCancelled,
                               .request_ended = true,
                               .elapsed = 0,
                               .report = {}});
  }
  attempts_.ReleaseIfAnswered(*id);
}

void RequestTransfer::Apply(JobReceived&& received) {
  const JobClasses::JobClass* job_class = env_.classes.Find(received.job.job_class);
  if (job_class == nullptr) {
    env_.context.Emit(Answer{.client = received.client, .answer = Failure{}});
    return attempts_.ReportIfClosed(received.job.id);
  }
  ++env_.context.counters.classes[job_class->counter].received;
  Request request;
  request.client = received.client;
  request.class_counter = job_class->counter;
  request.received_at = env_.context.now;
  const Micros time_left = env_.drain.LimitTime(env_.context.now, received.job.time_left);
  request.deadline = env_.context.now + std::max<Micros>(1, time_left);
  if (received.may_have_run)
    request.first_run_at = kLongAgo;
  env_.job_ids.Open(received.job);
  request.job = std::make_shared<const Job>(std::move(received.job));
  const std::shared_ptr<const Job> job = request.job;
  const dispatch::RequestId id = env_.requests.Add(std::move(request));
  const AttemptId attempt = attempts_.AddReceived(id, std::move(received.worker));
  env_.context.Emit(
      ResumeAttempt{.attempt = attempt, .job = job, .transfer_number = received.transfer_number});
}

}  // namespace aldersill
