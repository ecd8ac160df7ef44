#include "faktory/frontend.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "log/log.h"
#include "net/listener.h"
#include "net/steady_clock.h"

namespace aldersill::faktory {
namespace {

constexpr Micros kDrainCheckInterval = 20 * kMillisecond;

// Limits the input of all sessions that waits behind unanswered commands.
constexpr std::size_t kMaxWaitingInput = std::size_t{16} << 20;

WorkerTimeouts TimeoutsOf(const FrontendSettings& settings) {
  return {.heartbeat = settings.heartbeat_timeout, .reconnect = settings.reconnect_timeout};
}

}  // namespace

Frontend::Frontend(event_base* base, FrontendSettings settings, EventSink* sink, const DrainStatus* drain)
    : base_(base),
      settings_(std::move(settings)),
      sink_(sink),
      drain_(drain),
      input_memory_(kMaxWaitingInput),
      workers_(base, sink, [this](const std::string& worker) { CloseSessionsOf(worker); }),
      started_at_(SteadyNow()),
      drain_timer_(base, [this] { CloseIdleProducers(); }) {
  workers_.set_timeouts(TimeoutsOf(settings_));
  listener_ = Open(settings_.listen);
}

Frontend::~Frontend() = default;

EventPtr<evconnlistener> Frontend::Open(const Endpoint& listen) {
  return OpenListener(base_, listen, "faktory.listen", {.function = &Frontend::OnAccept, .arg = this});
}

void Frontend::ApplySettings(FrontendSettings settings, EventPtr<evconnlistener> listener) {
  settings_ = std::move(settings);
  workers_.set_timeouts(TimeoutsOf(settings_));
  if (listener == nullptr)
    return;
  if (listener_ == nullptr) {
    drain_began_ = 0;
    drain_timer_.Clear();
  }
  listener_ = std::move(listener);
}

int Frontend::port() const { return LocalPort(evconnlistener_get_fd(listener_.get())); }

void Frontend::OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*peer*/, int /*size*/,
                        void* self) {
  static_cast<Frontend*>(self)->Accept(fd);
}

void Frontend::Accept(evutil_socket_t fd) {
  if (sessions_.size() >= static_cast<std::size_t>(settings_.max_connections)) {
    Log(LogLevel::kWarning, "faktory_session_limit_reached", {{"sessions", sessions_.size()}});
    evutil_closesocket(fd);
    return;
  }
  SessionHost* host = this;
  auto session = std::make_unique<Session>(base_, host, &input_memory_, fd);
  Session* key = session.get();
  sessions_.emplace(key, std::move(session));
}

void Frontend::BeginDrain() {
  if (drain_began_ != 0)
    return;
  drain_began_ = SteadyNow();
  CloseIdleProducers();
}

void Frontend::Close() {
  listener_.reset();
  BeginDrain();
}

void Frontend::CloseIdleProducers() {
  std::vector<Session*> idle;
  for (const auto& [session, owned] : sessions_) {
    if (session->worker().empty() && session->IsIdle(drain_began_))
      idle.push_back(session);
  }
  for (Session* session : idle)
    CloseSession(session);
  drain_timer_.Set(kDrainCheckInterval);
}

bool Frontend::HasNoProducers() const {
  return std::all_of(sessions_.begin(), sessions_.end(),
                     [](const auto& entry) { return !entry.first->worker().empty(); });
}

ServerInfo Frontend::GetInfo() const {
  return {.connections = sessions_.size(),
          .workers = workers_.size(),
          .pushed = pushed_,
          .done = done_,
          .failed = failed_,
          .uptime = SteadyNow() - started_at_};
}

void Frontend::SubmitJob(Session* session, Job job, Micros waited) {
  const std::uint64_t client = next_client_++;
  producer_by_client_[client] = session;
  session->AddPendingPush(client, job.id);
  ++pushed_;
  sink_->Post(RequestReceived{
      .client = {ClientRef::Frontend::kFaktory, client}, .job = std::move(job), .waited = waited});
}

void Frontend::Reply(std::uint64_t client, const FinalAnswer& answer) {
  const auto found = producer_by_client_.find(client);
  if (found == producer_by_client_.end())
    return;
  Session* session = found->second;
  producer_by_client_.erase(found);
  ++(std::holds_alternative<Served>(answer) ? done_ : failed_);
  session->AnswerPush(client, answer);
}

bool Frontend::ClientDisconnected(std::uint64_t client) const {
  const auto found = producer_by_client_.find(client);
  return found != producer_by_client_.end() && found->second->PeerHasClosed();
}

void Frontend::Start(const StartAttempt& start) { workers_.Start(start); }

void Frontend::Stop(AttemptId attempt) { workers_.Stop(attempt); }

void Frontend::CloseSessionsOf(const std::string& worker) {
  std::vector<Session*> sessions;
  for (const auto& [session, owned] : sessions_) {
    if (session->worker() == worker)
      sessions.push_back(session);
  }
  for (Session* session : sessions)
    CloseSession(session);
}

void Frontend::CloseSession(Session* session) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end())
    return;
  const std::unique_ptr<Session> owned = std::move(found->second);
  sessions_.erase(found);
  for (const Session::PendingPush& push : session->pending_pushes()) {
    producer_by_client_.erase(push.client);
    sink_->Post(ClientLeft{{ClientRef::Frontend::kFaktory, push.client}});
  }
  // False for a producer's session and for a session of a worker that is lost.
  if (workers_.Contains(session->worker()))
    workers_.Disconnect(session);
}

}  // namespace aldersill::faktory
