#include "net/listener.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>

namespace aldersill {
namespace {

constexpr int kBacklog = 512;
constexpr int kListenLater = 0;  // value of the backlog argument with which libevent does not call listen()
constexpr unsigned kListenerFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_DISABLED;

// Returns a non-blocking TCP socket that is bound to `endpoint`; -1, with errno set, if that fails.
evutil_socket_t BindSocket(const Endpoint& endpoint, PortSharing sharing) {
  const sockaddr_in address = ToSockaddr(endpoint);
  const evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (evutil_make_listen_socket_reuseable(fd) == 0 &&
      (sharing == PortSharing::kExclusive || evutil_make_listen_socket_reuseable_port(fd) == 0) &&
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  const int error = errno;
  evutil_closesocket(fd);
  errno = error;
  return -1;
}

}  // namespace

EventPtr<evconnlistener> BindListener(event_base* base, const Endpoint& endpoint, const char* field,
                                      PortSharing sharing, AcceptCallback accepted) {
  const evutil_socket_t fd = BindSocket(endpoint, sharing);
  const int error = errno;
  EventPtr<evconnlistener> listener(
      fd >= 0 ? evconnlistener_new(base, accepted.function, accepted.arg, kListenerFlags, kListenLater, fd)
              : nullptr);
  if (listener == nullptr) {
    if (fd >= 0)
      evutil_closesocket(fd);
    throw std::runtime_error(std::string(field) + ": cannot listen on " + ToText(endpoint) + ": " +
                             std::strerror(error));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return listener;
}

void StartListening(evconnlistener* listener) {
  listen(evconnlistener_get_fd(listener), kBacklog);
  evconnlistener_enable(listener);
}

EventPtr<evconnlistener> OpenListener(event_base* base, const Endpoint& endpoint, const char* field,
                                      AcceptCallback accepted) {
  EventPtr<evconnlistener> listener = BindListener(base, endpoint, field, PortSharing::kExclusive, accepted);
  StartListening(listener.get());
  return listener;
}

bool RouteNewConnectionsTo(evutil_socket_t listener, unsigned index) {
  sock_filter return_index = BPF_STMT(BPF_RET | BPF_K, index);
  const sock_fprog program{1, &return_index};
  return setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof(program)) == 0;
}

int LocalPort(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace aldersill
