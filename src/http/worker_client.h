// The HTTP/1.1 client for workers. Each attempt uses a connection of its own: a worker may close a connection
// that is kept open at any time, and a request sent just before that is lost, possibly after the worker has
// run it. The additional handshake takes milliseconds, while a job takes seconds. The client does not use
// evhttp, which does not distinguish a request that was never written completely from a connection that was
// reset afterwards, and does not report when a connection has been established (both measured in
// docs/architecture.md).
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

  // Open connections are not affected.
  void ApplySettings(Micros dial_timeout, int max_connections);

  // Connects to the worker and posts AttemptConnected; writes nothing before Send. Posts AttemptEnded
  // immediately if no connection can be opened.
  void Start(const StartAttempt& start);
  // Writes the attempt's request; does nothing if the attempt has no connection.
  void Send(const SendAttempt& send);
  // Closes the attempt's connection, which tells the worker to stop. Nothing more is posted about the
  // attempt.
  void Stop(AttemptId attempt);

  // The state of an attempt whose request has been sent completely; nothing if it has not, if the attempt has
  // ended, or if the response so far is too long. This client keeps the attempt until CompleteTransfer.
  std::optional<TransferredAttempt> PrepareTransfer(AttemptId attempt) const;
  // To be called when another process has taken over the attempt: closes this process's descriptor and posts
  // nothing.
  void CompleteTransfer(AttemptId attempt);
  // Continues an attempt that another process has started; takes ownership of the descriptor.
  void ReceiveTransfer(AttemptId attempt, std::shared_ptr<const Job> job,
                       const TransferredAttempt& transferred);

  // Checks a worker's health and posts the result.
  void Probe(const ProbeWorker& probe);
  // Like the above, but calls `done` with the result, once, possibly before this function returns.
  using ProbeDone = WorkerConnection::ProbeDone;
  void Probe(const ProbeWorker& probe, ProbeDone done);

 private:
  void RemoveConnection(WorkerConnection* connection, std::optional<AttemptId> attempt) override;

  // Starts to connect; null if too many connections are open, the address is malformed or connecting fails.
  WorkerConnection* Dial(const std::string& address);
  std::unique_ptr<WorkerConnection> NewConnection(const std::string& address, EventPtr<bufferevent> stream);
  WorkerConnection* AddConnection(std::unique_ptr<WorkerConnection> connection);
  WorkerConnection* Find(AttemptId attempt) const;
  // Closes the attempt's connection and posts nothing; does nothing if the attempt has no connection.
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
