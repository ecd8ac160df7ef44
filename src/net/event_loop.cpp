#include "net/event_loop.h"

#include <arpa/inet.h>
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
  constexpr int kBacklog = 512;
  const sockaddr_in address = ToSockaddr(endpoint);
  EventPtr<evconnlistener> listener(evconnlistener_new_bind(
      base, accepted, arg, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  if (listener == nullptr)
    throw std::runtime_error(std::string(field) + ": cannot listen on " + endpoint.host + ":" +
                             std::to_string(endpoint.port) + ": " + std::strerror(errno));
  const int on = 1;
  setsockopt(evconnlistener_get_fd(listener.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return listener;
}

int PortOf(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace aldersill
