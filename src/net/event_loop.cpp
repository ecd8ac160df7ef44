#include "net/event_loop.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <string>

namespace aldersill {

Micros SteadyNow() {
  using std::chrono::duration_cast, std::chrono::microseconds, std::chrono::steady_clock;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

EventPtr<evconnlistener> ListenOn(event_base* base, const Endpoint& endpoint, const char* field,
                                  evconnlistener_cb accepted, void* arg) {
  EventPtr<evconnlistener> listener = BindOn(base, endpoint, field, false, accepted, arg);
  StartListening(listener.get());
  return listener;
}

void StartListening(evconnlistener* listener) {
  constexpr int kBacklog = 512;
  listen(evconnlistener_get_fd(listener), kBacklog);
  evconnlistener_enable(listener);
}

bool RouteNewConnectionsTo(evutil_socket_t listener, unsigned number) {
  sock_filter answer = BPF_STMT(BPF_RET | BPF_K, number);
  const sock_fprog program{1, &answer};
  return setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof(program)) == 0;
}

EventPtr<evconnlistener> BindOn(event_base* base, const Endpoint& endpoint, const char* field, bool shared,
                                evconnlistener_cb accepted, void* arg) {
  constexpr int kNotYet = 0;  // as the backlog: the library leaves it to us when to begin to listen
  constexpr unsigned kFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_DISABLED;
  const sockaddr_in address = ToSockaddr(endpoint);
  const evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const bool bound = fd >= 0 && evutil_make_listen_socket_reuseable(fd) == 0 &&
                     (!shared || evutil_make_listen_socket_reuseable_port(fd) == 0) &&
                     bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  const int error = errno;
  EventPtr<evconnlistener> listener(bound ? evconnlistener_new(base, accepted, arg, kFlags, kNotYet, fd)
                                          : nullptr);
  if (listener == nullptr) {
    if (fd >= 0)
      evutil_closesocket(fd);
    throw std::runtime_error(std::string(field) + ": cannot listen on " + endpoint.host + ":" +
                             std::to_string(endpoint.port) + ": " + std::strerror(error));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return listener;
}

int PortOf(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace aldersill
