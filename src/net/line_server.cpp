#include "net/line_server.h"

#include <sys/socket.h>

#include <cstdlib>
#include <utility>

namespace aldersill {

class LineServer::Connection {
 public:
  Connection(LineServer* server, std::uint64_t number, evutil_socket_t fd)
      : server_(server),
        number_(number),
        stream_(bufferevent_socket_new(server->base_, fd, BEV_OPT_CLOSE_ON_FREE)),
        patience_(server->base_, [this] { End(); }) {
    bufferevent_setcb(stream_.get(), &Connection::OnRead, &Connection::OnWritten, &Connection::OnEvent, this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    patience_.Set(server->limits_.patience);
  }

 private:
  void End() { server_->connections_.erase(number_); }

  static void OnRead(bufferevent* stream, void* self) {
    auto* connection = static_cast<Connection*>(self);
    evbuffer* input = bufferevent_get_input(stream);
    if (connection->answered_) {
      evbuffer_drain(input, evbuffer_get_length(input));  // what comes behind the line is no call
      return;
    }
    std::size_t size = 0;
    char* text = evbuffer_readln(input, &size, EVBUFFER_EOL_CRLF);
    const std::size_t unfinished = text == nullptr ? evbuffer_get_length(input) : size;
    const std::string line(text == nullptr ? "" : text, text == nullptr ? 0 : size);
    std::free(text);
    if (unfinished > connection->server_->limits_.most_line)
      return connection->End();
    if (text == nullptr)
      return;
    connection->answered_ = true;
    const std::string answer = connection->server_->answer_(line);
    bufferevent_write(stream, answer.data(), answer.size());
  }
  static void OnWritten(bufferevent* stream, void* self) {
    auto* connection = static_cast<Connection*>(self);
    // Our end first: a close over bytes that are not read would reset the connection, and the answer with it.
    if (connection->answered_)
      shutdown(bufferevent_getfd(stream), SHUT_WR);
  }
  static void OnEvent(bufferevent*, short, void* self) { static_cast<Connection*>(self)->End(); }

  LineServer* server_;
  const std::uint64_t number_;
  EventPtr<bufferevent> stream_;
  Timer patience_;
  bool answered_ = false;
};

LineServer::LineServer(event_base* base, Limits limits, Answer answer)
    : base_(base), limits_(limits), answer_(std::move(answer)) {}
LineServer::~LineServer() = default;

void LineServer::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* server = static_cast<LineServer*>(self);
  if (server->connections_.size() >= server->limits_.most_connections)
    server->connections_.erase(server->connections_.begin());
  const std::uint64_t number = server->next_++;
  server->connections_.emplace(number, std::make_unique<Connection>(server, number, fd));
}

}  // namespace aldersill
