#include "net/tcp_arrival.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstddef>

namespace aldersill {

Micros TimeSinceLastReceive(evutil_socket_t fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr std::size_t kNeeded = offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeeded)
    return 0;
  return static_cast<Micros>(info.tcpi_last_data_recv) * kMillisecond;
}

}  // namespace aldersill
