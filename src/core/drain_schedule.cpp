#include "core/drain_schedule.h"

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
// A late job is not started if the time left is less than this and less than half of the time that the job
// has by its deadline.
constexpr Micros kMinTimeForLateRequest = 500 * kMillisecond;

}  // namespace

void DrainSchedule::Start(Micros now) {
  if (!draining())
    started_at_ = now;
}

bool DrainSchedule::AnswersDue(Micros now) const { return draining() && now >= AnswersDueAt(); }

Micros DrainSchedule::LimitTime(Micros now, Micros time_left) const {
  if (!draining() || now - started_at_ < kLateRequestThreshold)
    return time_left;
  return std::min(time_left, std::max<Micros>(0, AnswersDueAt() - now));
}

bool DrainSchedule::TooLateToStart(Micros now, Micros time_left) const {
  const Micros limited = LimitTime(now, time_left);
  return limited < kMinTimeForLateRequest && limited < time_left / 2;
}

Micros DrainSchedule::AnswersDueAt() const {
  return started_at_ + kKillDelay + std::min(longest_deadline_, kMaxCountedDeadline) - kKillMargin;
}

}  // namespace aldersill
