#include "daemon/discovery_watcher.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "log/log.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

// Returns the earliest time at which the cached list can have been complete: the latest worker start in it
// that is not in the future.
Micros CachedListTime(const std::vector<WorkerEndpoint>& cached, Micros now) {
  Micros latest_start = 0;
  for (const WorkerEndpoint& worker : cached) {
    if (worker.started <= now)
      latest_start = std::max(latest_start, worker.started);
  }
  return latest_start;
}

WatchScheduler::Settings SchedulerSettingsFrom(const Config& config) {
  using Kind = WatchScheduler::Kind;
  return {.kind = config.module.subscribe ? Kind::kPolled : Kind::kPushed,
          .max_poll_interval = config.module.max_list_poll_interval,
          .drain_grace = config.module.drain_grace};
}

PollBackoff BackoffFrom(const Config& config) {
  return {config.module.nodes, config.module.max_list_poll_interval / 2, config.seed};
}

WatchScheduler MakeScheduler(const Config& config) {
  return {SchedulerSettingsFrom(config), BackoffFrom(config)};
}

// `now`: the daemon's clock, in which the list gives start times. The scheduler uses the steady clock.
WatchScheduler MakeSchedulerAtStart(const Config& config, Micros now) {
  const Micros steady_now = SteadyNow();
  const Micros cached_list_age = now - CachedListTime(config.known_workers, now);
  WatchScheduler scheduler = MakeScheduler(config);
  scheduler.StartWithCachedList(steady_now, steady_now - cached_list_age);
  return scheduler;
}

}  // namespace

void DiscoveryWatcher::Start(const Config& config) {
  endpoint_ = config.discovery;
  if (!endpoint_)
    return;
  discovery_ = std::make_unique<DiscoveryClient>(context_.base, *endpoint_, config.known_version,
                                                 MakeSchedulerAtStart(config, context_.now()), context_.sink);
  // If lists are pushed, the core never requests the watch, and the changes that the agent has count as
  // notified from the start.
  if (!config.module.subscribe)
    discovery_->StartWatching();
}

void DiscoveryWatcher::Watch() {
  if (discovery_ != nullptr)
    discovery_->StartWatching();
}

void DiscoveryWatcher::OnReloadApplied(const Config& config, Micros reloaded_at) {
  if (config.discovery == endpoint_) {
    if (discovery_ != nullptr)
      discovery_->ApplySettings(reloaded_at, SchedulerSettingsFrom(config), BackoffFrom(config));
    return;
  }
  endpoint_ = config.discovery;
  Log(LogLevel::kInfo, "discovery_address_changed",
      {{"address", endpoint_ ? ToText(*endpoint_) : std::string("none")}});
  if (!endpoint_) {
    discovery_.reset();
    return context_.sink->Post(EndpointListLease{EndpointListLease::kUnlimited});
  }
  discovery_ = std::make_unique<DiscoveryClient>(context_.base, *endpoint_, /*known_version=*/std::nullopt,
                                                 MakeSchedulerAfterMove(config, reloaded_at), context_.sink,
                                                 std::move(discovery_));
  discovery_->StartWatching();
}

void DiscoveryWatcher::OnReloadRejected(Micros reloaded_at) {
  if (discovery_ != nullptr)
    discovery_->ReloadRejected(reloaded_at);
}

// Returns the scheduler for discovery's new address. List versions belong to one discovery, so the new one is
// asked for its complete list. The known workers stay in use until that list arrives.
WatchScheduler DiscoveryWatcher::MakeSchedulerAfterMove(const Config& config, Micros reloaded_at) const {
  WatchScheduler scheduler = MakeScheduler(config);
  if (discovery_ != nullptr)
    scheduler.StartAtNewAddress(SteadyNow(), reloaded_at, discovery_->scheduler());
  else
    scheduler.StartWithCachedList(SteadyNow(), SteadyNow());
  return scheduler;
}

}  // namespace aldersill
