// Creates the parts of the decision module and connects them as the dispatcher does, for tests of single
// parts.
#ifndef ALDERSILL_TESTS_DISPATCH_MODULE_PARTS_H_
#define ALDERSILL_TESTS_DISPATCH_MODULE_PARTS_H_

#include <string>
#include <utility>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/endpoint_list_polling.h"
#include "dispatch/fleet.h"
#include "dispatch/job_pricing.h"
#include "dispatch/key_popularity.h"
#include "dispatch/outcome_learning.h"
#include "dispatch/outlier_ejection.h"
#include "dispatch/rate_control.h"
#include "dispatch/request.h"
#include "dispatch/run_times.h"
#include "dispatch/slow_start.h"
#include "dispatch/throttle.h"
#include "dispatch/unresponsive_workers.h"
#include "dispatch/worker_estimates.h"
#include "dispatch/worker_selection.h"
#include "driver.h"

namespace aldersill::dispatch::testing {

// Indexes into the classes of BasicSettings().
constexpr int kRepeatableClass = 0;
constexpr int kKeyedClass = 1;
constexpr int kUnsafeClass = 2;

class ModuleParts {
 public:
  explicit ModuleParts(Settings settings = BasicSettings(), std::uint64_t seed = 1)
      : context(std::move(settings), seed),
        fleet(context.settings()),
        run_times(context.settings().classes),
        pricing(context.settings(), run_times),
        rate(context, fleet, pricing),
        throttle(context, requests, rate, pricing),
        slow_start(context, fleet, run_times, pricing),
        estimates(context, fleet, run_times),
        ejection(context, fleet),
        outcomes(context, fleet, run_times, estimates, ejection, rate),
        unresponsive_workers(context, fleet, run_times, throttle, ejection),
        selection(context, fleet, run_times, keys, estimates, ejection, slow_start),
        list_polling(context) {
    AdvanceTo(1000 * kSecond);
  }

  // Starts the handling of an event at this time and discards the actions of the previous one.
  void AdvanceTo(Micros now) {
    actions.clear();
    context.BeginEvent(now, &actions);
  }
  void Advance(Micros time) { AdvanceTo(context.now() + time); }
  // Applies a worker list as the dispatcher does.
  void Apply(std::vector<WorkerEntry> workers, WorkerList::Form form = WorkerList::Form::kFull) {
    fleet.Apply({form, std::move(workers)});
    slow_start.UpdateWorkers();
  }
  Worker& WorkerNamed(const std::string& name) { return fleet.worker(fleet.Find(name)); }
  // Adds a request that arrives now; it is not admitted.
  Request& AddRequest(int id, int job_class, Micros time_left = 5 * kSecond) {
    Request& request = requests.Add(RequestId{static_cast<std::uint64_t>(id)});
    request.job_class = job_class;
    request.arrived = context.now();
    request.deadline = context.now() + time_left;
    return request;
  }
  // Records an attempt that is sent now, as the dispatcher does.
  Attempt& AddAttempt(Request* request, const std::string& worker) {
    const int index = fleet.Find(worker);
    fleet.RecordSent(index, request->slots, request->key);
    return request->attempts.emplace_back(Attempt{.worker = index, .sent = context.now()});
  }

  std::vector<Action> actions;
  Context context;
  RequestTable requests;
  KeyPopularity keys;
  Fleet fleet;
  RunTimes run_times;
  JobPricing pricing;
  RateControl rate;
  Throttle throttle;
  SlowStart slow_start;
  WorkerEstimates estimates;
  OutlierEjection ejection;
  OutcomeLearning outcomes;
  UnresponsiveWorkers unresponsive_workers;
  WorkerSelection selection;
  EndpointListPolling list_polling;
};

}  // namespace aldersill::dispatch::testing

#endif  // ALDERSILL_TESTS_DISPATCH_MODULE_PARTS_H_
