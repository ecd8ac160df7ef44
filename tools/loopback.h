// Sockets on loopback for blocking tools and tests.
#ifndef ALDERSILL_TOOLS_LOOPBACK_H_
#define ALDERSILL_TOOLS_LOOPBACK_H_

#include <netinet/in.h>

#include <cstdint>

namespace aldersill::tools {

// Owns a socket's file descriptor and closes it.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }
  int fd() const { return fd_; }
  void Close();
  // Returns the descriptor without closing it. The caller must close it.
  int Release();

 private:
  int fd_;
};

// The address 127.0.0.1 with the given port.
sockaddr_in Loopback(std::uint16_t port);
// These throw std::runtime_error on failure. With `port` 0 the kernel chooses a free port.
Socket ListenOn(std::uint16_t port);
Socket ConnectTo(std::uint16_t port);
std::uint16_t PortOf(const Socket& socket);

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_LOOPBACK_H_
