#include "dispatch/worker_selection.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "dispatch/random.h"

namespace aldersill::dispatch {
namespace {

// Running times lost where a key's data is not at the worker: the job's own, those queued behind it, and
// those whose data is evicted.
constexpr double kFetchDelay = 1.5;
// Value lost by other jobs per running time of waiting that a job adds to a worker.
constexpr double kWaitPrice = 0.3;
// Costs this close count as equal, or the worker with the least cost would be chosen again and again.
constexpr double kEqualCost = 0.01;

}  // namespace

int WorkerSelection::Select(const Request& request) {
  const ClassSettings& job_class = context_.settings().classes[request.job_class];
  Search search{.request = request};
  if (job_class.repeat == Repeat::kKeyed && job_class.scope != KeyScope::kAll &&
      request.FirstWorkerThatMayHaveRun() != kNoWorker)
    search.anchor = &fleet_.worker(request.FirstWorkerThatMayHaveRun());
  const bool bound = search.anchor != nullptr;
  const int other_zone = (fleet_.home() + 1 + context_.random().Draw(fleet_.zones() - 1)) % fleet_.zones();
  search.warming_worker = slow_start_.DrawWorker(request);
  if (search.warming_worker != kNoWorker && IsEligible(search, search.warming_worker, Candidates::kPreferred))
    return search.warming_worker;

  const WorkerPool& nearest = NearestPool(search);
  if (request.key && !bound && !nearest.empty())
    SampleKeyOwners(&search, nearest);
  Sample(&search, nearest, bound ? 4 * kSampledWorkers : kSampledWorkers, Candidates::kPreferred);
  if (bound)
    return search.best;
  Sample(&search, fleet_.InZone(job_class.kind, other_zone), kSampledWorkers, Candidates::kPreferred);
  for (const int index : fleet_.recent_reporters())
    Consider(&search, index, Candidates::kPreferred, kFetchDelay);
  if (search.best == kNoWorker)
    Sample(&search, fleet_.All(job_class.kind), 8 * kSampledWorkers, Candidates::kLastResort);
  return search.best;
}

const WorkerPool& WorkerSelection::NearestPool(const Search& search) const {
  const ClassSettings& job_class = context_.settings().classes[search.request.job_class];
  if (search.anchor == nullptr)
    return fleet_.InZone(job_class.kind, fleet_.home());
  if (job_class.scope == KeyScope::kCell)
    return fleet_.InCell(search.anchor->cell);
  return fleet_.InZone(job_class.kind, search.anchor->zone);
}

// Jobs of one key are offered to the same few workers on every node, which keep its data: twice as many as
// its share of the traffic fills, or a popular key would overload them.
void WorkerSelection::SampleKeyOwners(Search* search, const WorkerPool& pool) {
  const std::uint64_t key = *search->request.key;
  const std::size_t owners = 1 + static_cast<std::size_t>(2.0 * keys_.ShareOf(key) * pool.size());
  const std::size_t count = std::min<std::size_t>(owners, 2 * kSampledWorkers);
  const std::size_t first = context_.random().Draw(owners);
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t owner = (first + i * (owners / count)) % owners;
    Consider(search, fleet_.AtRingPosition(pool, Mix(key + owner)), Candidates::kPreferred,
             kFetchDelay / 2.0);
  }
}

// Samples by the listed weights, because a node that sends to a worker once in minutes never learns its size.
void WorkerSelection::Sample(Search* search, const WorkerPool& pool, std::size_t count,
                             Candidates candidates) {
  count = std::min(pool.size(), count);
  const double first = context_.random().Uniform();
  for (std::size_t i = 0; i < count; ++i)
    Consider(search, pool.AtQuantile(std::fmod(first + 1.0 * i / count, 1.0)), candidates, kFetchDelay);
}

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

// Where a keyed request may have run, only that worker's zone or cell drops its repeats.
bool WorkerSelection::IsInScope(const Search& search, const Worker& worker) const {
  if (search.anchor == nullptr)
    return true;
  if (worker.zone != search.anchor->zone)
    return false;
  const ClassSettings& job_class = context_.settings().classes[search.request.job_class];
  return job_class.scope != KeyScope::kCell || worker.cell == search.anchor->cell;
}

// The expected cost of sending the request there: the chance that the answer comes late or never, as a share
// of its value, and the price of crossing zones. `fetch_delay` is in mean running times of the class.
double WorkerSelection::Cost(const Request& request, Worker* worker, double fetch_delay) const {
  estimates_.Decay(worker);
  const ClassSettings& job_class = context_.settings().classes[request.job_class];
  const double run_time = run_times_.Mean(request.job_class);
  const double missing_slots = request.slots - estimates_.FreeSlots(*worker);
  // A smooth maximum of 0 and the missing slots.
  const double wait = missing_slots > 8.0 ? missing_slots : std::log1p(std::exp(2.0 * missing_slots)) / 2.0;
  const bool crosses_zones = worker->zone != fleet_.home();
  double delay = fetch_delay;
  if (crosses_zones) {
    const double slower = fleet_.ZoneOf(*worker).usual_start_delay - fleet_.home_zone().usual_start_delay;
    delay += std::max(0.0, slower) / run_time;
  }
  // The time left for waiting, against the expected wait, which is taken as exponentially distributed.
  const double left =
      std::max(0.1, job_class.target / run_time + job_class.stretch - worker->run_time_ratio - delay);
  const double queueing = worker->run_time_ratio * wait / fleet_.KindOf(*worker).slots;
  const double late = std::exp(-left / (queueing + 0.05));
  // A slot taken at a worker with few free ones delays the next job, so workers with more free slots are
  // preferred even if no job is late.
  return 1.0 - (1.0 - late) * (1.0 - worker->error_rate) + kWaitPrice * (queueing + delay) +
         (crosses_zones ? context_.settings().price_cross_zone : 0.0);
}

}  // namespace aldersill::dispatch
