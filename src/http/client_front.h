// The platform's front: service clients over HTTP/1.1, on evhttp. It decodes requests, tells the core of them
// and of clients that leave, and writes the one final answer. It decides nothing.
#ifndef ALDERSILL_SRC_HTTP_CLIENT_FRONT_H_
#define ALDERSILL_SRC_HTTP_CLIENT_FRONT_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "config/config.h"
#include "core/types.h"
#include "event_loop.h"

namespace aldersill {

class ClientFront {
 public:
  // Holds at most `most_connections` of the process's descriptors. Throws std::runtime_error if it cannot
  // listen.
  ClientFront(event_base* base, const Endpoint& listen, std::unordered_set<std::string> classes,
              int most_connections, EventSink* sink);
  ~ClientFront();

  int port() const;  // the one it listens on, which the kernel chose if the endpoint had none
  // New settings. `listener`: in place of the one it has; null keeps that.
  void Adopt(std::unordered_set<std::string> classes, int most_connections, EventPtr<evconnlistener> listener);
  void Reply(std::uint64_t client, const FinalAnswer& answer);

  // From now on connections end between requests; new ones are still taken.
  void BeginDrain();
  // No request in hand, no connection open.
  bool Quiet();
  Micros SinceLastAccept() const;

 private:
  struct Held;  // a request that waits for its answer

  static bufferevent* OnAccept(event_base* base, void* self);
  static void OnRequest(evhttp_request* request, void* self);
  static void OnClosed(evhttp_connection* connection, void* held);
  static void OnPeerClosed(evutil_socket_t fd, short what, void* held);

  void Take(evhttp_request* request);
  void Release(std::uint64_t client);
  void Send(evhttp_request* request, int code, const char* reason, const std::string& body);
  void Prune();
  void CloseIdle();

  event_base* base_;
  std::unordered_set<std::string> classes_;
  std::size_t most_connections_;
  EventSink* sink_;
  EventPtr<evhttp> server_;
  evconnlistener* listener_ = nullptr;  // owned by server_
  evhttp_bound_socket* bound_ = nullptr;
  std::unordered_map<std::uint64_t, std::unique_ptr<Held>> held_;
  std::unordered_map<bufferevent*, std::uint64_t> held_on_;
  // evhttp tells of no connection that ends before its first request, so each is counted by a reference of
  // ours to its bufferevent, given up once evhttp has let go of it.
  struct Connection {
    bufferevent* stream;
    Micros accepted;
  };
  std::list<Connection> connections_;
  std::unique_ptr<Timer> prune_timer_;
  Micros last_accept_ = 0;
  Micros drain_began_ = 0;
  std::uint64_t next_ = 1;
  bool draining_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CLIENT_FRONT_H_
