#include "dispatch/worker_selection.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "dispatch/random.h"

namespace aldersill::dispatch {
namespace {

// Time lost if the worker does not have the data of the job's key, in mean running times of the class. It is
// lost by the job itself, by the jobs queued behind it and by the jobs whose data is evicted.
constexpr double kFetchDelay = 1.5;
// Priority weight that other jobs lose for each mean running time of waiting that a job adds to a worker, as
// a share of the job's own.
constexpr double kWaitPrice = 0.3;
// Costs that differ by no more than this count as equal. Without this tolerance the worker with the lowest
// cost would be chosen again and again.
constexpr double kEqualCost = 0.01;

}  // namespace

int WorkerSelection::Select(const Request& request) {
  const ClassSettings& job_class = context_.settings().classes[request.job_class];
  Search search{.request = request};
  if (job_class.repeat == Repeat::kKeyed && job_class.scope != KeyScope::kAll &&
      request.FirstWorkerThatMayHaveRun() != kNoWorker)
    search.scope_worker = &fleet_.worker(request.FirstWorkerThatMayHaveRun());
  const bool is_bound = search.scope_worker != nullptr;
  const int other_zone = (fleet_.home() + 1 + context_.random().Draw(fleet_.zones() - 1)) % fleet_.zones();
  search.warming_worker = slow_start_.DrawWorker(request);
  if (search.warming_worker != kNoWorker && IsEligible(search, search.warming_worker, Candidates::kPreferred))
    return search.warming_worker;

  const WorkerPool& nearest = NearestPool(search);
  if (request.key && !is_bound && !nearest.empty())
    SampleKeyOwners(&search, nearest);
  Sample(&search, nearest, is_bound ? 4 * kSampledWorkers : kSampledWorkers, Candidates::kPreferred);
  if (is_bound)
    return search.best;
  Sample(&search, fleet_.InZone(job_class.kind, other_zone), kSampledWorkers, Candidates::kPreferred);
  for (const int index : fleet_.recent_reporters())
    Consider(&search, index, Candidates::kPreferred, kFetchDelay);
  if (search.best == kNoWorker)
    Sample(&search, fleet_.All(job_class.kind), 8 * kSampledWorkers, Candidates::kLastResort);
  return search.best;
}

// The first pool to sample: the cell or zone that the request is bound to, or else the home zone.
const WorkerPool& WorkerSelection::NearestPool(const Search& search) const {
  const ClassSettings& job_class = context_.settings().classes[search.request.job_class];
  if (search.scope_worker == nullptr)
    return fleet_.InZone(job_class.kind, fleet_.home());
  if (job_class.scope == KeyScope::kCell)
    return fleet_.InCell(search.scope_worker->cell);
  return fleet_.InZone(job_class.kind, search.scope_worker->zone);
}

// Considers the owners of the request's key. Every node computes the same few owners, so these workers keep
// the key's data. A key has twice as many owners as its share of the traffic keeps busy, because a popular
// key would overload fewer.
void WorkerSelection::SampleKeyOwners(Search* search, const WorkerPool& pool) {
  const std::uint64_t key = *search->request.key;
  const std::size_t owner_count = 1 + static_cast<std::size_t>(2.0 * keys_.ShareOf(key) * pool.size());
  const std::size_t count = std::min<std::size_t>(owner_count, 2 * kSampledWorkers);
  const std::size_t first = context_.random().Draw(owner_count);
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t owner = (first + i * (owner_count / count)) % owner_count;
    Consider(search, fleet_.AtRingPosition(pool, Mix(key + owner)), Candidates::kPreferred,
             kFetchDelay / 2.0);
  }
}

// Considers up to `count` workers of the pool, taken at evenly spaced quantiles of the listed weights from a
// random start. The listed weights are used because a node that sends to a worker only once in several
// minutes never learns its size.
void WorkerSelection::Sample(Search* search, const WorkerPool& pool, std::size_t count,
                             Candidates candidates) {
  count = std::min(pool.size(), count);
  const double first = context_.random().Uniform();
  for (std::size_t i = 0; i < count; ++i)
    Consider(search, pool.AtQuantile(std::fmod(first + 1.0 * i / count, 1.0)), candidates, kFetchDelay);
}

