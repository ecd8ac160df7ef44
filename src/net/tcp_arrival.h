// The time at which the bytes that are waiting in a TCP socket arrived.
#ifndef ALDERSILL_SRC_NET_TCP_ARRIVAL_H_
#define ALDERSILL_SRC_NET_TCP_ARRIVAL_H_

#include <event2/util.h>

#include "core/micros.h"

namespace aldersill {

// How long ago the kernel received the last bytes of the TCP connection, in microseconds with a resolution of
// one millisecond, even if the connection had not been accepted by then. 0 if the kernel does not report it.
Micros TimeSinceLastReceive(evutil_socket_t fd);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_TCP_ARRIVAL_H_
