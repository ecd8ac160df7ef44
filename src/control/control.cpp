#include "control/control.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace aldersill::control {
namespace {

constexpr std::size_t kMostQuestion = 128;
constexpr Micros kPatience = 2 * kSecond;  // with one that asks

sockaddr_un AddressOf(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof(address.sun_path))
    throw std::runtime_error("control.socket: " + path + " is longer than a socket's path can be");
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return address;
}

// A descriptor that closes itself.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }
  int Release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

bool SomebodyListens(const sockaddr_un& address) {
  const Descriptor probe(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  return connect(probe.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

}  // namespace

class Server::Connection {
 public:
  Connection(Server* server, evutil_socket_t fd)
      : server_(server), stream_(bufferevent_socket_new(server->base_, fd, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(stream_.get(), &Connection::OnRead, &Connection::OnWritten, &Connection::OnEvent, this);
    const timeval patience = ToTimeval(kPatience);
    bufferevent_set_timeouts(stream_.get(), &patience, &patience);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  }

 private:
  void End() { server_->connections_.erase(this); }
  static void OnRead(bufferevent* stream, void* self) {
    auto* connection = static_cast<Connection*>(self);
    evbuffer* input = bufferevent_get_input(stream);
    std::size_t size = 0;
    char* line = evbuffer_readln(input, &size, EVBUFFER_EOL_LF);
    if (line == nullptr) {
      if (evbuffer_get_length(input) > kMostQuestion) connection->End();
      return;
    }
    const std::string question(line, size);
    std::free(line);
    bufferevent_disable(stream, EV_READ);
    const std::optional<std::string> answer = connection->server_->answer_(question);
    const std::string text = answer.value_or("{\"error\":\"no such question\"}") + "\n";
    connection->answered_ = true;
    bufferevent_write(stream, text.data(), text.size());
  }
  static void OnWritten(bufferevent*, void* self) {
    auto* connection = static_cast<Connection*>(self);
    if (connection->answered_) connection->End();
  }
  static void OnEvent(bufferevent*, short, void* self) { static_cast<Connection*>(self)->End(); }

  Server* server_;
  EventPtr<bufferevent> stream_;
  bool answered_ = false;
};

Server::Server(event_base* base, const std::string& path,
               std::function<std::optional<std::string>(const std::string&)> answer)
    : base_(base), path_(path), answer_(std::move(answer)) {
  const sockaddr_un address = AddressOf(path);
  if (SomebodyListens(address))
    throw std::runtime_error("control.socket: another instance listens on " + path);
  struct stat status {};
  if (lstat(path.c_str(), &status) == 0 && S_ISSOCK(status.st_mode)) unlink(path.c_str());
  Descriptor fd(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const mode_t before = umask(0177);
  const int bound = bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const int error = errno;
  umask(before);
  if (bound != 0)
    throw std::runtime_error("control.socket: cannot listen on " + path + ": " + std::strerror(error));
  listener_.reset(evconnlistener_new(base, &Server::OnAccept, this, LEV_OPT_CLOSE_ON_FREE, 8, fd.get()));
  if (listener_ == nullptr) throw std::runtime_error("control.socket: cannot listen on " + path);
  fd.Release();
}

Server::~Server() {
  connections_.clear();
  listener_.reset();
  unlink(path_.c_str());
}

void Server::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* server = static_cast<Server*>(self);
  if (server->connections_.size() >= kMostConnections) {
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_unique<Connection>(server, fd);
  server->connections_.emplace(connection.get(), std::move(connection));
}

std::optional<std::string> Ask(const std::string& path, const std::string& question) {
  const sockaddr_un address = AddressOf(path);
  const Descriptor fd(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval patience{5, 0};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    return std::nullopt;
  const std::string line = question + "\n";
  if (send(fd.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
    return std::nullopt;
  std::string answer;
  char buffer[4096];
  for (;;) {
    const ssize_t got = recv(fd.get(), buffer, sizeof(buffer), 0);
    if (got <= 0) return std::nullopt;
    answer.append(buffer, static_cast<std::size_t>(got));
    if (answer.ends_with('\n')) break;
    if (answer.size() > (1 << 24)) return std::nullopt;
  }
  answer.pop_back();
  return answer;
}

}  // namespace aldersill::control
