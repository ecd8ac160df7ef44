// Updates all estimates with the start and the outcome of an attempt: those of the worker and its zone, the
// running times of the class, and the throttle's rate.
#ifndef ALDERSILL_SRC_DISPATCH_OUTCOME_LEARNING_H_
#define ALDERSILL_SRC_DISPATCH_OUTCOME_LEARNING_H_

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/outlier_ejection.h"
#include "dispatch/rate_control.h"
#include "dispatch/request.h"
#include "dispatch/run_times.h"
#include "dispatch/worker_estimates.h"

namespace aldersill::dispatch {

class OutcomeLearning {
 public:
  OutcomeLearning(const Context& context, Fleet& fleet, RunTimes& run_times, WorkerEstimates& estimates,
                  OutlierEjection& ejection, RateControl& rate)
      : context_(context),
        fleet_(fleet),
        run_times_(run_times),
        estimates_(estimates),
        ejection_(ejection),
        rate_(rate) {}

  // Records how an attempt ended; `attempt` must have been updated with the outcome already.
  void RecordOutcome(const Request& request, const Attempt& attempt, Outcome outcome);
  // Records that an attempt has started to run.
  void RecordStart(const Request& request, const Attempt& attempt);

 private:
  void RecordRejection(const Request& request, Worker* worker);
  void RecordServed(const Request& request, const Attempt& attempt, Worker* worker);

  const Context& context_;
  Fleet& fleet_;
  RunTimes& run_times_;
  WorkerEstimates& estimates_;
  OutlierEjection& ejection_;
  RateControl& rate_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_OUTCOME_LEARNING_H_
