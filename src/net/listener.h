// TCP listeners on a libevent loop, and the routing of new connections between processes that share a port.
#ifndef ALDERSILL_SRC_NET_LISTENER_H_
#define ALDERSILL_SRC_NET_LISTENER_H_

#include "net/endpoint.h"
#include "net/event_ptr.h"

namespace aldersill {

enum class PortSharing {
  kExclusive,
  kShared,  // other processes of this user may bind the endpoint too; the kernel distributes connections
};

// What a listener calls, with `arg`, for each accepted connection.
struct AcceptCallback {
  evconnlistener_cb function = nullptr;
  void* arg = nullptr;
};

// Binds a listener that accepts nobody before StartListening. Accepted sockets inherit its TCP_NODELAY.
// `field`: the setting that holds the endpoint, for the error's text. Throws std::runtime_error.
EventPtr<evconnlistener> BindListener(event_base* base, const Endpoint& endpoint, const char* field,
                                      PortSharing sharing, AcceptCallback accepted);
void StartListening(evconnlistener* listener);

// Both in one, on an exclusive port.
EventPtr<evconnlistener> OpenListener(event_base* base, const Endpoint& endpoint, const char* field,
                                      AcceptCallback accepted);

// Routes all new connections of a shared endpoint to one of the processes that listen there. `number`: its
// place in the order in which they began to listen. False if the kernel does not support it.
bool RouteNewConnectionsTo(evutil_socket_t listener, unsigned number);

// The port that a socket is bound to; the kernel has chosen it if the endpoint had none.
int LocalPort(evutil_socket_t fd);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_LISTENER_H_
