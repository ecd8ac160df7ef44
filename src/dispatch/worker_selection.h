// Chooses the worker for an attempt: of a few sampled ones that may run it, the one with the least expected
// cost.
#ifndef ALDERSILL_SRC_DISPATCH_WORKER_SELECTION_H_
#define ALDERSILL_SRC_DISPATCH_WORKER_SELECTION_H_

#include <cstddef>

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/key_popularity.h"
#include "dispatch/outlier_ejection.h"
#include "dispatch/request.h"
#include "dispatch/run_times.h"
#include "dispatch/slow_start.h"
#include "dispatch/worker.h"
#include "dispatch/worker_estimates.h"

namespace aldersill::dispatch {

class WorkerSelection {
 public:
  WorkerSelection(Context& context, Fleet& fleet, const RunTimes& run_times, const KeyPopularity& keys,
                  const WorkerEstimates& estimates, const OutlierEjection& ejection, SlowStart& slow_start)
      : context_(context),
        fleet_(fleet),
        run_times_(run_times),
        keys_(keys),
        estimates_(estimates),
        ejection_(ejection),
        slow_start_(slow_start) {}

  // The index of the worker that the request's next attempt should go to, or kNoWorker.
  int Select(const Request& request);

 private:
  // One choice in progress.
  struct Search {
    const Request& request;
    // Where a keyed request that may have run is bound to its deduplication scope: a worker inside it; else
    // null.
    const Worker* anchor = nullptr;
    int warming_worker = kNoWorker;  // the only one that warms up and may be chosen
    int best = kNoWorker;
    double best_cost = 0.0;
  };
  enum class Candidates {
    kPreferred,   // neither ejected nor tried before
    kLastResort,  // ejected and tried ones too
  };

  bool IsEligible(const Search& search, int index, Candidates candidates) const;
  bool IsInScope(const Search& search, const Worker& worker) const;
  double Cost(const Request& request, Worker* worker, double fetch_delay) const;
  void Consider(Search* search, int index, Candidates candidates, double fetch_delay) const;
  void Sample(Search* search, const WorkerPool& pool, std::size_t count, Candidates candidates);
  void SampleKeyOwners(Search* search, const WorkerPool& pool);
  const WorkerPool& NearestPool(const Search& search) const;

  Context& context_;
  Fleet& fleet_;
  const RunTimes& run_times_;
  const KeyPopularity& keys_;
  const WorkerEstimates& estimates_;
  const OutlierEjection& ejection_;
  SlowStart& slow_start_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_WORKER_SELECTION_H_
