// The Faktory frontend: accepts connections of producers and workers, and carries jobs and answers between
// them and the core. Producers PUSH and are answered once the work is done; a FETCH of a worker is a free
// slot. It makes no dispatch decisions.
#ifndef ALDERSILL_SRC_FAKTORY_FRONTEND_H_
#define ALDERSILL_SRC_FAKTORY_FRONTEND_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/types.h"
#include "faktory/codec.h"
#include "faktory/session.h"
#include "faktory/worker_registry.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::faktory {

struct FrontendSettings {
  Endpoint listen;
  Micros fetch_wait = 2 * kSecond;  // how long a FETCH may wait before it gets null
  Micros silence = 60 * kSecond;    // a worker that sends no command for this long is lost
  Micros return_within = kSecond;   // a worker without a connection for this long is lost
  int most_connections = 128;
  ClassDeadlines classes;
};

class Frontend : private SessionHost {
 public:
  // Throws std::runtime_error if it cannot listen.
  Frontend(event_base* base, FrontendSettings settings, EventSink* sink);
  ~Frontend() override;

  // Adopts new settings. `listener` replaces the present one; null keeps that.
  void ApplySettings(FrontendSettings settings, EventPtr<evconnlistener> listener);
  // A listener for ApplySettings. Throws std::runtime_error if it cannot listen.
  EventPtr<evconnlistener> Open(const Endpoint& listen);
  int port() const;

  // Answers a producer's job. Ignored if the producer is gone.
  void Reply(std::uint64_t client, const FinalAnswer& answer);
  void Start(const StartAttempt& start);
  void Stop(AttemptId attempt);

  // Closes producers' sessions, now and later, each between two commands. Workers stay until the last job is
  // done.
  void BeginDrain();
  // Stops listening, and drains. ApplySettings with a listener opens it again.
  void Close();
  // Whether no producer is connected.
  bool Quiet() const;

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  void Accept(evutil_socket_t fd);
  void CloseIdleProducers();
  void CloseSessionsOf(const std::string& worker);

  const ClassDeadlines& classes() const override { return settings_.classes; }
  Micros fetch_wait() const override { return settings_.fetch_wait; }
  Micros drain_began() const override { return drain_began_; }
  Info GetInfo() const override;
  void SubmitJob(Session* session, Job job) override;
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
  EventPtr<evconnlistener> listener_;
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
  WorkerRegistry workers_;
  std::unordered_map<std::uint64_t, Session*> producer_by_client_;  // of jobs that have no answer yet
  std::uint64_t next_client_ = 1;
  std::uint64_t pushed_ = 0;
  std::uint64_t done_ = 0;
  std::uint64_t failed_ = 0;
  Micros began_ = 0;
  Micros drain_began_ = 0;  // 0: no drain
  Timer drain_timer_;
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_FRONTEND_H_
