// When the bytes arrived that a socket has to be read.
#ifndef ALDERSILL_SRC_NET_TCP_ARRIVAL_H_
#define ALDERSILL_SRC_NET_TCP_ARRIVAL_H_

#include <event2/util.h>

#include "core/micros.h"

namespace aldersill {

// How long ago the kernel received the last bytes of the TCP connection, in whole milliseconds; also if it
// had not been accepted by then. 0 if the kernel does not tell.
Micros TimeSinceLastReceive(evutil_socket_t fd);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_TCP_ARRIVAL_H_
