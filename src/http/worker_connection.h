// One connection to a worker. It carries one attempt or one health check and is closed afterwards.
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

// An attempt whose request has been sent completely, as it is transferred from one process to another.
struct TransferredAttempt {
  evutil_socket_t fd = -1;
  std::string address;
  std::string received;  // the response so far
};

class WorkerConnection {
 public:
  // The worker client, which owns its connections.
  class Owner {
   public:
    // Destroys the connection. `attempt`: the attempt that ended with it, if any.
    virtual void RemoveConnection(WorkerConnection* connection, std::optional<AttemptId> attempt) = 0;

   protected:
    ~Owner() = default;
  };
  using ProbeDone = std::function<void(ProbeCompleted)>;

  // `address`: the worker's, "address:port". `stream`: not connected yet, or a transferred attempt's
  // connection. `owner` and `sink` must outlive the connection.
  WorkerConnection(event_base* base, Owner* owner, EventSink* sink, std::string address,
                   EventPtr<bufferevent> stream);
  ~WorkerConnection();
  WorkerConnection(const WorkerConnection&) = delete;
  WorkerConnection& operator=(const WorkerConnection&) = delete;

  // Starts to connect; false if that fails immediately. If the connection carries an attempt,
  // AttemptConnected is posted once it is established.
  bool Connect(const Endpoint& worker);

  // Assigns the connection to an attempt at `job`; writes nothing.
  void StartAttempt(AttemptId attempt, std::shared_ptr<const Job> job);
  // Writes the attempt's request, immediately as far as the kernel accepts it, so that the core's decision to
  // send still holds when the first byte is sent. Posts AttemptSent once the last byte has been passed to the
  // kernel, possibly before this function returns.
  void Send(Micros time_left);
  // Nothing more is posted about the attempt.
  void AbandonAttempt() { attempt_.reset(); }

  // Sends a health check's request and calls `done` once, unless the connection is destroyed first. The check
  // times out after `timeout` microseconds.
  void StartProbe(std::string worker, Micros timeout, ProbeDone done);

  // Nothing if the request has not been sent completely, the attempt has ended, or the response so far is too
  // long.
  std::optional<TransferredAttempt> PrepareTransfer() const;
  // Continues an attempt that another process has started. That process has posted the events up to
  // `received`.
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
  std::shared_ptr<const Job> job_;  // the attempt's job
  Micros request_started_at_ = 0;
  bool request_sent_ = false;  // the request's last byte has been passed to the kernel
  // The response to an attempt so far, for a process that takes the attempt over and reads it again. Once it
  // is too long to be transferred, no more bytes are appended.
  std::string received_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WORKER_CONNECTION_H_
