// Keeps the workers of the Faktory frontend with their connections, parked FETCHes and in-flight jobs.
#ifndef ALDERSILL_SRC_FAKTORY_WORKER_REGISTRY_H_
#define ALDERSILL_SRC_FAKTORY_WORKER_REGISTRY_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  Micros heartbeat;  // A worker that sends no command for this long is lost.
  Micros reconnect;  // A worker without a connection for this long is lost.
};

// The wid identifies a worker across its connections. A worker gets a job when it has a parked FETCH. The
// caller owns the sessions and must disconnect each one before it destroys it.
class WorkerRegistry {
 public:
  // `close_sessions` closes all sessions of a worker that is lost.
  WorkerRegistry(event_base* base, EventSink* sink, std::function<void(const std::string&)> close_sessions);

  // The timeouts take effect when a worker's timer is next set, for example at its next command.
  void set_timeouts(WorkerTimeouts timeouts) { timeouts_ = timeouts; }
  std::size_t size() const { return workers_.size(); }
  bool Contains(const std::string& name) const { return workers_.contains(name); }

  void Connect(Session* session, const Hello& hello);
  // Handles the end of a worker's session. After END, jobs that the session fetched stay with the worker.
  // While the worker has no session it gets no new jobs, and it is lost if none follows within the reconnect
  // timeout. Without END, jobs that the session fetched are lost, and so is the worker if this was its last
  // session.
  void Disconnect(Session* session);
  void RecordHeartbeat(const std::string& name);

  void ParkFetch(Session* session);
  void CancelFetch(Session* session);
  // Handles an ACK or FAIL and returns the reply.
  std::string Acknowledge(const std::string& name, const Ack& ack, Outcome outcome);
  // Handles a BEAT and returns the reply. Any current_state in it stops new jobs for the worker.
  std::string HandleBeat(const std::string& name, const Beat& beat);

  // Delivers the job to a parked FETCH, or queues it until the worker sends a FETCH. Posts kConnectFailed if
  // the worker is unknown.
  void Start(const StartAttempt& start);
  // Removes the attempt. A job that a worker has fetched counts as abandoned until the worker acknowledges
  // it.
  void Stop(AttemptId attempt);

 private:
  struct InFlightJob {
    AttemptId attempt{};
    const Session* session = nullptr;  // session that fetched the job; null after its END
  };
  struct UnsentAttempt {
    StartAttempt start;
    Micros give_up_at = 0;
  };
  struct Worker {
    WorkerEndpoint endpoint;
    int sessions = 0;
    bool is_quiet = false;                                        // set by a BEAT
    std::deque<Session*> parked_fetches;                          // oldest first
    std::deque<UnsentAttempt> unsent;                             // wait for a FETCH
    std::unordered_multimap<std::string, InFlightJob> in_flight;  // by jid
    std::unordered_multimap<std::string, AttemptId>
        abandoned;                   // by jid; stopped by the core and not yet acknowledged
    std::unique_ptr<Timer> timeout;  // heartbeat timeout, or reconnect timeout without a session
  };

  Worker& Find(const Session& session) { return workers_.at(session.worker()); }
  void InitializeWorker(const std::string& name, const Hello& hello, Worker* worker);
  static std::optional<UnsentAttempt> TakeUnsent(Worker* worker);
  void Deliver(Worker* worker, Session* session, const UnsentAttempt& unsent);
  // Sets the session of the session's in-flight jobs to null and returns their attempts.
  static std::vector<AttemptId> DetachInFlight(Worker* worker, const Session* session);
  void RemoveWorker(const std::string& name);
  // Posts a changed endpoint to the core.
  void PostEndpoint(const Worker& worker);
  // Posts the number of parked FETCHes, less the unsent attempts, as free slots.
  void PostFreeSlots(const Worker& worker);
  void PostAbandonedEnded(const Worker& worker);
  void EndAttempt(AttemptId attempt, Outcome outcome);

  event_base* base_;
  EventSink* sink_;
  std::function<void(const std::string&)> close_sessions_;
  WorkerTimeouts timeouts_{};
  std::map<std::string, Worker> workers_;      // by name
  std::map<AttemptId, std::string> attempts_;  // worker's name by unsent or in-flight attempt
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_WORKER_REGISTRY_H_
