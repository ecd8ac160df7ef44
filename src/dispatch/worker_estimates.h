// Estimates of single workers: running time relative to their peers, error rate and free slots, learned from
// load reports and outcomes. Evidence on one worker decays to its peers' averages.
#ifndef ALDERSILL_SRC_DISPATCH_WORKER_ESTIMATES_H_
#define ALDERSILL_SRC_DISPATCH_WORKER_ESTIMATES_H_

#include <cmath>
#include <optional>
#include <utility>

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/run_times.h"
#include "dispatch/slow_start.h"
#include "dispatch/worker.h"

namespace aldersill::dispatch {

// Estimates from the report the free slots of a worker that has `slots` slots, less those that its waiting
// jobs will take; nullopt if the report does not tell. May be negative.
std::optional<double> FreeSlotsIn(const LoadReport& report, double slots);

class WorkerEstimates {
 public:
  WorkerEstimates(const Context& context, Fleet& fleet, const RunTimes& run_times)
      : context_(context), fleet_(fleet), run_times_(run_times) {}

  void RecordReport(int index, const LoadReport& report);
  // Records that an attempt has ended at the worker; `failed`: without an answer or with an error.
  void RecordResult(Worker* worker, bool failed);
  // An answered attempt took this multiple of its class's mean running time.
  void RecordRunTime(Worker* worker, double run_time_ratio);
  // Records that the worker rejected an attempt as full. This is fresher than any report. If it were dated
  // back like a report, a worker that rejects everything would look idle.
  void RecordRejection(Worker* worker);
  // An attempt has started there after this delay in microseconds; returns the usual one.
  double RecordStartDelay(const Worker& worker, double delay);

  // Moves the estimates towards the averages of the worker's peers, by the time since they last were.
  void Decay(Worker* worker) const {
    const double elapsed = context_.Since(std::exchange(worker->decayed_at, context_.now()));
    const double kept = std::exp(-elapsed / kDecayTime);
    const double usual_ratio = fleet_.KindOf(*worker).run_time_ratio;
    worker->run_time_ratio = usual_ratio + kept * (worker->run_time_ratio - usual_ratio);
    worker->error_rate = mean_error_rate_ + kept * (worker->error_rate - mean_error_rate_);
    worker->free_slots_offset *= kept;
  }

  // Expected free slots: a mean of the worker's own report, whose weight decays with its age, and the average
  // of its kind, less the slots that this node has sent since. Without the decay every node would send to the
  // same worker once it was reported free.
  double FreeSlots(const Worker& worker) const {
    const double room =
        (fleet_.FreeShareOf(worker) - 1.0 + WarmUpShare(context_, worker)) * fleet_.KindOf(worker).slots;
    const double usual = room + worker.free_slots_offset - (worker.own_slots - fleet_.mean_own_slots());
    if (worker.reported_at < 0)
      return usual;
    const double trust = std::exp(-context_.Since(worker.reported_at) / run_times_.MeanOverClasses());
    return usual + trust * (worker.reported_free_slots - worker.slots_sent_since_report - usual);
  }

 private:
  static constexpr double kDecayTime = 10.0 * kSecond;

  const Context& context_;
  Fleet& fleet_;
  const RunTimes& run_times_;
  double mean_error_rate_ = 0.0;  // over all workers
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_WORKER_ESTIMATES_H_
