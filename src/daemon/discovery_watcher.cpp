#include "daemon/discovery_watcher.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "log/log.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

// An agent's list counts as notified at once, and 4 s after a reload that moves discovery.
constexpr Micros kPushedListHold = 4 * kSecond;

// For how long the list from the old address may be acted on after a move. Where discovery is polled, a
// dispatcher that has no watch is held to the list it has for as long as it may go without a poll, counted
// from its last one.
Micros HoldAfterMove(const Config& config) {
  return config.module.subscribe ? config.module.must_ask_in - WatchScheduler::kLongPollWait
                                 : kPushedListHold;
}

// When the cached list was complete, at the earliest: it is no older than the last worker start in it.
Micros CachedListTime(const std::vector<WorkerEndpoint>& cached, Micros now) {
  Micros latest_start = 0;
  for (const WorkerEndpoint& worker : cached) {
    if (worker.started <= now)
      latest_start = std::max(latest_start, worker.started);
  }
  return latest_start;
}

WatchScheduler MakeScheduler(const Config& config) {
  using Kind = WatchScheduler::Kind;
  return {{.kind = config.module.subscribe ? Kind::kPolled : Kind::kPushed,
           .max_poll_interval = config.module.must_ask_in,
           .drain_grace = config.module.drain_grace},
          PollBackoff(config.module.nodes, config.module.must_ask_in / 2, config.seed)};
}

// `now` is the daemon's clock, in which the list gives start times; the watch counts in the steady clock.
WatchScheduler MakeSchedulerAtStart(const Config& config, Micros now) {
  const Micros steady_now = SteadyNow();
  const Micros cached_list_age = now - CachedListTime(config.known, now);
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
  // Where lists are pushed the core never asks for the watch, and what the agent has counts as notified from
  // the start.
  if (!config.module.subscribe)
    discovery_->StartWatching();
}

void DiscoveryWatcher::Watch() {
  if (discovery_ != nullptr)
    discovery_->StartWatching();
}

void DiscoveryWatcher::OnReloadApplied(const Config& config) {
  if (config.discovery == endpoint_)
    return;
  endpoint_ = config.discovery;
  Log(LogLevel::kInfo, "discovery_address_changed",
      {{"address", endpoint_ ? ToText(*endpoint_) : std::string("none")}});
  if (!endpoint_) {
    discovery_.reset();
    return context_.sink->Post(EndpointListLease{EndpointListLease::kForEver});
  }
  // List versions belong to one discovery, so the new one is asked for its complete list. Until that arrives
  // the known workers stay in use.
  WatchScheduler scheduler = MakeScheduler(config);
  scheduler.Start(SteadyNow(), HoldAfterMove(config));
  discovery_ = std::make_unique<DiscoveryClient>(context_.base, *endpoint_, /*known_version=*/std::nullopt,
                                                 std::move(scheduler), context_.sink, std::move(discovery_));
  discovery_->StartWatching();
}

}  // namespace aldersill
