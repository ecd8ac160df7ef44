// The checker of the discovery simulation: checks the schedulers against the platform's rules on when a
// change counts as notified. It shares no code with the scheduler.
#include <algorithm>

#include "discovery_simulation.h"

namespace aldersill::tests {
namespace {

constexpr Micros kNotificationBound = 6 * kSecond;
constexpr Micros kMovedListValidity = 4 * kSecond;  // after a reload that moves discovery

}  // namespace

// Returns the earliest time from which a change that is not in the list counts as notified. The rule on
// drains additionally allows the drain grace.
Micros DiscoverySimulation::NotifiedAt(const Dispatcher& dispatcher) const {
  if (dispatcher.known_changes == CurrentVersion())
    return kNever;
  const Micros changed_at = change_times_[dispatcher.known_changes];
  if (pushed())
    return NotifiedAtByAgent(dispatcher, changed_at);
  // After a move, all changes that discovery holds count as notified at this time, even if another rule
  // allows more.
  const Micros notified_by_move =
      dispatcher.moved_at >= 0 ? std::max(changed_at, dispatcher.moved_at + kMovedListValidity) : kNever;
  return std::min(notified_by_move, NotifiedAtByPolls(dispatcher, changed_at));
}

Micros DiscoverySimulation::NotifiedAtByPolls(const Dispatcher& dispatcher, Micros changed_at) const {
  if (dispatcher.failed)
    return changed_at + kNotificationBound;
  for (const auto& [number, poll] : dispatcher.polls) {
    if (poll.wait == 0 || poll.lost)
      continue;
    // The answer is in transit, or has not been written yet and will contain the change.
    return poll.written ? changed_at + kNotificationBound : kNever;
  }
  Micros notified_at = std::max(changed_at, dispatcher.last_poll_at) + kMaxPollInterval;
  if (dispatcher.watch_silent_since != kNever)
    notified_at =
        std::min(notified_at, std::max(changed_at, dispatcher.watch_silent_since) + kNotificationBound);
  return notified_at;
}

// Changes that an agent holds count as notified from the start of a process.
Micros DiscoverySimulation::NotifiedAtByAgent(const Dispatcher& dispatcher, Micros changed_at) const {
  const Micros known_at = std::max(changed_at, dispatcher.started_at);
  Micros notified_at = known_at;
  if (dispatcher.watch_silent_since != kNever)
    notified_at = std::max(known_at, dispatcher.watch_silent_since + kNotificationBound);
  if (dispatcher.moved_at >= 0)
    notified_at = std::max(notified_at, dispatcher.moved_at + kMovedListValidity);
  return notified_at;
}

void DiscoverySimulation::CheckListUse(Micros now, Dispatcher* dispatcher) {
  const Micros valid_until = dispatcher->scheduler->valid_until();
  const Micros used_until = std::min(now, valid_until);
  const Micros notified_at = NotifiedAt(*dispatcher);
  if (notified_at != kNever && used_until > dispatcher->checked_until)
    result_.max_stale_use = std::max(result_.max_stale_use, used_until - notified_at);
  if (valid_until < now && dispatcher->list_expired_at == kNever)
    dispatcher->list_expired_at = std::max(valid_until, dispatcher->checked_until);
  dispatcher->checked_until = now;
}

}  // namespace aldersill::tests
