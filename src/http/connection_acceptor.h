// Accepts client connections, pauses while none can be added, and stops listening once another process of
// this dispatcher takes the new ones.
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
    // Closes a connection to make room for a new one; false if all have to stay.
    virtual bool EvictConnection() = 0;
    // Accepting pauses for a moment.
    virtual void HandleAcceptPaused() = 0;

   protected:
    ~Owner() = default;
  };

  // Binds the endpoint, and accepts nobody before StartListening. Throws std::runtime_error if the endpoint
  // cannot be bound. `owner` must outlive this object.
  ConnectionAcceptor(event_base* base, const Endpoint& endpoint, PortSharing sharing, Owner* owner);

  // Binds another endpoint for ReplaceListener. Throws std::runtime_error.
  EventPtr<evconnlistener> CreateListener(const Endpoint& endpoint, PortSharing sharing);
  void ReplaceListener(EventPtr<evconnlistener> listener);
  void StartListening();
  bool listening() const { return listening_; }
  int port() const { return LocalPort(evconnlistener_get_fd(listener_.get())); }

  // Accepts while there is room; otherwise pauses, and checks again soon.
  void UpdateAcceptState();

  // Routes new connections to the process of this number and stops listening once the connections that were
  // being established have been accepted. False if the kernel cannot route: then it listens on.
  bool RouteNewConnectionsTo(unsigned number);

  Micros TimeSinceLastAccept() const { return SteadyNow() - last_accept_; }
  // TimeSinceLastAccept counts from now.
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
