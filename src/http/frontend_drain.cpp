// Graceful shutdown of the HTTP frontend.
#include "http/frontend.h"
#include "log/log.h"

namespace aldersill {
namespace {

constexpr Micros kIdleCheckInterval = 20 * kMillisecond;

}  // namespace

void HttpFrontend::StartDraining() {
  acceptor_.ResetLastAccept();
  CloseIdleConnections();
}

void HttpFrontend::RouteNewConnectionsTo(unsigned number) {
  if (!acceptor_.RouteNewConnectionsTo(number))
    Log(LogLevel::kWarning, "connection_routing_unavailable",
        {{"effect", "this process listens until it exits"}});
}

void HttpFrontend::CloseIdleConnections() {
  const bool answers_due = drain_->answers_due();
  connections_.ForEach([&](ClientConnection* connection) {
    if (connection->IsIdle())
      connection->CloseBetweenRequests(CloseReason::kDrain);
    if (answers_due && connection->HasPartialRequest())
      connection->RejectPartialRequest();
  });
  drain_timer_.Set(kIdleCheckInterval);
}

bool HttpFrontend::IsDrained() const {
  if (connections_.empty())
    return true;
  // Clients that have their answers but never close must not keep the process alive until it is killed.
  return drain_->answers_due() && connections_.AllLingering();
}

}  // namespace aldersill
