// Links to instances: HTTP/1.1 over bufferevents, each execution on a connection of its own. A kept one may
// be closed by the instance at any time, and what crosses that close is lost, maybe after a run; a handshake
// costs milliseconds where a job takes seconds (docs/architecture.md has what was measured). Not on evhttp's
// client, which cannot tell a request never written whole from a connection reset after it, nor when a
// connection has come up (docs/architecture.md has what was measured).
#ifndef ALDERSILL_SRC_HTTP_WORKER_CLIENT_H_
#define ALDERSILL_SRC_HTTP_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/types.h"
#include "net/event_ptr.h"

namespace aldersill {

// An execution that its instance has whole, between two processes.
struct TransferredAttempt {
  evutil_socket_t fd = -1;
  std::string address;
  std::string received;  // of the answer so far
};

class WorkerClient {
 public:
  WorkerClient(event_base* base, Micros dial_timeout, int most_connections, EventSink* sink);
  ~WorkerClient();

  void ApplySettings(Micros dial_timeout, int most_connections);
  // Connects; tells AttemptConnected, and writes nothing before Send.
  void Start(const StartAttempt& start);
  void Send(const SendAttempt& send);
  void Stop(AttemptId attempt);
  // Nothing for one that is not handed over, or has answered too much to be told again. It stays this link's
  // until Forget.
  std::optional<TransferredAttempt> PrepareTransfer(AttemptId attempt) const;
  // Lets go of it without a word: another process has it.
  void CompleteTransfer(AttemptId attempt);
  // Goes on with one that another process handed over.
  void ReceiveTransfer(AttemptId attempt, std::shared_ptr<const Job> job, const TransferredAttempt& running);
  // Tells the sink.
  void Probe(const ProbeWorker& probe);
  // Tells `done` instead, once, and maybe at once.
  using ProbeDone = std::function<void(ProbeCompleted)>;
  void Probe(const ProbeWorker& probe, ProbeDone done);

 private:
  class Connection;
  friend class Connection;

  // Null where none can be had.
  Connection* Open(const std::string& address);
  void Remove(Connection* connection);

  event_base* base_;
  Micros dial_timeout_ = 0;
  std::size_t most_connections_ = 0;
  EventSink* sink_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<AttemptId, Connection*> busy_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WORKER_CLIENT_H_
