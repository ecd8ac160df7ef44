#include "fleet/drain_rule.h"

#include <algorithm>

namespace aldersill::fleet {

void DrainRule::WorkerChanged(const Observation& change) {
  if (change.available) {
    unavailable_workers_.erase(change.worker);
    for (auto& [pair, since] : counts_as_announced_) {
      if (pair.second == change.worker)
        since.reset();
    }
    return;
  }
  unavailable_workers_.insert(change.worker);
  for (const int dispatcher : dispatchers_)
    CountAsAnnounced(dispatcher, change.worker, change.at);
}

void DrainRule::DiscoveryReachable(const Observation& reachable) {
  if (!reachable.available) {
    cut_off_dispatchers_.insert(reachable.dispatcher);
    return;
  }
  if (cut_off_dispatchers_.erase(reachable.dispatcher) == 0)
    return;
  for (const int worker : unavailable_workers_) {
    if (!counts_as_announced_[{reachable.dispatcher, worker}])
      CountAsAnnounced(reachable.dispatcher, worker, reachable.at);
  }
}

void DrainRule::WorkerAnnounced(const Observation& announcement) {
  const auto move = moves_.find(announcement.dispatcher);
  if (move != moves_.end() && announcement.discovery_address >= move->second.address)
    moves_.erase(move);
  auto& since = announced_[{announcement.dispatcher, announcement.worker}];
  if (announcement.available) {
    since.reset();
  } else if (!since) {
    since = announcement.at;
  }
}

void DrainRule::DispatcherStarted(const Observation& started) {
  dispatchers_.insert(started.dispatcher);
  moves_.erase(started.dispatcher);
  std::erase_if(announced_, [&](const auto& entry) { return entry.first.first == started.dispatcher; });
  for (const int worker : unavailable_workers_)
    CountAsAnnounced(started.dispatcher, worker, started.at);
}

void DrainRule::DispatcherReloaded(const Observation& reloaded) {
  // Further reloads do not restart the time.
  Move& move = moves_.try_emplace(reloaded.dispatcher, Move{.at = reloaded.at}).first->second;
  move.address = reloaded.discovery_address;
  for (const int worker : unavailable_workers_) {
    auto& since = counts_as_announced_[{reloaded.dispatcher, worker}];
    const std::int64_t bound = move.at + rules_.reload_bound;
    since = since ? std::min(*since, bound) : bound;
  }
}

void DrainRule::DispatcherResumed(const Observation& resumed) {
  for (auto& [pair, since] : announced_) {
    if (pair.first == resumed.dispatcher && since)
      since = resumed.at;
  }
  for (auto& [pair, since] : counts_as_announced_) {
    if (pair.first == resumed.dispatcher && since)
      since = std::max(*since, resumed.at + rules_.announcement_bound);
  }
}

bool DrainRule::Forbids(const Observation& attempt) const {
  return IsLate(announced_, attempt) || IsLate(counts_as_announced_, attempt);
}

void DrainRule::CountAsAnnounced(int dispatcher, int worker, std::int64_t changed_at) {
  auto& since = counts_as_announced_[{dispatcher, worker}];
  since.reset();
  if (cut_off_dispatchers_.contains(dispatcher))
    return;
  since = changed_at + rules_.announcement_bound;
  const auto move = moves_.find(dispatcher);
  if (move != moves_.end())
    since = std::min(*since, std::max(changed_at, move->second.at + rules_.reload_bound));
}

bool DrainRule::IsLate(const Since& since, const Observation& attempt) const {
  const auto found = since.find({attempt.dispatcher, attempt.worker});
  return found != since.end() && found->second &&
         attempt.at > *found->second + rules_.drain_grace + rules_.slack;
}

}  // namespace aldersill::fleet
