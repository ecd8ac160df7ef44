// The Faktory frontend. It accepts connections from producers and workers and passes jobs and answers between
// them and the core. A PUSH is answered when the job is done; a worker's FETCH counts as a free slot. The
// frontend makes no dispatch decisions.
#ifndef ALDERSILL_SRC_FAKTORY_FRONTEND_H_
#define ALDERSILL_SRC_FAKTORY_FRONTEND_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/drain_schedule.h"
#include "core/types.h"
#include "faktory/codec.h"
#include "faktory/session.h"
#include "faktory/worker_registry.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/request_memory.h"
#include "net/timer.h"

namespace aldersill::faktory {

struct FrontendSettings {
  Endpoint listen;
  Micros fetch_wait = 2 * kSecond;          // time until a FETCH without a job gets null
  Micros heartbeat_timeout = 60 * kSecond;  // A worker that sends no command for this long is lost.
  Micros reconnect_timeout = kSecond;       // A worker without a connection for this long is lost.
  int max_connections = 128;
  ClassDeadlines classes;
};

class Frontend : private SessionHost {
 public:
  // `sink` and `drain` must outlive this object. Throws std::runtime_error if it cannot listen.
  Frontend(event_base* base, FrontendSettings settings, EventSink* sink, const DrainStatus* drain);
  ~Frontend() override;

  // Applies new settings. `listener` replaces the present listener; null keeps it.
  void ApplySettings(FrontendSettings settings, EventPtr<evconnlistener> listener);
  // Opens a listener for ApplySettings. Throws std::runtime_error if it cannot listen.
  EventPtr<evconnlistener> Open(const Endpoint& listen);
  // The TCP port that the listener is bound to.
  int port() const;

  // Answers a producer's job. Does nothing if the producer has disconnected.
  void Reply(std::uint64_t client, const FinalAnswer& answer);
  // Returns whether the producer has closed its connection, even if ClientLeft has not been posted yet.
  bool ClientDisconnected(std::uint64_t client) const;
  // Carry out the core's effects on attempts (worker_registry.h).
  void Start(const StartAttempt& start);
  void Stop(AttemptId attempt);

  // Closes each producer's session, including new ones, as soon as it is idle between two commands. Workers
  // stay connected until the last job is done.
  void BeginDrain();
  // Stops listening and begins a drain. ApplySettings with a listener then ends the drain.
  void Close();
  // Returns whether no producer is connected.
  bool HasNoProducers() const;

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  void Accept(evutil_socket_t fd);
  void CloseIdleProducers();
  void CloseSessionsOf(const std::string& worker);

  const ClassDeadlines& classes() const override { return settings_.classes; }
  Micros fetch_wait() const override { return settings_.fetch_wait; }
  Micros drain_began() const override { return drain_began_; }
  bool answers_due() const override { return drain_->answers_due(); }
  ServerInfo GetInfo() const override;
  void SubmitJob(Session* session, Job job, Micros waited) override;
  void ConnectWorker(Session* session, const Hello& hello) override { workers_.Connect(session, hello); }
  void RecordHeartbeat(const std::string& worker) override { workers_.RecordHeartbeat(worker); }
  void ParkFetch(Session* session) override { workers_.ParkFetch(session); }
  void CancelFetch(Session* session) override { workers_.CancelFetch(session); }
  std::string Acknowledge(const std::string& worker, const Ack& ack, Outcome outcome) override {
    return workers_.Acknowledge(worker, ack, outcome);
  }
  std::string HandleBeat(const std::string& worker, const Beat& beat) override {
    return workers_.HandleBeat(worker, beat);
  }
  void CloseSession(Session* session) override;

  event_base* base_;
  FrontendSettings settings_;
  EventSink* sink_;
  const DrainStatus* drain_;
  EventPtr<evconnlistener> listener_;
  RequestMemory input_memory_;
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
  WorkerRegistry workers_;
  std::unordered_map<std::uint64_t, Session*> producer_by_client_;  // sessions of unanswered jobs
  std::uint64_t next_client_ = 1;
  std::uint64_t pushed_ = 0;
  std::uint64_t done_ = 0;
  std::uint64_t failed_ = 0;
  Micros started_at_ = 0;
  // When this frontend began to close its producers' sessions; 0 if it has not. It does so when the process
  // exits, and when the operator turns the frontend off.
  Micros drain_began_ = 0;
  Timer drain_timer_;
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_FRONTEND_H_
