// The HTTP/1.1 frontend for service clients. It decodes requests, reports them and disconnected clients to
// the core, and writes the one final answer of each; it makes no dispatch decisions. It does not use evhttp's
// server, which accepts malformed requests and cannot bound a request's arrival (measured in
// docs/architecture.md).
#ifndef ALDERSILL_SRC_HTTP_FRONTEND_H_
#define ALDERSILL_SRC_HTTP_FRONTEND_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/types.h"
#include "http/client_connection.h"
#include "http/connection_acceptor.h"
#include "http/connection_table.h"
#include "http/drain_schedule.h"
#include "http/rejection_log_throttle.h"
#include "http/request_memory.h"
#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/timer.h"

namespace aldersill {

struct HttpFrontendSettings {
  std::unordered_map<std::string, bool> requires_idempotency_key;  // by job class
  std::size_t max_connections = 0;
  std::size_t max_unfinished_bytes = 0;  // of incomplete requests, over all connections
  Micros longest_deadline = 0;           // of all job classes
  bool shared_endpoint = false;          // with other processes of this dispatcher
};

class HttpFrontend final : private ClientConnection::Owner, private ConnectionAcceptor::Owner {
 public:
  // Binds its endpoint and accepts nobody before StartListening. `ready`: the answer to GET /-/ready. `sink`
  // must outlive this object. Throws std::runtime_error if the endpoint cannot be bound.
  HttpFrontend(event_base* base, const Endpoint& listen, HttpFrontendSettings settings, EventSink* sink,
               std::function<bool()> ready);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  void StartListening() { acceptor_.StartListening(); }
  bool listening() const { return acceptor_.listening(); }
  // `listener`: replaces the present one; null keeps that.
  void ApplySettings(HttpFrontendSettings settings, EventPtr<evconnlistener> listener);
  // Binds a new endpoint for ApplySettings. Throws std::runtime_error.
  EventPtr<evconnlistener> CreateListener(const Endpoint& listen);
  int port() const { return acceptor_.port(); }

  // Writes the final answer. Does nothing for a client that has disconnected.
  void Reply(std::uint64_t client, const FinalAnswer& answer);
  // Whether a client with a request in flight has closed its connection, even if that was not read yet.
  bool ClientDisconnected(std::uint64_t client) const;

  // The connection of a client that awaits its answer; nothing if it has disconnected or has sent more than
  // its request. It stays this frontend's until CompleteTransfer.
  std::optional<TransferredConnection> PrepareTransfer(std::uint64_t client) const;
  // Another process has the connection: closes this process's descriptor, and reports nothing.
  void CompleteTransfer(std::uint64_t client);
  // Takes ownership of another process's connection; returns the client's number here.
  std::uint64_t ReceiveTransfer(const TransferredConnection& transferred);

  // From now on connections end between requests; new ones are still accepted.
  void StartDraining();
  // During a drain, if other processes share the endpoint: routes new connections to the process of this
  // number and stops listening once those that were being established are accepted.
  void RouteNewConnectionsTo(unsigned number);
  // No request is in flight and every answer has reached its client, or its time to do so is over.
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
  // Shortens the job's time to what is left in a drain; false if that is too little to start it.
  bool LimitTimeToDrain(Job* job) const;
  static void LogClose(std::uint64_t client, CloseReason reason);
  void LogRejections(RejectionLogThrottle::Selection selection);
  void CloseIdleConnections();

  event_base* base_;
  HttpFrontendSettings settings_;
  EventSink* sink_;
  std::function<bool()> ready_;
  DrainSchedule drain_;
  RequestMemory memory_;
  ConnectionAcceptor acceptor_;
  ConnectionTable connections_;
  Timer drain_timer_;
  RejectionLogThrottle rejections_;
  Timer rejections_timer_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_FRONTEND_H_
