// Holds the client connections of a frontend and the requests that are in flight on them.
#ifndef ALDERSILL_SRC_HTTP_CONNECTION_TABLE_H_
#define ALDERSILL_SRC_HTTP_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "http/client_connection.h"

namespace aldersill {

class ConnectionTable {
 public:
  ClientConnection* Add(std::unique_ptr<ClientConnection> connection);
  // Hands the ownership to the caller; null if the connection is not in the table. A request in flight on the
  // connection stays registered until FinishRequest.
  std::unique_ptr<ClientConnection> Remove(ClientConnection* connection);

  // Registers a request in flight and returns its client number, which is never reused.
  std::uint64_t StartRequest(ClientConnection* connection);
  // The connection whose request in flight has this client number; null if there is none.
  ClientConnection* Find(std::uint64_t client) const;
  // Removes a request in flight. False if no request had this client number.
  bool FinishRequest(std::uint64_t client) { return in_flight_.erase(client) > 0; }

  // The connection to close when a new one needs its descriptor; null if none may be closed.
  ClientConnection* FindEvictable(Micros now) const;
  bool AllLingering() const;

  // Calls `function` for each connection. `function` must not add or remove connections.
  template <typename Function>
  void ForEach(Function function) const {
    for (const auto& [connection, owned] : connections_)
      function(connection);
  }

  bool empty() const { return connections_.empty(); }
  std::size_t size() const { return connections_.size(); }
  std::size_t requests_in_flight() const { return in_flight_.size(); }

 private:
  std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> connections_;
  std::unordered_map<std::uint64_t, ClientConnection*> in_flight_;
  std::uint64_t next_client_ = 1;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CONNECTION_TABLE_H_
