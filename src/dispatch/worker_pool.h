// A set of ready workers in ring order, for weighted sampling.
#ifndef ALDERSILL_SRC_DISPATCH_WORKER_POOL_H_
#define ALDERSILL_SRC_DISPATCH_WORKER_POOL_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace aldersill::dispatch {

class WorkerPool {
 public:
  // Adds the worker with this index in the fleet. Workers must be added in the order of their ring positions.
  void Add(int worker, double weight) {
    workers_.push_back(worker);
    cumulative_weights_.push_back(total_weight() + std::max(weight, 1e-6));
  }
  bool empty() const { return workers_.empty(); }
  std::size_t size() const { return workers_.size(); }
  double total_weight() const { return cumulative_weights_.empty() ? 0.0 : cumulative_weights_.back(); }
  int operator[](std::size_t position) const { return workers_[position]; }
  auto begin() const { return workers_.begin(); }
  auto end() const { return workers_.end(); }
  // The worker at this quantile, 0 to 1, of the cumulative weights; the pool must not be empty.
  int AtQuantile(double quantile) const {
    const auto found = std::upper_bound(cumulative_weights_.begin(), cumulative_weights_.end(),
                                        quantile * cumulative_weights_.back());
    return workers_[std::min<std::size_t>(found - cumulative_weights_.begin(), workers_.size() - 1)];
  }

 private:
  std::vector<int> workers_;
  std::vector<double> cumulative_weights_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_WORKER_POOL_H_
