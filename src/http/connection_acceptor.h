// Accepts client connections, pauses while none can be added, and stops listening once another process of
// this dispatcher accepts the new ones.
#ifndef ALDERSILL_SRC_HTTP_CONNECTION_ACCEPTOR_H_
#define ALDERSILL_SRC_HTTP_CONNECTION_ACCEPTOR_H_

#include "core/types.h"
#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {

class ConnectionAcceptor {
 public:
  class Owner {
   public:
    // Takes ownership of an accepted socket.
    virtual void HandleAccepted(evutil_socket_t fd) = 0;
    virtual bool BelowConnectionLimit() const = 0;
    // Closes a connection to make room for a new one. False if no connection can be closed.
    virtual bool EvictConnection() = 0;
    // Called when accepting pauses because there is no room.
    virtual void HandleAcceptPaused() = 0;

   protected:
    ~Owner() = default;
  };

  // Binds the endpoint; accepts no connection before StartListening. Throws std::runtime_error if the
  // endpoint cannot be bound. `owner` must outlive this object.
  ConnectionAcceptor(event_base* base, const Endpoint& endpoint, PortSharing sharing, Owner* owner);

  // Binds another endpoint for ReplaceListener. Throws std::runtime_error if that fails.
  EventPtr<evconnlistener> CreateListener(const Endpoint& endpoint, PortSharing sharing);
  void ReplaceListener(EventPtr<evconnlistener> listener);
  void StartListening();
  bool listening() const { return listening_; }
  int port() const { return LocalPort(evconnlistener_get_fd(listener_.get())); }

  // Accepts connections while there is room, or while one can be evicted. Otherwise pauses and checks again
  // after a short interval.
  void UpdateAcceptState();

  // Routes new connections to the process with this listener number, and stops listening once the connections
  // that were being established have been accepted. If the kernel cannot route them, returns false and keeps
  // listening.
  bool RouteNewConnectionsTo(unsigned number);

  Micros TimeSinceLastAccept() const { return SteadyNow() - last_accept_; }
  // Makes TimeSinceLastAccept count from now.
  void ResetLastAccept() { last_accept_ = SteadyNow(); }

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  static void OnAcceptFailed(evconnlistener* listener, void* self);
  void PauseAccepting();
  void StopListening();

  event_base* base_;
  Owner* owner_;
  EventPtr<evconnlistener> listener_;
  Timer resume_timer_;
  Timer stop_timer_;
  bool listening_ = false;
  Micros last_accept_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CONNECTION_ACCEPTOR_H_
