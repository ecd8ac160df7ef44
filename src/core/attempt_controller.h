// The life of attempts: start, connection, send deadline, progress, give-up and end.
#ifndef ALDERSILL_SRC_CORE_ATTEMPT_CONTROLLER_H_
#define ALDERSILL_SRC_CORE_ATTEMPT_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/dispatcher_instances.h"
#include "core/endpoint_table.h"
#include "core/events.h"
#include "core/idempotency_tracker.h"
#include "core/job_classes.h"
#include "core/reduction_context.h"
#include "core/request_table.h"

namespace aldersill {

struct Attempt {
  dispatch::RequestId request{};
  int attempt_number = 0;  // as the decision module counts, from 0 for each request
  std::string worker;
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  Micros worker_started = 0;  // WorkerEndpoint::started at the attempt's start
  Micros started_at = 0;
  Micros start_by = 0;  // no byte may be written from then on
  Micros give_up_at = 0;
  bool sent = false;
  Micros sent_at = 0;
};

// Owns the open attempts, and removes a request with its last attempt once it is answered.
class AttemptController {
 public:
  // What the controller works with; all of it outlives the controller.
  struct Environment {
    ReductionContext& context;
    const JobClasses& classes;
    DispatcherInstances& dispatchers;
    EndpointTable& endpoints;
    RequestTable& requests;
    IdempotencyTracker& idempotency;
  };
  explicit AttemptController(const Environment& environment) : env_(environment) {}

  // ---- What transports and timers report ----
  void Apply(const AttemptConnected& connected);
  void Apply(const AttemptSent& sent);
  void Apply(const AttemptProgress& progress);
  void Apply(AttemptEnded&& ended);
  void Apply(const AbandonedAttemptEnded& ended);
  void HandleSendDeadline(AttemptId id);
  void HandleGiveUp(AttemptId id);

  // ---- What the decision module asks for ----
  void Start(const dispatch::Send& send);
  void Cancel(const dispatch::Cancel& cancel);

  // Opens the attempt of a job that another process of this dispatcher has sent to `worker`.
  AttemptId AddReceived(dispatch::RequestId id, std::string worker);
  // Ends the attempt of a received job whose client has left.
  void CancelReceived(const Request& request);
  // Removes an attempt that goes on in another process. False where it is not open.
  bool RemoveTransferred(AttemptId id);

  // End, as never sent, the attempts that are not sent and whose worker is not available any more, or whose
  // worker discovery lists.
  void EndUnsentAtUnavailableWorkers();
  void EndUnsentToDiscoveredWorkers();
  // Once a request is answered or its client has left: ends the attempts that are not sent, whether or not
  // cancelling is allowed, and removes the request if none is left.
  void ReleaseIfAnswered(dispatch::RequestId id);

  // Null where the attempt is not open.
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
  // Only the first end of an attempt counts.
  void End(AttemptId id, Ending ending);
  void EmitEnd(AttemptId id, const Attempt& attempt, const Ending& ending);
  // A session that has fetched an attempt goes on with it, whatever becomes of the request.
  void MarkAbandoned(AttemptId id, const Job& job);
  void AnswerRequest(const Attempt& attempt, Request& request, Ending& ending);
  void EndUnsent(const std::vector<AttemptId>& attempts, StopAttempt::Reason reason);
  void EndUnsentWhere(const std::function<bool(const Attempt&)>& applies, StopAttempt::Reason reason);
  // Whether an attempt that is not sent may still go to its worker. Not to one that has restarted meanwhile:
  // it is cold, and which jobs a cold worker gets is the decision module's choice.
  bool MaySend(const Attempt& attempt) const;
  void SetTimersAndStart(AttemptId id, const Attempt& attempt, const Request& request);

  Environment env_;
  std::uint64_t next_attempt_ = 1;
  std::map<AttemptId, Attempt> attempts_;
  // Attempts given up at workers that cannot be told to stop, with the ids of their jobs.
  std::map<AttemptId, std::string> abandoned_attempts_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_ATTEMPT_CONTROLLER_H_
