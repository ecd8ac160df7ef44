// Estimates of each worker's running times, error rate and free slots, learned from load reports and
// outcomes. The estimates of one worker decay to the averages of its peers.
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

// The free slots of a worker by its report, less one for each of its waiting jobs; may be negative. `slots`
// is the worker's number of slots. Returns nullopt if the report has none of the values needed.
std::optional<double> FreeSlotsIn(const LoadReport& report, double slots);

class WorkerEstimates {
 public:
  WorkerEstimates(const Context& context, Fleet& fleet, const RunTimes& run_times)
      : context_(context), fleet_(fleet), run_times_(run_times) {}

  // Records a load report of the worker with this index; a report without usable values is ignored.
  void RecordReport(int index, const LoadReport& report);
  // Records that an attempt at the worker has ended; `failed`: whether it ended with an error or no answer.
  void RecordResult(Worker* worker, bool failed);
  // Records that an answered attempt took this multiple of its class's mean running time.
  void RecordRunTime(Worker* worker, double run_time_ratio);
  // Records that the worker rejected an attempt because it is full. This is dated to the present time, as it
  // is more recent than any report. If it were dated back like a report, a worker that rejects everything
  // would look idle.
  void RecordRejection(Worker* worker);
  // Records that an attempt started at the worker this many microseconds after its send. Returns the usual
  // delay at a free worker of the same zone.
  double RecordStartDelay(const Worker& worker, double delay);

  // Moves the worker's estimates towards the averages of its peers, according to the time since the last
  // call.
  void Decay(Worker* worker) const {
    const double elapsed = context_.Since(std::exchange(worker->decayed_at, context_.now()));
    const double kept_share = std::exp(-elapsed / kDecayTime);
    const double usual_ratio = fleet_.KindOf(*worker).run_time_ratio;
    worker->run_time_ratio = usual_ratio + kept_share * (worker->run_time_ratio - usual_ratio);
    worker->error_rate = mean_error_rate_ + kept_share * (worker->error_rate - mean_error_rate_);
    worker->free_slots_offset *= kept_share;
  }

  // The expected number of free slots, which may be negative. It is a weighted mean of two values: the
  // worker's last report, less the slots that this node has sent since, and the average of its kind and zone,
  // corrected by how many more slots this node has sent to it than to others. The weight of the report decays
  // with its age; otherwise every node would send to the same worker once it was reported free.
  double FreeSlots(const Worker& worker) const {
    const double peer_average =
        (fleet_.FreeShareOf(worker) - 1.0 + WarmUpShare(context_, worker)) * fleet_.KindOf(worker).slots;
    const double expected =
        peer_average + worker.free_slots_offset - (worker.own_slots - fleet_.mean_own_slots());
    if (worker.reported_at < 0)
      return expected;
    const double report_weight = std::exp(-context_.Since(worker.reported_at) / run_times_.MeanOverClasses());
    return expected +
           report_weight * (worker.reported_free_slots - worker.slots_sent_since_report - expected);
  }

 private:
  static constexpr double kDecayTime = 10.0 * kSecond;  // time constant of the decay, in microseconds

  const Context& context_;
  Fleet& fleet_;
  const RunTimes& run_times_;
  double mean_error_rate_ = 0.0;  // over all workers, 0 to 1
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_WORKER_ESTIMATES_H_
