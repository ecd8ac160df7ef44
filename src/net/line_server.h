// A server for one-line requests: it reads one line from each connection, writes one answer and closes.
#ifndef ALDERSILL_SRC_NET_LINE_SERVER_H_
#define ALDERSILL_SRC_NET_LINE_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/types.h"
#include "net/event_ptr.h"
#include "net/listener.h"

namespace aldersill {

class LineServer {
 public:
  struct Limits {
    std::size_t max_connections = 8;          // accepting another one closes the oldest
    std::size_t max_line_bytes = 128;         // a longer line closes its connection
    Micros connection_timeout = 2 * kSecond;  // from the accept of a connection to its close
  };
  // Returns the answer to a line, which is passed without its line end.
  using Handler = std::function<std::string(const std::string& line)>;

  LineServer(event_base* base, Limits limits, Handler handler);
  ~LineServer();
  LineServer(const LineServer&) = delete;
  LineServer& operator=(const LineServer&) = delete;

  // The callback for the listener that will be passed to Listen.
  AcceptCallback accept_callback() { return {.function = &LineServer::OnAccept, .arg = this}; }
  // Takes ownership of the listener, which replaces an earlier one.
  void Listen(EventPtr<evconnlistener> listener) { listener_ = std::move(listener); }
  const evconnlistener* listener() const { return listener_.get(); }

 private:
  class Connection;

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);

  event_base* base_;
  const Limits limits_;
  const Handler handler_;
  EventPtr<evconnlistener> listener_;
  // By number, so that the oldest connection is first.
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::uint64_t next_number_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_LINE_SERVER_H_
