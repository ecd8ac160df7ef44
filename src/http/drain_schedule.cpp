#include "http/drain_schedule.h"

#include <algorithm>

namespace aldersill {
namespace {

// SIGKILL comes no sooner than kKillDelay and the longest deadline, which counts as kMaxCountedDeadline at
// most, after SIGTERM.
#ifdef ALDERSILL_MUTANT_LATE_KILL_ESTIMATE  // injected fault that fleet_search must detect
constexpr Micros kKillDelay = 3'700 * kMillisecond;
#else
constexpr Micros kKillDelay = 700 * kMillisecond;
#endif
constexpr Micros kMaxCountedDeadline = 3 * kSecond;
// For the way to the client, and because the signal and the request may both have waited for the event loop.
constexpr Micros kKillMargin = 200 * kMillisecond;
// A request that is complete sooner after the signal is answered in time by its own deadline.
constexpr Micros kLateAfter = 600 * kMillisecond;

}  // namespace

Micros DrainSchedule::answers_due_at() const {
  return started_at_ + kKillDelay + std::min(longest_deadline_, kMaxCountedDeadline) - kKillMargin;
}

std::optional<Micros> DrainSchedule::TimeLeftForLateRequest(Micros now) const {
  if (!draining() || now - started_at_ < kLateAfter)
    return std::nullopt;
  return std::max<Micros>(0, answers_due_at() - now);
}

}  // namespace aldersill
