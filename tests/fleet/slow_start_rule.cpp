#include "fleet/slow_start_rule.h"

#include <cmath>

namespace aldersill::fleet {

void SlowStartRule::WorkerChanged(const Observation& change) {
  calls_[change.worker].clear();
  started_at_[change.worker].reset();
  if (change.available)
    started_at_[change.worker] = change.at;
}

double SlowStartRule::AddAttempt(const Observation& attempt) {
  const auto& started_at = started_at_[attempt.worker];
  if (!started_at || attempt.at < *started_at || attempt.at >= *started_at + rules_.slow_start_duration)
    return 0.0;
  auto& calls = calls_[attempt.worker];
  calls.push_back(attempt.at);
  while (calls.front() <= attempt.at - rules_.slow_start_window)
    calls.pop_front();
  return static_cast<double>(calls.size()) / AllowedCalls(attempt.at - *started_at);
}

double SlowStartRule::AllowedCalls(std::int64_t since_start) const {
  const double progress = static_cast<double>(since_start) / static_cast<double>(rules_.slow_start_duration);
  const double share = rules_.slow_start_share + (1.0 - rules_.slow_start_share) * progress;
  // The length of the window, extended by the slack, as a multiple of the configured length.
  const double window =
      1.0 + static_cast<double>(rules_.slack) / static_cast<double>(rules_.slow_start_window);
  const double mean = rules_.warm_calls * share * window;
  return mean + 2.0 * std::sqrt(mean) + 2.0;
}

}  // namespace aldersill::fleet
