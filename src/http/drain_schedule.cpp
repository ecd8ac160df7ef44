#include "http/drain_schedule.h"

#include <algorithm>

namespace aldersill {
namespace {

// SIGKILL follows SIGTERM after at least kKillDelay plus the longest deadline, of which at most
// kMaxCountedDeadline counts.
#ifdef ALDERSILL_MUTANT_LATE_KILL_ESTIMATE  // injected fault that fleet_search must detect
constexpr Micros kKillDelay = 3'700 * kMillisecond;
#else
constexpr Micros kKillDelay = 700 * kMillisecond;
#endif
constexpr Micros kMaxCountedDeadline = 3 * kSecond;
// Covers the transmission of the answer to the client, and the time for which the signal and the request may
// both have waited for the event loop.
constexpr Micros kKillMargin = 200 * kMillisecond;
// A request that is complete sooner after SIGTERM is not late: its own deadline, up to kMaxCountedDeadline,
// ends before SIGKILL.
constexpr Micros kLateRequestThreshold = 600 * kMillisecond;

}  // namespace

Micros DrainSchedule::answers_due_at() const {
  return started_at_ + kKillDelay + std::min(longest_deadline_, kMaxCountedDeadline) - kKillMargin;
}

std::optional<Micros> DrainSchedule::TimeLeftForLateRequest(Micros now) const {
  if (!draining() || now - started_at_ < kLateRequestThreshold)
    return std::nullopt;
  return std::max<Micros>(0, answers_due_at() - now);
}

}  // namespace aldersill
