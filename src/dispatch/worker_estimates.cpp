#include "dispatch/worker_estimates.h"

#include <algorithm>

namespace aldersill::dispatch {
namespace {

// Assumed age of a load report when it arrives, in microseconds. Workers refresh their reports periodically
// and the reports arrive late, but no setting gives the age.
constexpr Micros kReportDelay = 700'000;
// Number of workers with the latest reports that are considered in every choice of a worker, because a random
// sample of a large fleet would rarely include one with a recent report.
constexpr std::size_t kRecentReporters = 4 * kSampledWorkers;

}  // namespace

std::optional<double> FreeSlotsIn(const LoadReport& report, double slots) {
  std::optional<double> free_slots = report.free_slots;
  if (!free_slots && report.running_jobs)
    free_slots = slots - *report.running_jobs;
  if (!free_slots && report.cpu_share)
    free_slots = slots * (1.0 - *report.cpu_share);
  if (free_slots)
    *free_slots -= report.waiting.value_or(0.0);
  return free_slots;
}

void WorkerEstimates::RecordReport(int index, const LoadReport& report) {
  Worker& worker = fleet_.worker(index);
  WorkerKind& kind = fleet_.KindOf(worker);
  if (report.free_slots)
    kind.slots = std::max(kind.slots, std::floor(*report.free_slots + 0.3));
  const std::optional<double> free_slots = FreeSlotsIn(report, kind.slots);
  if (!free_slots)
    return;
  kind.longest_queue = std::max(kind.longest_queue, -*free_slots);
  // The report is dated back by its assumed age, because it does not reflect the jobs that ended since.
  worker.RecordFreeSlots(*free_slots, context_.now() - kReportDelay);
  fleet_.RecordReport(index, kRecentReporters);
  double& free_share = fleet_.FreeShareOf(worker);
  free_share += kPooledSampleWeight * (worker.reported_free_slots / kind.slots - free_share);
}

void WorkerEstimates::RecordResult(Worker* worker, bool failed) {
  const double sample = failed ? 1.0 : 0.0;
  worker->error_rate += kWorkerSampleWeight * (sample - worker->error_rate);
  mean_error_rate_ += kPooledSampleWeight * (sample - mean_error_rate_);
}

void WorkerEstimates::RecordRunTime(Worker* worker, double run_time_ratio) {
  // The sample is limited so that a single long job or pause does not affect the worker's estimate for long.
  const double sample = std::clamp(run_time_ratio, 0.25, 4.0);
  WorkerKind& kind = fleet_.KindOf(*worker);
  kind.run_time_ratio += kPooledSampleWeight * (sample - kind.run_time_ratio);
  worker->run_time_ratio += kWorkerSampleWeight * (sample - worker->run_time_ratio);
}

void WorkerEstimates::RecordRejection(Worker* worker) {
  // The worker is assumed to have the longest queue known for its kind, with at least one job for each slot.
  const WorkerKind& kind = fleet_.KindOf(*worker);
  worker->RecordFreeSlots(-std::max(kind.slots, kind.longest_queue), context_.now());
  worker->free_slots_offset -= kWorkerSampleWeight * (kind.slots + worker->free_slots_offset);
}

double WorkerEstimates::RecordStartDelay(const Worker& worker, double delay) {
  // The estimate falls quickly and rises slowly, so that it follows the delay at free workers.
  double& usual = fleet_.ZoneOf(worker).usual_start_delay;
  usual += (delay < usual || usual == 0.0 ? 0.5 : 0.01) * (delay - usual);
  return usual;
}

}  // namespace aldersill::dispatch
