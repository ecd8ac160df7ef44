// Chooses the worker for an attempt: samples a few workers that may run it and takes the one with the lowest
// expected cost.
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

  // Returns the index of the worker that the request's next attempt should go to, or kNoWorker if none of the
  // sampled workers may run it.
  int Select(const Request& request);

 private:
  // The state of one choice.
  struct Search {
    const Request& request;
    // If the request is keyed, may have run, and repeats are recognized only within a zone or cell: the
    // worker that may have run it, whose zone or cell all further attempts must go to. Otherwise null.
    const Worker* scope_worker = nullptr;
    int warming_worker = kNoWorker;  // the only warming-up worker that may be chosen
    int best = kNoWorker;            // the best candidate so far
    double best_cost = 0.0;          // cost of the best candidate
  };
  enum class Candidates {
    kPreferred,   // workers that are not ejected and have had no attempt of the request
    kLastResort,  // also ejected workers and those with an ended attempt of the request
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
