// Whether the peer of a TCP connection has closed it.
#ifndef ALDERSILL_SRC_NET_PEER_STATE_H_
#define ALDERSILL_SRC_NET_PEER_STATE_H_

#include <event2/util.h>

namespace aldersill {

// Returns whether the kernel has seen the peer close its sending side or reset the connection, even if bytes
// that arrived before are unread.
bool PeerHasClosed(evutil_socket_t fd);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_PEER_STATE_H_
