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

constexpr LineServer::Limits kLimits{8, 128, 2 * kSecond};

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
    if (fd_ >= 0)
      close(fd_);
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

Server::Server(event_base* base, const std::string& path,
               std::function<std::optional<std::string>(const std::string&)> answer)
    : path_(path), server_(base, kLimits, [answer = std::move(answer)](const std::string& question) {
        return answer(question).value_or("{\"error\":\"no such question\"}") + "\n";
      }) {
  const sockaddr_un address = AddressOf(path);
  if (SomebodyListens(address))
    throw std::runtime_error("control.socket: another instance listens on " + path);
  struct stat status {};
  if (lstat(path.c_str(), &status) == 0 && S_ISSOCK(status.st_mode))
    unlink(path.c_str());
  Descriptor fd(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const mode_t before = umask(0177);
  const int bound = bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const int error = errno;
  umask(before);
  if (bound != 0)
    throw std::runtime_error("control.socket: cannot listen on " + path + ": " + std::strerror(error));
  EventPtr<evconnlistener> listener(
      evconnlistener_new(base, &LineServer::OnAccept, &server_, LEV_OPT_CLOSE_ON_FREE, 8, fd.get()));
  if (listener == nullptr)
    throw std::runtime_error("control.socket: cannot listen on " + path);
  fd.Release();
  server_.Listen(std::move(listener));
}

Server::~Server() { unlink(path_.c_str()); }

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
    if (got <= 0)
      return std::nullopt;
    answer.append(buffer, static_cast<std::size_t>(got));
    if (answer.ends_with('\n'))
      break;
    if (answer.size() > (1 << 24))
      return std::nullopt;
  }
  answer.pop_back();
  return answer;
}

}  // namespace aldersill::control
