#include "dispatch/slow_start.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace aldersill::dispatch {
namespace {

// Size of the longest job that may go to a warming-up worker, in slot-times of the mean job.
constexpr double kMaxJobSize = 1.2;
// Assumed ratio of the mean square to the squared mean of the running times of one class.
constexpr double kRunTimeVariability = 1.3;
// All workers together are assumed to run at most this multiple of the quotas.
constexpr double kQuotaMargin = 1.5;
// Share of the limit per window that is used. The rest is left for unused rate that is carried over from
// before the window.
constexpr double kWindowShare = 0.75;

}  // namespace

SlowStart::SlowStart(Context& context, const Fleet& fleet, const RunTimes& run_times,
                     const JobPricing& pricing)
    : context_(context),
      fleet_(fleet),
      run_times_(run_times),
      pricing_(pricing),
      quota_(NodeQuota(context.settings())) {}

void SlowStart::UpdateWorkers() {
  warming_workers_.clear();
  for (const int index : fleet_.All(-1)) {
    if (IsWarmingUp(context_, fleet_.worker(index)))
      warming_workers_.push_back(index);
  }
}

// Removes workers that have warmed up since the endpoint list changed or are no longer ready.
void SlowStart::RemoveWarmWorkers() {
  std::erase_if(warming_workers_, [this](int index) {
    const Worker& worker = fleet_.worker(index);
    return !IsWarmingUp(context_, worker) || worker.state != WorkerEntry::State::kReady;
  });
}

int SlowStart::DrawWorker(const Request& request) {
  RemoveWarmWorkers();
  const double size = request.slots * run_times_.Mean(request.job_class) / pricing_.mean_slot_time();
  if (warming_workers_.empty() || size > kMaxJobSize)
    return kNoWorker;
  // Rate that has not been used for a third of a window expires. Otherwise many nodes would use all that they
  // have saved at once when a surge begins.
  const Settings& settings = context_.settings();
  const Micros since_last = context_.now() - std::exchange(last_draw_at_, context_.now());
  const Micros usable_time = std::min(since_last, settings.overload_window / 3);
  const double total_share = TotalCapacityShare();
  const int index = DrawByCapacityShare(total_share);
  const Worker& worker = fleet_.worker(index);
  const double allowed_jobs =
      JobsPerWindow(worker, request.slots) * usable_time / settings.overload_window / settings.nodes;
  const double probability = total_share / fleet_.CapacityShareOf(worker) * allowed_jobs / size;
  return context_.random().Uniform() < probability ? index : kNoWorker;
}

// The warming-up workers' share of the capacity of all ready workers.
double SlowStart::TotalCapacityShare() const {
  double total = 0.0;
  for (const int index : warming_workers_)
    total += fleet_.CapacityShareOf(fleet_.worker(index));
  return total;
}

// Draws a warming-up worker with a probability proportional to its share of the capacity; `total` is the sum
// of these shares. If the workers took turns, large ones would get fewer jobs than they can run even if every
// draw led to a send.
int SlowStart::DrawByCapacityShare(double total) {
  std::size_t position = 0;
  for (double remaining = context_.random().Uniform() * total; position + 1 < warming_workers_.size();
       ++position) {
    remaining -= fleet_.CapacityShareOf(fleet_.worker(warming_workers_[position]));
    if (remaining <= 0.0)
      break;
  }
  return warming_workers_[position];
}

// The number of mean jobs that the worker may get from all nodes in a window. It is kWindowShare times the
// solution m of the equation m + 4 sqrt(v m) = n. There n is the number of mean jobs that may be sent to the
// worker without overloading it, and v is the ratio of the mean square of the jobs' sizes to their mean. Four
// standard deviations above m thus stay within the limit.
double SlowStart::JobsPerWindow(const Worker& worker, int slots) const {
  double size_sum = 0.0;
  double short_class_count = 0.0;
  for (const double run_time : run_times_.means()) {
    const bool is_short = run_time <= kMaxJobSize * pricing_.mean_slot_time();
    size_sum += is_short ? run_time / pricing_.mean_slot_time() : 0.0;
    short_class_count += is_short;
  }
  // A node that started only recently knows running times only from the targets, which may be far from the
  // real ones. The workers are therefore not assumed to run far more jobs than the quotas allow.
  const Settings& settings = context_.settings();
  const double rate_by_quotas = quota_ > 0.0 ? kQuotaMargin * quota_ * settings.nodes / kSecond : 1.0;
  const double full_capacity_jobs =
      std::min(fleet_.ready_slots() / pricing_.mean_slot_time(), rate_by_quotas) *
      fleet_.CapacityShareOf(worker) * settings.overload_window;
  const double max_jobs = settings.overload_factor * WarmUpShare(context_, worker) * full_capacity_jobs;
  const double variability = kRunTimeVariability * slots * size_sum / short_class_count;
  const double root = std::sqrt(4.0 * variability + max_jobs) - std::sqrt(4.0 * variability);
  return kWindowShare * root * root;
}

}  // namespace aldersill::dispatch
