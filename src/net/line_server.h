// A server on which a caller writes one line, gets one answer, and is hung up on.
#ifndef ALDERSILL_SRC_NET_LINE_SERVER_H_
#define ALDERSILL_SRC_NET_LINE_SERVER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"

namespace aldersill {

class LineServer {
 public:
  struct Limits {
    std::size_t most_connections = 8;  // one more ends the oldest
    std::size_t most_line = 128;       // bytes; a longer line ends its connection
    Micros patience = 2 * kSecond;     // for a connection, from its accept to its end
  };
  // `answer`: to a line without its end; what it gives is written as it is.
  using Answer = std::function<std::string(const std::string& line)>;

  LineServer(event_base* base, Limits limits, Answer answer);
  ~LineServer();
  LineServer(const LineServer&) = delete;
  LineServer& operator=(const LineServer&) = delete;

  // To be given to the listener that this server then takes over.
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  void Listen(EventPtr<evconnlistener> listener) { listener_ = std::move(listener); }
  const evconnlistener* listener() const { return listener_.get(); }

 private:
  class Connection;

  event_base* base_;
  const Limits limits_;
  const Answer answer_;
  EventPtr<evconnlistener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;  // in the order of their accepts
  std::uint64_t next_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_LINE_SERVER_H_
