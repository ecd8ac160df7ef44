#include "dispatch/slow_start.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace aldersill::dispatch {
namespace {

constexpr double kShortJob = 1.2;  // longest job that may go to a worker that warms up, in mean jobs
// Mean square over squared mean of the running times of one class.
constexpr double kRunTimeVariability = 1.3;
constexpr double kQuotaMargin =
    1.5;  // multiple of the quotas that all workers together are assumed to run at most
constexpr double kWindowShare =
    0.75;  // share of the bound that is used, as unused rate from before is added to it

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

void SlowStart::RemoveWarmWorkers() {
  std::erase_if(warming_workers_, [this](int index) {
    const Worker& worker = fleet_.worker(index);
    return !IsWarmingUp(context_, worker) || worker.state != WorkerEntry::State::kReady;
  });
}

int SlowStart::DrawWorker(const Request& request) {
  RemoveWarmWorkers();
  const double size = request.slots * run_times_.Mean(request.job_class) / pricing_.mean_slot_time();
  if (warming_workers_.empty() || size > kShortJob)
    return kNoWorker;
  // Unused rate lapses after a third of a window, or in a surge many nodes would use all that they have saved
  // at once.
  const Settings& settings = context_.settings();
  const Micros since_last = context_.now() - std::exchange(drawn_at_, context_.now());
  const Micros usable = std::min(since_last, settings.overload_window / 3);
  const double total_share = TotalCapacityShare();
  const int index = DrawByCapacityShare(total_share);
  const Worker& worker = fleet_.worker(index);
  const double jobs =
      JobsPerWindow(worker, request.slots) * usable / settings.overload_window / settings.nodes;
  const double chance = total_share / fleet_.CapacityShareOf(worker) * jobs / size;
  return context_.random().Uniform() < chance ? index : kNoWorker;
}

double SlowStart::TotalCapacityShare() const {
  double total = 0.0;
  for (const int index : warming_workers_)
    total += fleet_.CapacityShareOf(fleet_.worker(index));
  return total;
}

// Draws by capacity. If workers took turns, large ones would get fewer jobs than they can run even if every
// draw succeeded.
int SlowStart::DrawByCapacityShare(double total) {
  std::size_t position = 0;
  for (double left = context_.random().Uniform() * total; position + 1 < warming_workers_.size();
       ++position) {
    left -= fleet_.CapacityShareOf(fleet_.worker(warming_workers_[position]));
    if (left <= 0.0)
      break;
  }
  return warming_workers_[position];
}

// Mean jobs m that the worker may get from all nodes in a window: m + 4 sqrt(v m) = the mean jobs that it can
// bear, v being their mean square over their mean, so that four standard deviations fit under the bound.
double SlowStart::JobsPerWindow(const Worker& worker, int slots) const {
  double sizes = 0.0;
  double short_classes = 0.0;
  for (const double run_time : run_times_.means()) {
    const bool is_short = run_time <= kShortJob * pricing_.mean_slot_time();
    sizes += is_short ? run_time / pricing_.mean_slot_time() : 0.0;
    short_classes += is_short;
  }
  // A node that began a while ago knows running times by the targets alone, which may tell little of them: so
  // all workers are not assumed to run far more than the quotas promise.
  const Settings& settings = context_.settings();
  const double by_quotas = quota_ > 0.0 ? kQuotaMargin * quota_ * settings.nodes / kSecond : 1.0;
  const double run_in_window = std::min(fleet_.ready_slots() / pricing_.mean_slot_time(), by_quotas) *
                               fleet_.CapacityShareOf(worker) * settings.overload_window;
  const double bearable = settings.overload_factor * WarmUpShare(context_, worker) * run_in_window;
  const double variability = kRunTimeVariability * slots * sizes / short_classes;
  const double root = std::sqrt(4.0 * variability + bearable) - std::sqrt(4.0 * variability);
  return kWindowShare * root * root;
}

}  // namespace aldersill::dispatch
