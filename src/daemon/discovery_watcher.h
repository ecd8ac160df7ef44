// The watch of discovery's endpoint list. It is replaced if a reload changes discovery's address.
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

  // Starts the watch if lists are pushed. If they are polled, the watch starts at the first call of Watch.
  void Start(const Config& config);
  // Starts the watch, unless it has been started or there is no discovery.
  void Watch();
  // Moves the watch if the reloaded configuration has another address. `reloaded_at`: the steady clock's time
  // when the reload was requested.
  void OnReloadApplied(const Config& config, Micros reloaded_at);
  void OnReloadRejected(Micros reloaded_at);

 private:
  WatchScheduler MakeSchedulerAfterMove(const Config& config, Micros reloaded_at) const;

  const ComponentContext context_;
  std::optional<Endpoint> endpoint_;
  std::unique_ptr<DiscoveryClient> discovery_;  // null if there is no discovery
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_DISCOVERY_WATCHER_H_
