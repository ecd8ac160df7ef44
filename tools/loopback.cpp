#include "loopback.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

namespace aldersill::tools {
namespace {

constexpr int kBacklog = 64;

[[noreturn]] void ThrowErrno(const std::string& call) {
  throw std::runtime_error(call + ": " + std::strerror(errno));
}

}  // namespace

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = other.Release();
  }
  return *this;
}

void Socket::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

int Socket::Release() { return std::exchange(fd_, -1); }

Socket ListenOn(std::uint16_t port) {
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(listener.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    ThrowErrno("bind");
  if (listen(listener.fd(), kBacklog) != 0)
    ThrowErrno("listen");
  return listener;
}

Socket ConnectTo(std::uint16_t port) {
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (connect(connection.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    ThrowErrno("connect");
  const int on = 1;
  setsockopt(connection.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

std::uint16_t PortOf(const Socket& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    ThrowErrno("getsockname");
  return ntohs(address.sin_port);
}

}  // namespace aldersill::tools
