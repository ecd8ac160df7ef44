// One connection to a worker, which carries one attempt or one health check and is closed after it.
#ifndef ALDERSILL_SRC_HTTP_WORKER_CONNECTION_H_
#define ALDERSILL_SRC_HTTP_WORKER_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/types.h"
#include "http/worker_response_reader.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill {

// An attempt whose request the worker has received completely, as it moves from one process to another.
struct TransferredAttempt {
  evutil_socket_t fd = -1;
  std::string address;
  std::string received;  // of the response so far
};

class WorkerConnection {
 public:
  // The worker client, which owns its connections.
  class Owner {
   public:
    // Destroys the connection. `attempt`: the one that ended with it.
    virtual void RemoveConnection(WorkerConnection* connection, std::optional<AttemptId> attempt) = 0;

   protected:
    ~Owner() = default;
  };
  using ProbeDone = std::function<void(ProbeCompleted)>;

  // `address`: the worker's, "address:port". `stream`: not connected yet, or of a transferred attempt.
  // `owner` and `sink` must outlive the connection.
  WorkerConnection(event_base* base, Owner* owner, EventSink* sink, std::string address,
                   EventPtr<bufferevent> stream);
  ~WorkerConnection();
  WorkerConnection(const WorkerConnection&) = delete;
  WorkerConnection& operator=(const WorkerConnection&) = delete;

  // Starts to connect; false if that failed at once. For an attempt posts AttemptConnected later.
  bool Connect(const Endpoint& worker);

  void StartAttempt(AttemptId attempt, std::shared_ptr<const Job> job);
  // Writes the attempt's request, at once as far as the kernel takes it: what the core has just decided must
  // still hold when the first byte is sent. Posts AttemptSent with the last byte, maybe before it returns.
  void Send(Micros time_left);
  // Nothing more is posted about the attempt.
  void AbandonAttempt() { attempt_.reset(); }

  // Sends a health check's request and calls `done` once, unless the connection is destroyed before.
  void StartProbe(std::string worker, Micros timeout, ProbeDone done);

  // Nothing for an attempt whose request is not written, that has ended, or that has received too much.
  std::optional<TransferredAttempt> PrepareTransfer() const;
  // Continues an attempt of another process, whose events up to `received` were posted there.
  void ReceiveTransfer(AttemptId attempt, std::shared_ptr<const Job> job, const std::string& received);

 private:
  static void OnOutputChanged(evbuffer* output, const evbuffer_cb_info* info, void* self);
  static void OnRead(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short what, void* self);
  void HandleRead();
  void HandleClose(short what);

  void Write(const std::string& message);
  void PostProgress();
  // Both destroy this object and then report the outcome.
  void FinishWithResponse();
  void FinishWithoutResponse(Outcome outcome, std::string reason);
  void Finish(AttemptEnded ended, Micros probe_elapsed, const LoadReport& probe_report);

  Owner* owner_;
  EventSink* sink_;
  const std::string address_;
  EventPtr<bufferevent> stream_;
  WorkerResponseReader reader_;
  Timer probe_timer_;
  ProbeDone probe_done_;
  std::optional<std::string> probed_worker_;
  std::optional<AttemptId> attempt_;
  std::shared_ptr<const Job> job_;  // of the attempt
  Micros request_started_at_ = 0;
  bool request_sent_ = false;  // its last byte has been passed to the kernel
  // Of an attempt's response, as another process may have to read it again; cut once it is too long for that.
  std::string received_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WORKER_CONNECTION_H_
