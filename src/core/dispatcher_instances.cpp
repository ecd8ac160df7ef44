#include "core/dispatcher_instances.h"

namespace aldersill {

void DispatcherInstances::Add(const dispatch::Settings& settings, std::uint64_t seed) {
  const std::uint64_t number = empty() ? 0 : static_cast<std::uint64_t>(latest()) + 1;
  instances_.emplace(DispatcherGeneration{number},
                     Instance{.dispatcher = dispatch::Dispatcher(settings, seed)});
}

DispatcherGeneration DispatcherInstances::AssignRequest() {
  ++instances_.rbegin()->second.open_requests;
  return latest();
}

void DispatcherInstances::ReleaseRequest(DispatcherGeneration generation) {
  --instances_.at(generation).open_requests;
}

void DispatcherInstances::PostIfAssigned(std::optional<DispatcherGeneration> generation,
                                         dispatch::Event event) {
  if (generation)
    Post(*generation, std::move(event));
}

void DispatcherInstances::PostToAll(const dispatch::Event& event) {
  for (const auto& [generation, instance] : instances_)
    Post(generation, event);
}

const std::vector<dispatch::Action>& DispatcherInstances::HandleNext(dispatch::Micros now) {
  const auto [generation, event] = std::move(events_.front());
  events_.pop_front();
  actions_.clear();
  current_ = generation;
  const auto instance = instances_.find(generation);
  if (instance != instances_.end())
    instance->second.dispatcher.Handle(now, event, &actions_);
  return actions_;
}

void DispatcherInstances::RemoveUnused() {
  std::erase_if(instances_, [this](const auto& entry) {
    return entry.second.open_requests == 0 && entry.first != latest();
  });
}

}  // namespace aldersill
