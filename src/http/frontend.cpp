#include "http/frontend.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "http/codec.h"
#include "http/http_response.h"
#include "log/log.h"
#include "net/event_ptr.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

constexpr const char* kReadinessPath = "/-/ready";

PortSharing SharingOf(const HttpFrontendSettings& settings) {
  return settings.shared_endpoint ? PortSharing::kShared : PortSharing::kExclusive;
}

}  // namespace

HttpFrontend::HttpFrontend(event_base* base, const Endpoint& listen, HttpFrontendSettings settings,
                           EventSink* sink, const DrainStatus* drain, std::function<bool()> ready)
    : base_(base),
      settings_(std::move(settings)),
      sink_(sink),
      ready_(std::move(ready)),
      drain_(drain),
      memory_(settings_.max_unfinished_bytes),
      acceptor_(base, listen, SharingOf(settings_), this),
      drain_timer_(base, [this] { CloseIdleConnections(); }),
      rejections_timer_(base, [this] { LogRejections(RejectionLogThrottle::Selection::kDue); }) {}

HttpFrontend::~HttpFrontend() { LogRejections(RejectionLogThrottle::Selection::kAll); }

EventPtr<evconnlistener> HttpFrontend::CreateListener(const Endpoint& listen) {
  return acceptor_.CreateListener(listen, SharingOf(settings_));
}

void HttpFrontend::ApplySettings(HttpFrontendSettings settings, EventPtr<evconnlistener> listener) {
  settings_ = std::move(settings);
  memory_.set_limit(settings_.max_unfinished_bytes);
  if (listener != nullptr)
    acceptor_.ReplaceListener(std::move(listener));
  acceptor_.UpdateAcceptState();
}

// ---- Connections ----

ClientConnection* HttpFrontend::AddConnection(evutil_socket_t fd) {
  ClientConnection::Owner* owner = this;
  return connections_.Add(std::make_unique<ClientConnection>(base_, fd, owner, drain_, &memory_));
}

void HttpFrontend::HandleAccepted(evutil_socket_t fd) { AddConnection(fd); }

bool HttpFrontend::BelowConnectionLimit() const { return connections_.size() < settings_.max_connections; }

bool HttpFrontend::EvictConnection() {
  ClientConnection* evictable = connections_.FindEvictable(SteadyNow());
  if (evictable == nullptr)
    return false;
  // The connection is closed at once, as its descriptor is needed. A request that crosses the close of an
  // idle connection causes a reset, and the client sends it again on a new connection. An idle connection has
  // no unread bytes, and its last response has had time to arrive.
  evictable->AnswerBeforeEviction();
  RemoveConnection(evictable, CloseReason::kEvicted);
  return true;
}

void HttpFrontend::HandleAcceptPaused() {
  Log(LogLevel::kWarning, "client_connection_limit_reached",
      {{"connections", connections_.size()}, {"with_request", connections_.requests_in_flight()}});
}

void HttpFrontend::RemoveConnection(ClientConnection* connection, CloseReason reason) {
  const std::unique_ptr<ClientConnection> removed = connections_.Remove(connection);
  if (removed == nullptr)
    return;
  const std::uint64_t client = removed->client();
  LogClose(client, reason);
  if (connections_.FinishRequest(client))
    sink_->Post(ClientLeft{{ClientRef::Frontend::kHttp, client}});
}

// Routine closes, by the client between requests or after a last response, are frequent and are logged at
// debug level only. A close for another reason, or with a request in flight, is logged at info level.
void HttpFrontend::LogClose(std::uint64_t client, CloseReason reason) {
  const bool routine = reason == CloseReason::kClosedByPeer || reason == CloseReason::kLingerEnded;
  Log(routine && client == 0 ? LogLevel::kDebug : LogLevel::kInfo, "client_connection_closed",
      {{"client", client}, {"why", NameOf(reason)}}, LogBudget::kRequests);
}

// ---- Requests and answers ----

void HttpFrontend::HandleRequest(ClientConnection* connection, HttpRequest request) {
  if (request.target == kReadinessPath && request.method == "GET")
    return RespondToReadinessCheck(connection);
  const std::string id = RequestIdForLog(request);
  if (request.method != "POST") {
    HandleRejection(405, "jobs come by POST", id);
    return connection->Respond({.status = 405, .body = "jobs come by POST\n", .headers = "Allow: POST\r\n"});
  }
  Job job;
  try {
    job = DecodeJob(std::move(request), settings_.requires_idempotency_key);
  } catch (const BadMessage& error) {
    HandleRejection(400, error.what(), id);
    return connection->Respond({.status = 400, .body = std::string(error.what()) + "\n", .headers = ""});
  }
  const std::uint64_t client = connections_.StartRequest(connection);
  connection->AwaitAnswer(client);
  sink_->Post(RequestReceived{.client = {ClientRef::Frontend::kHttp, client},
                              .job = std::move(job),
                              .waited = connection->TimeSinceArrival()});
}

void HttpFrontend::RespondToReadinessCheck(ClientConnection* connection) {
#ifdef ALDERSILL_MUTANT_LATE_READINESS  // injected fault that fleet_search must detect
  static const Micros since = SteadyNow();
  if (SteadyNow() < since + 12 * kSecond)
    return connection->Respond({.status = 503, .body = "not ready\n", .headers = ""});
#endif
  if (ready_())
    return connection->Respond({.status = 200, .body = "ready\n", .headers = ""});
  connection->Respond({.status = 503, .body = "not ready: no worker list yet\n", .headers = ""});
}

void HttpFrontend::Reply(std::uint64_t client, const FinalAnswer& answer) {
  ClientConnection* connection = connections_.Find(client);
  if (connection == nullptr)
    return;
  connections_.FinishRequest(client);
  connection->Respond(ToResponse(answer));
}

bool HttpFrontend::ClientDisconnected(std::uint64_t client) const {
  const ClientConnection* connection = connections_.Find(client);
  return connection != nullptr && connection->PeerHasClosed();
}

// ---- Rejections ----

void HttpFrontend::HandleRejection(int status, const std::string& reason, const std::string& request_id) {
  sink_->Post(RequestRejectedByFrontend{ClientRef::Frontend::kHttp, status, reason, request_id});
  rejections_.Add(status, reason, request_id);
  LogRejections(RejectionLogThrottle::Selection::kDue);
}

void HttpFrontend::LogRejections(RejectionLogThrottle::Selection selection) {
  const Micros now = SteadyNow();
  for (const RejectionLogThrottle::Notice& notice : rejections_.TakeNotices(now, selection)) {
    Log(LogLevel::kWarning, "requests_rejected",
        {{"status", notice.status},
         {"why", notice.reason},
         {"count", notice.count},
         {"example", notice.example_request_id}});
  }
  if (const std::optional<Micros> wait = rejections_.TimeToNextNotice(now))
    rejections_timer_.Set(std::max<Micros>(1, *wait));
}

}  // namespace aldersill
