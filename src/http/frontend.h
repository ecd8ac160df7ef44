// The HTTP/1.1 frontend for service clients. It decodes requests, reports requests and client disconnects to
// the core, and writes one final answer to each request; it makes no dispatch decisions. It does not use
// evhttp's server, which accepts malformed requests and cannot limit the time in which a request must arrive
// (measurements in docs/architecture.md).
#ifndef ALDERSILL_SRC_HTTP_FRONTEND_H_
#define ALDERSILL_SRC_HTTP_FRONTEND_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/drain_schedule.h"
#include "core/types.h"
#include "http/client_connection.h"
#include "http/connection_acceptor.h"
#include "http/connection_table.h"
#include "http/rejection_log_throttle.h"
#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/request_memory.h"
#include "net/timer.h"

namespace aldersill {

struct HttpFrontendSettings {
  std::unordered_map<std::string, bool> requires_idempotency_key;  // by job class
  std::size_t max_connections = 0;
  std::size_t max_unfinished_bytes = 0;  // memory for incomplete requests, over all connections
  bool shared_endpoint = false;          // other processes of this dispatcher bind the endpoint too
};

class HttpFrontend final : private ClientConnection::Owner, private ConnectionAcceptor::Owner {
 public:
  // Binds the endpoint; accepts no connection before StartListening. `ready` decides the answer to
  // GET /-/ready. `sink` and `drain` must outlive this object. Throws std::runtime_error if the endpoint
  // cannot be bound.
  HttpFrontend(event_base* base, const Endpoint& listen, HttpFrontendSettings settings, EventSink* sink,
               const DrainStatus* drain, std::function<bool()> ready);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  void StartListening() { acceptor_.StartListening(); }
  bool listening() const { return acceptor_.listening(); }
  // `listener` replaces the current listener unless it is null.
  void ApplySettings(HttpFrontendSettings settings, EventPtr<evconnlistener> listener);
  // Binds a new endpoint for ApplySettings. Throws std::runtime_error if that fails.
  EventPtr<evconnlistener> CreateListener(const Endpoint& listen);
  int port() const { return acceptor_.port(); }

  // Writes the final answer to a request. Does nothing if the client has disconnected.
  void Reply(std::uint64_t client, const FinalAnswer& answer);
  // Whether a client with a request in flight has closed its connection, even if the event loop has not
  // reported the close yet. False for an unknown client.
  bool ClientDisconnected(std::uint64_t client) const;

  // Returns the connection of a client that awaits its answer, or nothing if the client has disconnected or
  // has sent more than its request. This frontend keeps the connection until CompleteTransfer.
  std::optional<TransferredConnection> PrepareTransfer(std::uint64_t client) const;
  // Closes this process's descriptor of a connection that another process has taken over. The core is not
  // told that the client has disconnected.
  void CompleteTransfer(std::uint64_t client);
  // Takes ownership of a connection from another process; returns the client's number at this frontend.
  std::uint64_t ReceiveTransfer(const TransferredConnection& transferred);

  // Called once, when a drain has started: starts to close connections between requests. New connections are
  // still accepted.
  void StartDraining();
  // Called in a drain if other processes share the endpoint. Routes new connections to the process with this
  // listener number, and stops listening once the connections that were being established are accepted. Logs
  // a warning and keeps listening if the kernel cannot route them.
  void RouteNewConnectionsTo(unsigned number);
  // Whether all connections are closed; once the answers are due, also if each remaining connection has its
  // answer and only waits for its client to close.
  bool IsDrained() const;
  Micros TimeSinceLastAccept() const { return acceptor_.TimeSinceLastAccept(); }

 private:
  // ClientConnection::Owner
  void HandleRequest(ClientConnection* connection, HttpRequest request) override;
  void HandleRejection(int status, const std::string& reason, const std::string& request_id) override;
  void RemoveConnection(ClientConnection* connection, CloseReason reason) override;

  // ConnectionAcceptor::Owner
  void HandleAccepted(evutil_socket_t fd) override;
  bool BelowConnectionLimit() const override;
  bool EvictConnection() override;
  void HandleAcceptPaused() override;

  ClientConnection* AddConnection(evutil_socket_t fd);
  void RespondToReadinessCheck(ClientConnection* connection);
  static void LogClose(std::uint64_t client, CloseReason reason);
  void LogRejections(RejectionLogThrottle::Selection selection);
  void CloseIdleConnections();

  event_base* base_;
  HttpFrontendSettings settings_;
  EventSink* sink_;
  std::function<bool()> ready_;
  const DrainStatus* drain_;
  RequestMemory memory_;
  ConnectionAcceptor acceptor_;
  ConnectionTable connections_;
  Timer drain_timer_;
  RejectionLogThrottle rejections_;
  Timer rejections_timer_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_FRONTEND_H_
