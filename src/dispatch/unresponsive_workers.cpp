#include "dispatch/unresponsive_workers.h"

#include <algorithm>

#include "dispatch/cancellation.h"

namespace aldersill::dispatch {
namespace {

constexpr double kTimeoutFactor = 1.5;  // the answer timeout as a multiple of the time that a late job takes
constexpr Micros kProbeTimeout = 300'000;  // time within which a worker must answer a probe
constexpr Micros kTimerTolerance = 1000;   // timers may fire this early, in microseconds

}  // namespace

// The time after which a worker counts as unresponsive if it has not answered a job, in microseconds.
double UnresponsiveWorkers::AnswerTimeout(const Request& request) const {
  return kTimeoutFactor * (run_times_.StartAllowance(request.job_class) + run_times_.Mean(request.job_class));
}

void UnresponsiveWorkers::WatchAttempt(const Request& request) {
  context_.StartTimer(static_cast<Micros>(AnswerTimeout(request)), TimerKind::kAnswerOverdue, request.id);
}

void UnresponsiveWorkers::CheckAttempts(Request* request) {
  for (std::size_t i = 0; i < request->attempts.size() && !request->ended; ++i) {
    const Attempt& attempt = request->attempts[i];
    if (attempt.open && !attempt.cancelled && attempt.started == 0)
      CheckAttempt(request, i);
  }
}

// Ejects the attempt's worker and cancels the attempt if the answer is overdue; otherwise starts another
// timer.
void UnresponsiveWorkers::CheckAttempt(Request* request, std::size_t attempt_number) {
  const Attempt& attempt = request->attempts[attempt_number];
  Worker& worker = fleet_.worker(attempt.worker);
  const double timeout = AnswerTimeout(*request);
  const Micros since_send = context_.now() - attempt.sent;
  const Micros since_answer = context_.now() - std::max(attempt.sent, worker.answered_at);
  if (since_send + kTimerTolerance < timeout || since_answer + kTimerTolerance < timeout) {
    context_.StartTimer(static_cast<Micros>(timeout) - std::min(since_send, since_answer),
                        TimerKind::kAnswerOverdue, request->id);
    return;
  }
  if (context_.settings().probes && AwaitsProbe(&worker, timeout)) {
    context_.StartTimer(kProbeTimeout - (context_.now() - worker.probed_at), TimerKind::kAnswerOverdue,
                        request->id);
    return;
  }
  if (worker.ejected_until <= context_.now())
    ejection_.Eject(&worker);
  if (MayRunAgain(*request, since_send, timeout))
    CancelAttempt(context_, request, attempt_number);
}

// Probes the worker unless it was probed within the timeout. Returns whether the answer to the probe may
// still come.
bool UnresponsiveWorkers::AwaitsProbe(Worker* worker, double timeout) {
  if (worker->probed_at == 0 || context_.now() - worker->probed_at >= timeout) {
    worker->probed_at = context_.now();
    context_.Emit(Probe{worker->name});
  }
  return context_.now() - worker->probed_at + kTimerTolerance < kProbeTimeout;
}

// Whether an attempt sent this many microseconds ago may be cancelled so that the request can run elsewhere.
bool UnresponsiveWorkers::MayRunAgain(const Request& request, Micros since_send, double timeout) const {
  const Settings& settings = context_.settings();
  const ClassSettings& job_class = settings.classes[request.job_class];
  const bool is_repeat_safe = job_class.repeat == Repeat::kRepeatable ||
                              (job_class.repeat == Repeat::kKeyed && since_send < job_class.window);
  return is_repeat_safe && settings.cancel && request.deadline - context_.now() > timeout / 2 &&
         std::ssize(request.attempts) < settings.max_attempts && throttle_.CanPay(request);
}

}  // namespace aldersill::dispatch
