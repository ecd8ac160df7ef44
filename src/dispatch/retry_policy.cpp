#include "dispatch/retry_policy.h"

#include <algorithm>

namespace aldersill::dispatch {

Micros LatestAttemptStart(const Settings& settings, const Request& request) {
  if (request.ended || request.streaming || std::ssize(request.attempts) >= settings.max_attempts)
    return 0;
  const ClassSettings& job_class = settings.classes[request.job_class];
  Micros latest = request.deadline;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.open && !settings.hedging)
      return 0;
    if (!attempt.may_have_run)
      continue;
    if (job_class.repeat == Repeat::kUnsafe)
      return 0;
    // This is min(latest, attempt.sent + window) without overflow.
    if (job_class.repeat == Repeat::kKeyed)
      latest = attempt.sent + std::min(job_class.window, latest - attempt.sent);
  }
  return latest;
}

bool IsRejectionSafe(const Settings& settings, const Request& request) {
  const ClassSettings& job_class = settings.classes[request.job_class];
  if (job_class.repeat == Repeat::kRepeatable)
    return true;
  if (job_class.repeat == Repeat::kKeyed && job_class.scope == KeyScope::kAll)
    return true;
  return request.FirstWorkerThatMayHaveRun() == kNoWorker;
}

}  // namespace aldersill::dispatch
