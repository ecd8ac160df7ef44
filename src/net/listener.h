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

// The function that a listener calls, with `arg`, for each accepted connection.
struct AcceptCallback {
  evconnlistener_cb function = nullptr;
  void* arg = nullptr;
};

// Binds a listener that accepts no connections before StartListening. Accepted sockets inherit its
// TCP_NODELAY. `field`: the setting that contains the endpoint, for the error message. Throws
// std::runtime_error if the endpoint cannot be bound.
EventPtr<evconnlistener> BindListener(event_base* base, const Endpoint& endpoint, const char* field,
                                      PortSharing sharing, AcceptCallback accepted);
void StartListening(evconnlistener* listener);

// Binds a listener on an exclusive port and starts to listen; throws like BindListener.
EventPtr<evconnlistener> OpenListener(event_base* base, const Endpoint& endpoint, const char* field,
                                      AcceptCallback accepted);

// Routes all new connections of a shared endpoint to one of the processes that listen there. `index`: the
// position of that process in the order in which they started to listen, from 0. False if the kernel does not
// support this.
bool RouteNewConnectionsTo(evutil_socket_t listener, unsigned index);

// The port that a socket is bound to. The kernel chooses the port if the endpoint's port is 0.
int LocalPort(evutil_socket_t fd);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_LISTENER_H_
