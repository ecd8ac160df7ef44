// Manages attempts from their start to their end: connection, send deadline, progress, give-up time, result.
#ifndef ALDERSILL_SRC_CORE_ATTEMPT_CONTROLLER_H_
#define ALDERSILL_SRC_CORE_ATTEMPT_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/dispatcher_instances.h"
#include "core/drain_schedule.h"
#include "core/endpoint_table.h"
#include "core/events.h"
#include "core/job_classes.h"
#include "core/job_id_registry.h"
#include "core/reduction_context.h"
#include "core/request_table.h"

namespace aldersill {

// One try to run a request's job at a worker.
struct Attempt {
  dispatch::RequestId request{};
  int attempt_number = 0;  // the decision module's number, counted from 0 for each request
  std::string worker;
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  Micros worker_started = 0;  // WorkerEndpoint::started when the attempt started
  Micros started_at = 0;
  Micros start_by = 0;    // at or after this time, no byte of the request may be written
  Micros give_up_at = 0;  // time at which the attempt is ended if it has no result yet
  bool sent = false;      // the request was written completely to the worker
  Micros sent_at = 0;     // 0 if not sent
};

// Owns the open attempts. Removes a request once it is answered and its last attempt has ended.
class AttemptController {
 public:
  // The controller's dependencies, all of which must outlive the controller.
  struct Environment {
    ReductionContext& context;
    const JobClasses& classes;
    DispatcherInstances& dispatchers;
    EndpointTable& endpoints;
    RequestTable& requests;
    JobIdRegistry& job_ids;
    const DrainSchedule& drain;
  };
  explicit AttemptController(const Environment& environment) : env_(environment) {}

  // ---- Reports of transports and timers ----
  void Apply(const AttemptConnected& connected);
  void Apply(const AttemptSent& sent);
  void Apply(const AttemptProgress& progress);
  void Apply(AttemptEnded&& ended);
  void Apply(const AbandonedAttemptEnded& ended);
  // Ends the attempt if it is not sent yet.
  void HandleSendDeadline(AttemptId id);
  // Ends the attempt, which has no result in time.
  void HandleGiveUp(AttemptId id);

  // ---- Actions of the decision module ----
  // Starts an attempt. Reports it to the decision module as not sent instead if the worker is not available,
  // or if the request is answered or past its deadline.
  void Start(const dispatch::Send& send);
  // Ignores unknown requests, attempts that are not open, and attempts that must be awaited.
  void Cancel(const dispatch::Cancel& cancel);

  // Adds the attempt of a job that another process of this dispatcher has already sent to `worker`.
  AttemptId AddReceived(dispatch::RequestId id, std::string worker);
  // Cancels the attempt of a job from another process, after the job's client has left.
  void CancelReceived(const Request& request);
  // Removes an attempt that continues in another process. Returns false if the attempt is not open.
  bool RemoveTransferred(AttemptId id);

  // Ends, with outcome kNotSent, the unsent attempts whose worker is no longer available or has restarted.
  void EndUnsentAtUnavailableWorkers();
  // Ends, with outcome kNotSent, the unsent attempts to workers of discovery's list.
  void EndUnsentToDiscoveredWorkers();
  // Does nothing if the request still waits for its answer. Otherwise ends its unsent attempts, whether or
  // not the settings allow cancelling, and removes the request if no attempt is open any longer.
  void ReleaseIfAnswered(dispatch::RequestId id);
  // Emits JobIdClosed unless a job with this id is open. Ignores an empty id.
  void ReportIfClosed(const std::string& id);

  // Returns null if the attempt is not open.
  const Attempt* Find(AttemptId id) const;
  std::size_t size() const { return attempts_.size(); }

 private:
  struct Ending {
    Outcome outcome = Outcome::kNotSent;
    std::string result = {};
    LoadReport report = {};
    bool stop = true;  // the transport must be told to stop the attempt
    StopAttempt::Reason reason = StopAttempt::Reason::kRequestAnswered;  // used only if `stop` is set
  };
  // Only the first end of an attempt counts: ignores an attempt that is not open.
  void End(AttemptId id, Ending ending);
  void EmitEnd(AttemptId id, const Attempt& attempt, const Ending& ending);
  // Records that an attempt was given up after a worker's session fetched it. The session cannot be told to
  // stop and continues the attempt.
  void MarkAbandoned(AttemptId id, const Job& job);
  // Returns whether the attempt is to end by itself because a further one might run at the same time: a
  // worker's session cannot be told to stop a job that it has fetched.
  bool MustAwaitEnd(const Attempt& attempt, const Request& request) const;
  void AnswerRequest(const Attempt& attempt, Request& request, Ending& ending);
  void EndUnsent(const std::vector<AttemptId>& attempts, StopAttempt::Reason reason);
  void EndUnsentWhere(const std::function<bool(const Attempt&)>& predicate, StopAttempt::Reason reason);
  // Returns whether an unsent attempt may still be sent to its worker. A worker that has restarted since the
  // attempt started is excluded: it is cold, and the decision module chooses the jobs of a cold worker.
  bool MaySend(const Attempt& attempt) const;
  void SetTimersAndStart(AttemptId id, const Attempt& attempt, const Request& request);

  Environment env_;
  std::uint64_t next_attempt_ = 1;
  std::map<AttemptId, Attempt> attempts_;
  // Job ids of the attempts that were given up at workers that cannot be told to stop.
  std::map<AttemptId, std::string> abandoned_attempts_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_ATTEMPT_CONTROLLER_H_
