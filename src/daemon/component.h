// The interface of the daemon's components: a protocol's frontend and worker connections, an agent, or a
// service for operators. Daemon owns the components and uses them only through this interface; components.cpp
// lists their factories.
#ifndef ALDERSILL_SRC_DAEMON_COMPONENT_H_
#define ALDERSILL_SRC_DAEMON_COMPONENT_H_

#include <event2/event.h>

#include <functional>

#include "config/config.h"
#include "core/reducer.h"
#include "core/types.h"
#include "daemon/component_registry.h"

namespace aldersill {

// The daemon's services that a component uses. All pointers stay valid for the component's lifetime.
struct ComponentContext {
  event_base* base = nullptr;
  EventSink* sink = nullptr;
  const Reducer* reducer = nullptr;  // read-only: its state changes only by events posted to `sink`
  const DrainStatus* drain = nullptr;
  ComponentRegistry* registry = nullptr;
  // The daemon's clock: Unix time in microseconds that never steps back.
  std::function<Micros()> now;
};

// All functions run on the event loop's thread.
class Component {
 public:
  virtual ~Component() = default;

  // Registers the services that the component provides, and starts it. Throws std::runtime_error if it cannot
  // start, for example because an address is in use; the daemon does not start then.
  virtual void Start(const Config& config) = 0;
  // Called once, after all components have started and the cached endpoint list has been posted.
  virtual void OnAllStarted() {}

  // A reload has two phases, so that it is applied completely or not at all.
  //
  // Phase 1: PrepareReload does everything that can fail, such as binding a new address, and keeps the result
  // for ApplyReload without any visible change. It throws an exception to reject the configuration.
  virtual void PrepareReload(const Config& /*next*/) {}
  // Phase 2 if every PrepareReload succeeded: puts the prepared result into use. Must not fail.
  virtual void ApplyReload(const Config& /*config*/) {}
  // Phase 2 if any PrepareReload threw: drops the prepared result. It is also called for components whose
  // PrepareReload was not called.
  virtual void CancelReload() {}
  // Called after ApplyReload of all components, once the core has the new settings. `reloaded_at`: the steady
  // clock's time when the reload was requested, which is before the configuration was read.
  virtual void OnReloadApplied(const Config& /*config*/, Micros /*reloaded_at*/) {}
  // Called after CancelReload of all components, when the previous configuration stays in force.
  virtual void OnReloadRejected(Micros /*reloaded_at*/) {}

  // Begins the graceful shutdown, in which accepted requests are still answered.
  virtual void BeginDrain() {}
  // Returns whether the process can exit without losing work of this component.
  virtual bool IsIdle() const { return true; }
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_COMPONENT_H_
