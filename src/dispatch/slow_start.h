// Slow start: a worker whose process has just started has a part of its capacity and takes a bounded rate of
// jobs.
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

inline bool IsWarmingUp(const Context& context, const Worker& worker) {
  return worker.process_started > 0 && context.now() - worker.process_started < context.settings().warm_after;
}

// The lower bound of a worker's present capacity, as a share of its full one: capacity is assumed to grow at
// least linearly.
inline double WarmUpShare(const Context& context, const Worker& worker) {
  if (!IsWarmingUp(context, worker))
    return 1.0;
  const Settings& settings = context.settings();
  return settings.cold_capacity_share +
         (1.0 - settings.cold_capacity_share) * context.Since(worker.process_started) / settings.warm_after;
}

// Exception: rule 4 (overload_factor, fall). A worker that warms up gets from all nodes a rate at which even
// chance clusters stay below what overloads it. A node that meets the worker seldom cannot hold that rate by
// counting: each short job is drawn with the chance that this node's part of the rate since its last draw
// amounts to.
class SlowStart {
 public:
  SlowStart(Context& context, const Fleet& fleet, const RunTimes& run_times, const JobPricing& pricing);

  // To be called at the first event.
  void Begin() { drawn_at_ = context_.now(); }
  // To be called after the endpoint list has changed.
  void UpdateWorkers();
  // The warming-up worker that this job should go to, or kNoWorker. Long jobs are not sent to such workers,
  // because a few of them already make a cluster.
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
  const double quota_;                // this node's part of the quotas, requests a second
  std::vector<int> warming_workers_;  // those warming up when the list last changed
  Micros drawn_at_ = 0;               // when a job was last drawn for one of them
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_SLOW_START_H_
