#include "dispatch/outcome_learning.h"

#include "dispatch/retry_policy.h"

namespace aldersill::dispatch {

void OutcomeLearning::RecordOutcome(const Request& request, const Attempt& attempt, Outcome outcome) {
  Worker& worker = fleet_.worker(attempt.worker);
  estimates_.Decay(&worker);
  if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent)
    return;
  if (outcome == Outcome::kConnectFailed) {
    ejection_.RecordConnectFailure(&worker);
    rate_.RecordFailure();
    return;
  }
  if (outcome == Outcome::kTimeout || outcome == Outcome::kLost) {
    rate_.RecordFailure();
    estimates_.RecordResult(&worker, true);
    return;
  }
  worker.answered_at = context_.now();
  if (outcome == Outcome::kRejected)
    return RecordRejection(request, &worker);
  ejection_.RecordAnswer(&worker);
  estimates_.RecordResult(&worker, outcome != Outcome::kServed);
  if (outcome == Outcome::kServed)
    RecordServed(request, attempt, &worker);
}

void OutcomeLearning::RecordRejection(const Request& request, Worker* worker) {
  estimates_.RecordRejection(worker);
  rate_.RecordRejection(!MayStartAttempt(context_.settings(), request, context_.now()));
}

void OutcomeLearning::RecordServed(const Request& request, const Attempt& attempt, Worker* worker) {
  const double run_time = context_.Since(attempt.started != 0 ? attempt.started : attempt.sent);
  estimates_.RecordRunTime(worker, run_time / run_times_.Mean(request.job_class));
  run_times_.Record(request.job_class, run_time);
  // If workers do not report starts, the time of the answer indicates whether the job started late.
  if (context_.settings().reports_start)
    return;
  rate_.RecordAnswer(run_time <=
                     run_times_.StartAllowance(request.job_class) + run_times_.Mean(request.job_class));
}

void OutcomeLearning::RecordStart(const Request& request, const Attempt& attempt) {
  const double delay = context_.Since(attempt.sent);
  const double usual = estimates_.RecordStartDelay(fleet_.worker(attempt.worker), delay);
  rate_.RecordStart(
      {.measured = delay, .usual = usual, .allowed = run_times_.StartAllowance(request.job_class)});
}

}  // namespace aldersill::dispatch
