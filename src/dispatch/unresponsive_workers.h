// Detects workers that accept jobs but answer none.
#ifndef ALDERSILL_SRC_DISPATCH_UNRESPONSIVE_WORKERS_H_
#define ALDERSILL_SRC_DISPATCH_UNRESPONSIVE_WORKERS_H_

#include <cstddef>

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/outlier_ejection.h"
#include "dispatch/request.h"
#include "dispatch/run_times.h"
#include "dispatch/throttle.h"

namespace aldersill::dispatch {

// Ejects workers that accept jobs but answer none. Berger and Whitt's paper (throttle.h) has no such rule;
// the code deviates from it because such a worker keeps its jobs until their deadlines, and no outcome shows
// that it does not work. If a job was sent to a worker too long ago and the worker has answered nothing
// since, the worker is ejected like one that cannot be reached, and the job is cancelled if it may run again.
// If probes are allowed, the worker is probed first: with many nodes, each node gets answers from a worker so
// rarely that a long queue looks like silence, and jobs that are cancelled while they are queued would run
// twice when capacity is scarcest.
class UnresponsiveWorkers {
 public:
  UnresponsiveWorkers(Context& context, Fleet& fleet, const RunTimes& run_times, const Throttle& throttle,
                      OutlierEjection& ejection)
      : context_(context), fleet_(fleet), run_times_(run_times), throttle_(throttle), ejection_(ejection) {}

  // Starts the timer after which CheckAttempts must be called. To be called after each send.
  void WatchAttempt(const Request& request);
  // Examines the open attempts of a request whose timer has fired.
  void CheckAttempts(Request* request);

 private:
  double AnswerTimeout(const Request& request) const;
  void CheckAttempt(Request* request, std::size_t attempt_number);
  bool AwaitsProbe(Worker* worker, double timeout);
  bool MayRunAgain(const Request& request, Micros since_send, double timeout) const;

  Context& context_;
  Fleet& fleet_;
  const RunTimes& run_times_;
  const Throttle& throttle_;
  OutlierEjection& ejection_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_UNRESPONSIVE_WORKERS_H_
