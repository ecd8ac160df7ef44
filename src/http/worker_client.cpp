#include "http/worker_client.h"

#include <utility>

#include "log/log.h"
#include "net/endpoint.h"

namespace aldersill {
namespace {

// A health check that takes longer than this many dial timeouts says nothing about the worker's load.
constexpr int kProbeTimeoutFactor = 4;

EventPtr<bufferevent> NewStream(event_base* base, evutil_socket_t fd) {
  return EventPtr<bufferevent>(
      bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
}

}  // namespace

WorkerClient::WorkerClient(event_base* base, Micros dial_timeout, int max_connections, EventSink* sink)
    : base_(base), sink_(sink) {
  ApplySettings(dial_timeout, max_connections);
}

WorkerClient::~WorkerClient() = default;

void WorkerClient::ApplySettings(Micros dial_timeout, int max_connections) {
  dial_timeout_ = dial_timeout;
  max_connections_ = static_cast<std::size_t>(max_connections);
}

// ---- Connections ----

std::unique_ptr<WorkerConnection> WorkerClient::NewConnection(const std::string& address,
                                                              EventPtr<bufferevent> stream) {
  WorkerConnection::Owner* owner = this;
  return std::make_unique<WorkerConnection>(base_, owner, sink_, address, std::move(stream));
}

WorkerConnection* WorkerClient::AddConnection(std::unique_ptr<WorkerConnection> connection) {
  WorkerConnection* added = connection.get();
  connections_.emplace(added, std::move(connection));
  return added;
}

WorkerConnection* WorkerClient::Dial(const std::string& address) {
  if (connections_.size() >= max_connections_) {
    Log(LogLevel::kWarning, "worker_connection_limit_reached",
        {{"connections", connections_.size()}, {"address", address}});
    return nullptr;
  }
  const std::optional<Endpoint> worker = ParseEndpoint(address);
  if (!worker) {
    Log(LogLevel::kWarning, "endpoint_list_invalid",
        {{"why", "addr must be address:port, not '" + address + "'"}});
    return nullptr;
  }
  EventPtr<bufferevent> stream = NewStream(base_, -1);
  if (stream == nullptr)
    return nullptr;
  std::unique_ptr<WorkerConnection> connection = NewConnection(address, std::move(stream));
  if (!connection->Connect(*worker))
    return nullptr;
  return AddConnection(std::move(connection));
}

WorkerConnection* WorkerClient::Find(AttemptId attempt) const {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : found->second;
}

void WorkerClient::RemoveConnection(WorkerConnection* connection, std::optional<AttemptId> attempt) {
  if (attempt)
    attempts_.erase(*attempt);
  connections_.erase(connection);
}

void WorkerClient::Abandon(AttemptId attempt) {
  WorkerConnection* connection = Find(attempt);
  if (connection == nullptr)
    return;
  connection->AbandonAttempt();
  RemoveConnection(connection, attempt);
}

// ---- Attempts ----

void WorkerClient::Start(const StartAttempt& start) {
  WorkerConnection* connection = Dial(start.address);
  if (connection == nullptr) {
    AttemptEnded ended;
    ended.attempt = start.attempt;
    ended.outcome = Outcome::kConnectFailed;
    ended.reason = "no connection could be opened";
    sink_->Post(std::move(ended));
    return;
  }
  attempts_[start.attempt] = connection;
  connection->StartAttempt(start.attempt, start.job);
}

void WorkerClient::Send(const SendAttempt& send) {
  if (WorkerConnection* connection = Find(send.attempt))
    connection->Send(send.time_left);
}

void WorkerClient::Stop(AttemptId attempt) { Abandon(attempt); }

// ---- Transfer between processes ----

std::optional<TransferredAttempt> WorkerClient::PrepareTransfer(AttemptId attempt) const {
  const WorkerConnection* connection = Find(attempt);
  if (connection == nullptr)
    return std::nullopt;
  return connection->PrepareTransfer();
}

void WorkerClient::CompleteTransfer(AttemptId attempt) { Abandon(attempt); }

void WorkerClient::ReceiveTransfer(AttemptId attempt, std::shared_ptr<const Job> job,
                                   const TransferredAttempt& transferred) {
  WorkerConnection* connection =
      AddConnection(NewConnection(transferred.address, NewStream(base_, transferred.fd)));
  attempts_.emplace(attempt, connection);
  connection->ReceiveTransfer(attempt, std::move(job), transferred.received);
}

// ---- Health checks ----

void WorkerClient::Probe(const ProbeWorker& probe) {
  Probe(probe, [this](ProbeCompleted completed) { sink_->Post(std::move(completed)); });
}

void WorkerClient::Probe(const ProbeWorker& probe, ProbeDone done) {
  WorkerConnection* connection = Dial(probe.address);
  if (connection == nullptr) {
    ProbeCompleted completed;
    completed.worker = probe.worker;
    completed.outcome = Outcome::kConnectFailed;
    done(std::move(completed));
    return;
  }
  connection->StartProbe(probe.worker, dial_timeout_ * kProbeTimeoutFactor, std::move(done));
}

}  // namespace aldersill
