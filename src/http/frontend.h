// The platform's frontend: service clients over HTTP/1.1. It decodes requests, tells the core of them and of
// clients that leave, and writes the one final answer. It decides nothing. Not on evhttp's server, which
// takes what must be refused and knows no bound on a request's arrival (docs/architecture.md has what was
// measured).
#ifndef ALDERSILL_SRC_HTTP_FRONTEND_H_
#define ALDERSILL_SRC_HTTP_FRONTEND_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/types.h"
#include "http/rejection_log_throttle.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {

struct HttpFrontendSettings {
  std::unordered_map<std::string, bool> requires_idempotency_key;  // by class, whether its jobs carry a key
  std::size_t max_connections = 0;
  std::size_t max_unfinished_bytes = 0;  // of requests that have not come whole, over all connections
  Micros longest_deadline = 0;           // of all classes
  bool shared_endpoint = false;          // with other processes of this dispatcher
};

// A connection with a request in hand, between two processes.
struct TransferredConnection {
  evutil_socket_t fd = -1;
  bool keep_alive = false;  // after the answer
  bool head_only = false;   // the answer goes without its body
};

class HttpFrontend {
 public:
  // `ready`: what GET /-/ready is answered by. Takes its endpoint, and no client before Listen. Throws
  // std::runtime_error if it cannot have the endpoint.
  HttpFrontend(event_base* base, const Endpoint& listen, HttpFrontendSettings settings, EventSink* sink,
               std::function<bool()> ready);
  ~HttpFrontend();

  void StartListening();
  bool listening() const { return listens_; }
  // New settings. `listener`: in place of the one it has; null keeps that.
  void ApplySettings(HttpFrontendSettings settings, EventPtr<evconnlistener> listener);
  // Where a new endpoint will be listened on once it is adopted. Throws std::runtime_error if it cannot be.
  EventPtr<evconnlistener> CreateListener(const Endpoint& listen);
  int port() const;  // the one it listens on, which the kernel chose if the endpoint had none
  void Reply(std::uint64_t client, const FinalAnswer& answer);
  // Whether a client with a request in hand has ended its connection, read or not.
  bool ClientDisconnected(std::uint64_t client) const;

  // The connection of a client that waits for its answer; nothing for one that has gone, or has sent more
  // than its request. It stays this frontend's until Forget.
  std::optional<TransferredConnection> PrepareTransfer(std::uint64_t client) const;
  // Lets go of it without a word to the client or the core: another process has it.
  void CompleteTransfer(std::uint64_t client);
  // Takes one over, and gives the client's number here.
  std::uint64_t ReceiveTransfer(const TransferredConnection& held);

  // From now on connections end between requests; new ones are still taken.
  void StartDraining();
  // In a drain, where other processes share the endpoint: newcomers go to the one of this number, and once
  // those that were on their way are taken, none come here any more.
  void RouteNewConnectionsTo(unsigned number);
  // No request in hand, and nobody left to whom an answer is still on its way.
  bool IsDrained() const;
  Micros TimeSinceLastAccept() const { return SteadyNow() - last_accept_; }

 private:
  class Connection;

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  static void OnAcceptFailed(evconnlistener* listener, void* self);
  void Remove(Connection* connection);
  // One that the frontend answers itself: counted by the core, and told in the log.
  void CountRejection(int status, const std::string& why, const std::string& id);
  void LogRejections(bool all);
  // Ends the connection that can best be spared for the next newcomer; false if there is none.
  bool EvictConnection();
  void UpdateAcceptState();
  void PauseAccepting();  // for a moment
  void CloseIdle();
  void StopListening();
  // After SIGTERM: when all answers have to be out, and how long from now a request that comes so late has;
  // nothing for one that comes in time.
  Micros AnswerBy() const;
  std::optional<Micros> LeftWhileDraining() const;

  event_base* base_;
  HttpFrontendSettings settings_;
  EventSink* sink_;
  std::function<bool()> ready_;
  EventPtr<evconnlistener> listener_;
  bool listens_ = false;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_map<std::uint64_t, Connection*> held_;  // requests that wait for their answer
  Timer drain_timer_;
  Timer leave_timer_;
  Timer room_timer_;
  RejectionLogThrottle rejections_;
  Timer rejections_timer_;
  std::size_t unfinished_bytes_ = 0;
  Micros last_accept_ = 0;
  Micros drain_began_ = 0;
  std::uint64_t next_ = 1;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_FRONTEND_H_
