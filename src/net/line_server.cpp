#include "net/line_server.h"

#include <sys/socket.h>

#include <cstdlib>
#include <optional>
#include <utility>

#include "net/timer.h"

namespace aldersill {
namespace {

// Removes and returns one line; returns nothing if the buffer holds no complete line.
std::optional<std::string> TakeLine(evbuffer* input) {
  std::size_t size = 0;
  char* text = evbuffer_readln(input, &size, EVBUFFER_EOL_CRLF);
  if (text == nullptr)
    return std::nullopt;
  std::string line(text, size);
  std::free(text);
  return line;
}

}  // namespace

class LineServer::Connection {
 public:
  Connection(LineServer* server, std::uint64_t number, evutil_socket_t fd)
      : server_(server),
        number_(number),
        stream_(bufferevent_socket_new(server->base_, fd, BEV_OPT_CLOSE_ON_FREE)),
        timeout_(server->base_, [this] { Close(); }) {
    bufferevent_setcb(stream_.get(), &Connection::OnRead, &Connection::OnWritten, &Connection::OnEvent, this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    timeout_.Set(server->limits_.connection_timeout);
  }

 private:
  // Destroys this object.
  void Close() { server_->connections_.erase(number_); }

  void Read() {
    evbuffer* input = bufferevent_get_input(stream_.get());
    if (answered_) {
      evbuffer_drain(input, evbuffer_get_length(input));  // only the first line is a request
      return;
    }
    const std::optional<std::string> line = TakeLine(input);
    const std::size_t size = line ? line->size() : evbuffer_get_length(input);
    if (size > server_->limits_.max_line_bytes)
      return Close();
    if (!line)
      return;
    answered_ = true;
    const std::string answer = server_->handler_(*line);
    bufferevent_write(stream_.get(), answer.data(), answer.size());
  }

  static void OnRead(bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); }
  static void OnWritten(bufferevent* stream, void* self) {
    // Closes only the sending side: closing a socket that has unread bytes would reset the connection, and
    // the peer could lose the answer.
    if (static_cast<Connection*>(self)->answered_)
      shutdown(bufferevent_getfd(stream), SHUT_WR);
  }
  static void OnEvent(bufferevent*, short, void* self) { static_cast<Connection*>(self)->Close(); }

  LineServer* server_;
  const std::uint64_t number_;
  EventPtr<bufferevent> stream_;
  Timer timeout_;
  bool answered_ = false;
};

LineServer::LineServer(event_base* base, Limits limits, Handler handler)
    : base_(base), limits_(limits), handler_(std::move(handler)) {}
LineServer::~LineServer() = default;

void LineServer::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* server = static_cast<LineServer*>(self);
  if (server->connections_.size() >= server->limits_.max_connections)
    server->connections_.erase(server->connections_.begin());
  const std::uint64_t number = server->next_number_++;
  server->connections_.emplace(number, std::make_unique<Connection>(server, number, fd));
}

}  // namespace aldersill
