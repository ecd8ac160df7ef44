// Slow start: a worker whose process has just started has only a part of its capacity and gets jobs at a
// limited rate.
#ifndef ALDERSILL_SRC_DISPATCH_SLOW_START_H_
#define ALDERSILL_SRC_DISPATCH_SLOW_START_H_

#include <cstddef>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/job_pricing.h"
#include "dispatch/request.h"
#include "dispatch/run_times.h"
#include "dispatch/worker.h"

namespace aldersill::dispatch {

// Whether the worker's process is younger than Settings::warm_after.
inline bool IsWarmingUp(const Context& context, const Worker& worker) {
  return worker.process_started > 0 && context.now() - worker.process_started < context.settings().warm_after;
}

// The lower bound of a worker's present capacity as a share of its full capacity, 0 to 1. The capacity is
// assumed to grow at least linearly while the worker warms up.
inline double WarmUpShare(const Context& context, const Worker& worker) {
  if (!IsWarmingUp(context, worker))
    return 1.0;
  const Settings& settings = context.settings();
  return settings.cold_capacity_share +
         (1.0 - settings.cold_capacity_share) * context.Since(worker.process_started) / settings.warm_after;
}

// Decides which jobs go to warming-up workers. Berger and Whitt's throttle (throttle.h) has no such decision;
// the code goes beyond it because rule 4 (Settings::overload_factor and overload_window, "fall" in the
// settings) requires it. All nodes together send a warming-up worker jobs at a rate so low that even random
// clusters stay below the load that overloads it. A node that rarely sends to the worker cannot keep to that
// rate by counting its jobs. Instead it draws each short job for the worker at random, with a probability
// that equals this node's part of the jobs that the rate allows since the last draw.
class SlowStart {
 public:
  SlowStart(Context& context, const Fleet& fleet, const RunTimes& run_times, const JobPricing& pricing);

  // To be called at the first event.
  void Begin() { last_draw_at_ = context_.now(); }
  // To be called after the endpoint list has changed.
  void UpdateWorkers();
  // Returns the warming-up worker that this job should go to, or kNoWorker. Long jobs are not sent to such
  // workers, because a few of them are enough to form a cluster.
  int DrawWorker(const Request& request);

 private:
  void RemoveWarmWorkers();
  double TotalCapacityShare() const;
  int DrawByCapacityShare(double total);
  double JobsPerWindow(const Worker& worker, int slots) const;

  Context& context_;
  const Fleet& fleet_;
  const RunTimes& run_times_;
  const JobPricing& pricing_;
  const double quota_;  // this node's part of the quotas, in requests a second; 0 if there are none
  std::vector<int> warming_workers_;  // indexes of the workers that warm up
  Micros last_draw_at_ = 0;           // time of the last draw for a short job
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_SLOW_START_H_
