#include "net/peer_state.h"

#include <poll.h>

namespace aldersill {

bool PeerHasClosed(evutil_socket_t fd) {
  pollfd polled{.fd = fd, .events = POLLRDHUP, .revents = 0};
  return poll(&polled, 1, 0) > 0;
}

}  // namespace aldersill
