// The decision modules, one for each generation of settings, and the queue of events for them.
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

// Each change of the dispatcher settings adds an instance, which decides on all later requests. An older
// instance is kept until its last request has ended. Events that arise while the actions of an instance are
// carried out are queued, so that no instance is called recursively.
class DispatcherInstances {
 public:
  // Throws std::invalid_argument that names the invalid setting.
  void Add(const dispatch::Settings& settings, std::uint64_t seed);

  bool empty() const { return instances_.empty(); }
  DispatcherGeneration latest() const { return instances_.rbegin()->first; }
  const dispatch::Dispatcher& latest_dispatcher() const { return instances_.rbegin()->second.dispatcher; }

  // Assigns a new request to the latest instance and returns that instance's generation.
  DispatcherGeneration AssignRequest();
  // Must be called once for each assigned request, when it has ended.
  void ReleaseRequest(DispatcherGeneration generation);

  void Post(DispatcherGeneration generation, dispatch::Event event) {
    events_.emplace_back(generation, std::move(event));
  }
  // Drops the event if there is no generation: no instance decides on the request then.
  void PostIfAssigned(std::optional<DispatcherGeneration> generation, dispatch::Event event);
  void PostToAll(const dispatch::Event& event);

  bool HasEvents() const { return !events_.empty(); }
  // Passes the oldest event to its instance and returns the resulting actions, which are valid until the next
  // call. Returns none if the instance has been removed; its timers may still fire.
  const std::vector<dispatch::Action>& HandleNext(dispatch::Micros now);
  // The generation of the event that HandleNext() handled last.
  DispatcherGeneration current() const { return current_; }

  // Removes the instances that have no open request, except for the latest.
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
