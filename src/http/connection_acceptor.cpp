#include "http/connection_acceptor.h"

#include <utility>

namespace aldersill {
namespace {

constexpr Micros kResumeCheckInterval = 20 * kMillisecond;
// Assumed upper bound of a TCP handshake. A handshake is completed at the listener where it began, even if
// new connections are routed elsewhere by then.
constexpr Micros kMaxHandshakeTime = 200 * kMillisecond;

}  // namespace

ConnectionAcceptor::ConnectionAcceptor(event_base* base, const Endpoint& endpoint, PortSharing sharing,
                                       Owner* owner)
    : base_(base),
      owner_(owner),
      listener_(CreateListener(endpoint, sharing)),
      resume_timer_(base, [this] { UpdateAcceptState(); }),
      stop_timer_(base, [this] { StopListening(); }) {}

EventPtr<evconnlistener> ConnectionAcceptor::CreateListener(const Endpoint& endpoint, PortSharing sharing) {
  EventPtr<evconnlistener> listener = BindListener(base_, endpoint, "listen", sharing,
                                                   {.function = &ConnectionAcceptor::OnAccept, .arg = this});
  evconnlistener_set_error_cb(listener.get(), &ConnectionAcceptor::OnAcceptFailed);
  return listener;
}

void ConnectionAcceptor::ReplaceListener(EventPtr<evconnlistener> listener) {
  listener_ = std::move(listener);
  if (listening_)
    StartListening();
}

void ConnectionAcceptor::StartListening() {
  listening_ = true;
  aldersill::StartListening(listener_.get());
}

void ConnectionAcceptor::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* acceptor = static_cast<ConnectionAcceptor*>(self);
  acceptor->ResetLastAccept();
  acceptor->owner_->HandleAccepted(fd);
  acceptor->UpdateAcceptState();
}

// accept() fails, for example, when no descriptor is left. The new connection then stays in the listen queue
// and would wake the event loop again at once, so accepting pauses unless a connection can be evicted.
void ConnectionAcceptor::OnAcceptFailed(evconnlistener*, void* self) {
  auto* acceptor = static_cast<ConnectionAcceptor*>(self);
  if (!acceptor->owner_->EvictConnection())
    acceptor->PauseAccepting();
}

// At the limit, and while no connection can be evicted, new connections wait in the listen queue: worker
// connections need the remaining descriptors.
void ConnectionAcceptor::UpdateAcceptState() {
  if (!listening_)
    return;
  if (owner_->BelowConnectionLimit() || owner_->EvictConnection()) {
    evconnlistener_enable(listener_.get());
    return;
  }
  PauseAccepting();
}

void ConnectionAcceptor::PauseAccepting() {
  if (!listening_)
    return;
  owner_->HandleAcceptPaused();
  evconnlistener_disable(listener_.get());
  resume_timer_.Set(kResumeCheckInterval);
}

bool ConnectionAcceptor::RouteNewConnectionsTo(unsigned number) {
  if (!aldersill::RouteNewConnectionsTo(evconnlistener_get_fd(listener_.get()), number))
    return false;
  ResetLastAccept();
  stop_timer_.Set(kMaxHandshakeTime);
  return true;
}

// Called once the handshakes that were under way must have ended: their connections are in the listen queue
// or accepted. Waits longer while connections still arrive.
void ConnectionAcceptor::StopListening() {
  const Micros since_last_accept = TimeSinceLastAccept();
  if (since_last_accept < kMaxHandshakeTime)
    return stop_timer_.Set(kMaxHandshakeTime - since_last_accept);
  listening_ = false;
  resume_timer_.Clear();
  evconnlistener_disable(listener_.get());
  listener_.reset();
}

}  // namespace aldersill
