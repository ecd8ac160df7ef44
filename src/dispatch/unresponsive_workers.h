// Detects workers that accept jobs and answer none.
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

// Exception: a worker that accepts jobs and answers none keeps them to their deadlines, and no outcome shows
// it. Where nothing at all has come from a worker since a job was sent there too long ago, it is ejected as
// one that cannot be reached, and the job is cancelled where it may run again. Where probes are allowed the
// worker is probed first: with many nodes, each gets answers from a worker so rarely that a queue looks
// like silence, and jobs cancelled while queued would run twice when capacity is scarcest.
class UnresponsiveWorkers {
 public:
  UnresponsiveWorkers(Context& context, Fleet& fleet, const RunTimes& run_times, const Throttle& throttle,
                      OutlierEjection& ejection)
      : context_(context), fleet_(fleet), run_times_(run_times), throttle_(throttle), ejection_(ejection) {}

  // Starts the timer after which CheckAttempts is due. To be called with each send.
  void WatchAttempt(const Request& request);
  // Examines the open attempts of a request whose timer has fired.
  void CheckAttempts(Request* request);

 private:
  double AnswerTimeout(const Request& request) const;
  void CheckAttempt(Request* request, std::size_t attempt_number);
  bool AwaitsProbe(Worker* worker, double timeout);
  bool MayRunAgain(const Request& request, Micros waited, double timeout) const;

  Context& context_;
  Fleet& fleet_;
  const RunTimes& run_times_;
  const Throttle& throttle_;
  OutlierEjection& ejection_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_UNRESPONSIVE_WORKERS_H_
