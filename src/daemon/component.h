// A unit of the daemon: a protocol's frontend and worker connections, an agent, or a service for operators.
// Daemon owns a list of components and knows none of them by type; components.cpp lists their factories.
#ifndef ALDERSILL_SRC_DAEMON_COMPONENT_H_
#define ALDERSILL_SRC_DAEMON_COMPONENT_H_

#include <event2/event.h>

#include <functional>

#include "config/config.h"
#include "core/reducer.h"
#include "core/types.h"
#include "daemon/component_registry.h"

namespace aldersill {

// What a component works with. All pointers stay valid for the component's life.
struct ComponentContext {
  event_base* base = nullptr;
  EventSink* sink = nullptr;
  const Reducer* reducer = nullptr;  // read-only: its state changes only by events posted to `sink`
  ComponentRegistry* registry = nullptr;
  // The daemon's clock: Unix time in microseconds that never steps back.
  std::function<Micros()> now;
};

// All functions are called on the event loop's thread.
class Component {
 public:
  virtual ~Component() = default;

  // Registers what the component provides and starts it. Throws std::runtime_error if it cannot start, as
  // where an address is taken; the daemon then does not start.
  virtual void Start(const Config& config) = 0;
  // Called once, after all components have started and the cached endpoint list has been posted.
  virtual void OnAllStarted() {}

  // A reload has two phases, so that it is applied completely or not at all.
  //
  // Phase 1: PrepareReload does everything that can fail, such as binding a new address, and keeps the result
  // aside without any visible change. It throws to reject the configuration.
  virtual void PrepareReload(const Config& /*next*/) {}
  // Phase 2 after every PrepareReload succeeded: takes over what was prepared. Must not fail.
  virtual void ApplyReload(const Config& /*config*/) {}
  // Phase 2 after any PrepareReload threw: drops what was prepared. Also called for components whose
  // PrepareReload was not reached.
  virtual void CancelReload() {}
  // Called after ApplyReload of all components, once the core has the new settings. `reloaded_at`: when the
  // reload was requested, by the steady clock, before the configuration was read.
  virtual void OnReloadApplied(const Config& /*config*/, Micros /*reloaded_at*/) {}
  // Called after CancelReload of all components: the configuration before stays in force.
  virtual void OnReloadRejected(Micros /*reloaded_at*/) {}

  // Begins the graceful shutdown: requests that were accepted are finished.
  virtual void BeginDrain() {}
  // Whether the process may end without losing work of this component.
  virtual bool IsIdle() const { return true; }
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_COMPONENT_H_
