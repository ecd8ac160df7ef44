// The HTTP/1.1 client for workers. Each attempt has a connection of its own: a worker may close a kept one at
// any time, and a request that crosses that close is lost, maybe after it ran, while a handshake costs
// milliseconds where a job takes seconds. It does not use evhttp's client, which cannot tell a request that
// was never written completely from a connection that was reset after it, nor when a connection has come up
// (both measured in docs/architecture.md).
#ifndef ALDERSILL_SRC_HTTP_WORKER_CLIENT_H_
#define ALDERSILL_SRC_HTTP_WORKER_CLIENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/types.h"
#include "http/worker_connection.h"
#include "net/event_ptr.h"

namespace aldersill {

class WorkerClient final : private WorkerConnection::Owner {
 public:
  // `base` and `sink` must outlive this object.
  WorkerClient(event_base* base, Micros dial_timeout, int max_connections, EventSink* sink);
  ~WorkerClient();
  WorkerClient(const WorkerClient&) = delete;
  WorkerClient& operator=(const WorkerClient&) = delete;

  // Connections that are open stay.
  void ApplySettings(Micros dial_timeout, int max_connections);

  // Connects, posts AttemptConnected, and writes nothing before Send. Posts AttemptEnded at once if it cannot
  // connect.
  void Start(const StartAttempt& start);
  void Send(const SendAttempt& send);
  // Closes the attempt's connection, which is how the worker learns of it; nothing more is posted about it.
  void Stop(AttemptId attempt);

  // An attempt whose request is sent; nothing if it is not, or if the response so far is too long. It stays
  // this client's until CompleteTransfer.
  std::optional<TransferredAttempt> PrepareTransfer(AttemptId attempt) const;
  // Another process has the attempt: closes this process's descriptor, and posts nothing.
  void CompleteTransfer(AttemptId attempt);
  // Continues an attempt of another process; takes ownership of its descriptor.
  void ReceiveTransfer(AttemptId attempt, std::shared_ptr<const Job> job,
                       const TransferredAttempt& transferred);

  // Checks a worker's health and posts the result.
  void Probe(const ProbeWorker& probe);
  // Calls `done` with the result instead, once, and maybe before it returns.
  using ProbeDone = WorkerConnection::ProbeDone;
  void Probe(const ProbeWorker& probe, ProbeDone done);

 private:
  void RemoveConnection(WorkerConnection* connection, std::optional<AttemptId> attempt) override;

  // A connection that is being established; null if there can be none.
  WorkerConnection* Dial(const std::string& address);
  std::unique_ptr<WorkerConnection> NewConnection(const std::string& address, EventPtr<bufferevent> stream);
  WorkerConnection* AddConnection(std::unique_ptr<WorkerConnection> connection);
  WorkerConnection* Find(AttemptId attempt) const;
  // Closes the attempt's connection without a report; does nothing if there is none.
  void Abandon(AttemptId attempt);

  event_base* base_;
  Micros dial_timeout_ = 0;
  std::size_t max_connections_ = 0;
  EventSink* sink_;
  std::unordered_map<WorkerConnection*, std::unique_ptr<WorkerConnection>> connections_;
  std::map<AttemptId, WorkerConnection*> attempts_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WORKER_CLIENT_H_
