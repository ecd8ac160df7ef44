// The watch of discovery's endpoint list: started with the daemon, and replaced where a reload gives
// discovery another address.
#ifndef ALDERSILL_SRC_DAEMON_DISCOVERY_WATCHER_H_
#define ALDERSILL_SRC_DAEMON_DISCOVERY_WATCHER_H_

#include <memory>
#include <optional>

#include "daemon/component.h"
#include "http/discovery_client.h"

namespace aldersill {

// Owned by the platform component.
class DiscoveryWatcher {
 public:
  explicit DiscoveryWatcher(const ComponentContext& context) : context_(context) {}

  // Where lists are pushed the watch begins at once; elsewhere with the first Watch.
  void Start(const Config& config);
  // Begins to watch, unless this has begun or there is no discovery.
  void Watch();
  // Moves the watch where the reloaded configuration has another address. `reloaded_at`: when the reload was
  // requested, by the steady clock.
  void OnReloadApplied(const Config& config, Micros reloaded_at);
  void OnReloadRejected(Micros reloaded_at);

 private:
  WatchScheduler MakeSchedulerAfterMove(const Config& config, Micros reloaded_at) const;

  const ComponentContext context_;
  std::optional<Endpoint> endpoint_;
  std::unique_ptr<DiscoveryClient> discovery_;  // null where there is no discovery
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_DISCOVERY_WATCHER_H_
