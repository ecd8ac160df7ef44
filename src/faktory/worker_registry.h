// The workers of the Faktory frontend: their connections, parked FETCHes and in-flight jobs.
#ifndef ALDERSILL_SRC_FAKTORY_WORKER_REGISTRY_H_
#define ALDERSILL_SRC_FAKTORY_WORKER_REGISTRY_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "faktory/codec.h"
#include "faktory/session.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::faktory {

struct WorkerTimeouts {
  Micros heartbeat;  // a worker that sends no command for this long is lost
  Micros reconnect;  // a worker without a connection for this long is lost
};

// A worker is known by its wid, over all its connections. It gets a job when it has a FETCH parked. Sessions
// are owned by the caller and must be disconnected before they are destroyed.
class WorkerRegistry {
 public:
  // `close_sessions`: closes all sessions of a worker that is lost.
  WorkerRegistry(event_base* base, EventSink* sink, std::function<void(const std::string&)> close_sessions);

  // Apply from the next command on.
  void set_timeouts(WorkerTimeouts timeouts) { timeouts_ = timeouts; }
  std::size_t size() const { return workers_.size(); }
  bool Contains(const std::string& name) const { return workers_.contains(name); }

  void Connect(Session* session, const Hello& hello);
  // A session of a worker ended. After END, what it fetched stays with the worker, which gets nothing new
  // while it has no session, and is lost if none follows in time. Without END, what it fetched is lost, and
  // the worker as well if it was the last session.
  void Disconnect(Session* session);
  void RecordHeartbeat(const std::string& name);

  void ParkFetch(Session* session);
  void CancelFetch(Session* session);
  // Return the reply.
  std::string Acknowledge(const std::string& name, const Ack& ack, Outcome outcome);
  std::string HandleBeat(const std::string& name, const Beat& beat);

  void Start(const StartAttempt& start);
  void Stop(AttemptId attempt);

 private:
  struct InFlightJob {
    AttemptId attempt{};
    const Session* session = nullptr;  // that fetched it; null once that has ended by END
  };
  struct Worker {
    WorkerEndpoint endpoint;
    int sessions = 0;
    bool is_quiet = false;                                        // reported by a BEAT
    std::deque<Session*> parked_fetches;                          // oldest first
    std::deque<StartAttempt> unsent;                              // attempts that wait for a FETCH
    std::unordered_multimap<std::string, InFlightJob> in_flight;  // fetched, by jid
    std::unordered_multimap<std::string, AttemptId>
        abandoned;                   // fetched, stopped by the core, not acknowledged
    std::unique_ptr<Timer> timeout;  // of the heartbeat, or of the return of a connection
  };

  Worker& Find(const Session& session) { return workers_.at(session.worker()); }
  void InitializeWorker(const std::string& name, const Hello& hello, Worker* worker);
  void Deliver(Worker* worker, Session* session, const StartAttempt& start);
  // Takes the session's in-flight jobs from it, and returns their attempts.
  static std::vector<AttemptId> DetachInFlight(Worker* worker, const Session* session);
  void RemoveWorker(const std::string& name);
  // The worker's endpoint changed.
  void PostEndpoint(const Worker& worker);
  void PostFreeSlots(const Worker& worker);
  void PostAbandonedEnded(const Worker& worker);
  void EndAttempt(AttemptId attempt, Outcome outcome);

  event_base* base_;
  EventSink* sink_;
  std::function<void(const std::string&)> close_sessions_;
  WorkerTimeouts timeouts_{};
  std::map<std::string, Worker> workers_;      // by name
  std::map<AttemptId, std::string> attempts_;  // unsent or in flight, to the worker's name
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_WORKER_REGISTRY_H_
