#include "http/connection_table.h"

#include <algorithm>
#include <utility>

namespace aldersill {

ClientConnection* ConnectionTable::Add(std::unique_ptr<ClientConnection> connection) {
  ClientConnection* added = connection.get();
  connections_.emplace(added, std::move(connection));
  return added;
}

std::unique_ptr<ClientConnection> ConnectionTable::Remove(ClientConnection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return nullptr;
  std::unique_ptr<ClientConnection> removed = std::move(found->second);
  connections_.erase(found);
  return removed;
}

std::uint64_t ConnectionTable::StartRequest(ClientConnection* connection) {
  const std::uint64_t client = next_client_++;
  in_flight_.emplace(client, connection);
  return client;
}

ClientConnection* ConnectionTable::Find(std::uint64_t client) const {
  const auto found = in_flight_.find(client);
  return found == in_flight_.end() ? nullptr : found->second;
}

ClientConnection* ConnectionTable::FindEvictable(Micros now) const {
#ifdef ALDERSILL_MUTANT_NO_IDLE_EVICTION  // injected fault that fleet_search must detect
  return nullptr;
#endif
  ClientConnection* evictable = nullptr;
  EvictionPriority lowest;
  for (const auto& [connection, owned] : connections_) {
    const EvictionPriority priority = connection->PriorityForEviction(now, lowest);
    if (priority >= lowest)
      continue;
    lowest = priority;
    evictable = connection;
  }
  return evictable;
}

bool ConnectionTable::AllLingering() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.first->IsLingering(); });
}

}  // namespace aldersill