// Makes the worker the best candidate if it is eligible and its cost is lower than that of the best one so
// far. `fetch_delay` applies if the worker does not have the data of the request's key.
void WorkerSelection::Consider(Search* search, int index, Candidates candidates, double fetch_delay) const {
  if (!IsEligible(*search, index, candidates))
    return;
  Worker& worker = fleet_.worker(index);
  const Request& request = search->request;
  const bool has_data = !request.key || worker.HasRecentKey(*request.key);
  const double cost = Cost(request, &worker, has_data ? 0.0 : fetch_delay);
  if (search->best != kNoWorker && cost >= search->best_cost - kEqualCost)
    return;
  search->best = index;
  search->best_cost = cost;
}

// Whether the worker may run the request's next attempt.
bool WorkerSelection::IsEligible(const Search& search, int index, Candidates candidates) const {
  const Worker& worker = fleet_.worker(index);
  const bool preferred = candidates == Candidates::kPreferred;
  if (worker.state != WorkerEntry::State::kReady || (preferred && ejection_.IsEjected(worker)))
    return false;
  if (!IsInScope(search, worker))
    return false;
  const ClassSettings& job_class = context_.settings().classes[search.request.job_class];
  if (job_class.kind >= 0 && worker.kind != job_class.kind + 1)
    return false;
  for (const Attempt& attempt : search.request.attempts) {
    if (attempt.worker == index && (attempt.open || preferred))
      return false;
  }
  return !IsWarmingUp(context_, worker) || index == search.warming_worker;
}

// Whether the worker is in the deduplication scope that the request is bound to, if any. If a keyed request
// may have run, repeats of it are recognized and dropped only in the zone or cell of the worker that may have
// run it.
bool WorkerSelection::IsInScope(const Search& search, const Worker& worker) const {
  if (search.scope_worker == nullptr)
    return true;
  if (worker.zone != search.scope_worker->zone)
    return false;
  const ClassSettings& job_class = context_.settings().classes[search.request.job_class];
  return job_class.scope != KeyScope::kCell || worker.cell == search.scope_worker->cell;
}

// The expected cost of sending the request to the worker, as a share of the request's priority weight. It
// consists of the probability that the answer comes late or never, the waiting that the job causes to others,
// and the price of crossing zones. `fetch_delay` is in mean running times of the class, as are the other
// times here.
double WorkerSelection::Cost(const Request& request, Worker* worker, double fetch_delay) const {
  estimates_.Decay(worker);
  const ClassSettings& job_class = context_.settings().classes[request.job_class];
  const double run_time = run_times_.Mean(request.job_class);
  const double missing_slots = request.slots - estimates_.FreeSlots(*worker);
  // Slots that have to become free before the job starts: a smooth maximum of 0 and the missing slots.
  const double awaited_slots =
      missing_slots > 8.0 ? missing_slots : std::log1p(std::exp(2.0 * missing_slots)) / 2.0;
  const bool crosses_zones = worker->zone != fleet_.home();
  double delay = fetch_delay;
  if (crosses_zones) {
    const double extra_start_delay =
        fleet_.ZoneOf(*worker).usual_start_delay - fleet_.home_zone().usual_start_delay;
    delay += std::max(0.0, extra_start_delay) / run_time;
  }
  // The job may wait this long and still be answered in time. The wait is taken as exponentially distributed
  // around its expected value.
  const double allowed_wait =
      std::max(0.1, job_class.target / run_time + job_class.stretch - worker->run_time_ratio - delay);
  const double expected_wait = worker->run_time_ratio * awaited_slots / fleet_.KindOf(*worker).slots;
  const double late_probability = std::exp(-allowed_wait / (expected_wait + 0.05));
  // A job that takes a slot at a worker with few free ones delays the next job there. The wait therefore has
  // a price of its own, so that workers with more free slots are preferred even if no job would be late.
  return 1.0 - (1.0 - late_probability) * (1.0 - worker->error_rate) + kWaitPrice * (expected_wait + delay) +
         (crosses_zones ? context_.settings().price_cross_zone : 0.0);
}

}  // namespace aldersill::dispatch
