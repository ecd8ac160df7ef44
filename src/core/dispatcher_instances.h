// The decision modules of successive settings, and the events that are due to them.
#ifndef ALDERSILL_SRC_CORE_DISPATCHER_INSTANCES_H_
#define ALDERSILL_SRC_CORE_DISPATCHER_INSTANCES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "core/timer_key.h"

namespace aldersill {

// Changed settings get an instance of their own, which decides on the requests from then on; the one before
// lives until its last request has ended. No instance is called while its own actions are carried out: what
// they bring about is queued.
class DispatcherInstances {
 public:
  // Throws std::invalid_argument naming the setting that makes no sense.
  void Add(const dispatch::Settings& settings, std::uint64_t seed);

  bool empty() const { return instances_.empty(); }
  DispatcherGeneration latest() const { return instances_.rbegin()->first; }
  const dispatch::Dispatcher& latest_dispatcher() const { return instances_.rbegin()->second.dispatcher; }

  // Gives a new request to the latest instance.
  DispatcherGeneration AssignRequest();
  void ReleaseRequest(DispatcherGeneration generation);

  void Post(DispatcherGeneration generation, dispatch::Event event) {
    events_.emplace_back(generation, std::move(event));
  }
  // Without a generation, no instance decides on the request, and the event is dropped.
  void PostIfAssigned(std::optional<DispatcherGeneration> generation, dispatch::Event event);
  void PostToAll(const dispatch::Event& event);

  bool HasEvents() const { return !events_.empty(); }
  // Handles the oldest event and returns the actions of `current()`, valid until the next call. None for an
  // instance that is gone, whose timers may still fire.
  const std::vector<dispatch::Action>& HandleNext(dispatch::Micros now);
  DispatcherGeneration current() const { return current_; }

  // Removes the instances before the latest that have no request left.
  void RemoveUnused();

 private:
  struct Instance {
    dispatch::Dispatcher dispatcher;
    std::size_t open_requests = 0;
  };

  std::map<DispatcherGeneration, Instance> instances_;
  std::deque<std::pair<DispatcherGeneration, dispatch::Event>> events_;
  std::vector<dispatch::Action> actions_;
  DispatcherGeneration current_{};
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_DISPATCHER_INSTANCES_H_
