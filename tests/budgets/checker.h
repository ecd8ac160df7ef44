// Checks from outside, in true time, whether a fleet stays within its budgets. The checkers know nothing of
// how budgets are divided, and share no code with the implementation.
#ifndef ALDERSILL_TESTS_BUDGETS_CHECKER_H_
#define ALDERSILL_TESTS_BUDGETS_CHECKER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace aldersill::tests {

using TrueTime = std::int64_t;  // microseconds

// In any interval of length T there may be at most total * T + burst starts.
class RateChecker {
 public:
  RateChecker(double total, double burst) : total_(total), burst_(burst) {}
  // Records a start. Returns false if there are too many in some interval that ends with it.
  bool Start(TrueTime at) {
    // Write h_j = j - total * t_j for the j-th start. From the i-th start to the j-th there are j - i + 1, so
    // the limit holds for every interval if no h_j exceeds an earlier h_i by more than burst - 1.
    const double height = static_cast<double>(starts_++) - total_ * static_cast<double>(at) / 1e6;
    lowest_ = starts_ == 1 ? height : std::min(lowest_, height);
    largest_burst_ = std::max(largest_burst_, height - lowest_ + 1);
    return height - lowest_ + 1 <= burst_ + 1e-6;
  }
  std::int64_t starts() const { return starts_; }
  double largest_burst() const { return largest_burst_; }  // the largest burst so far

 private:
  double total_, burst_, lowest_ = 0, largest_burst_ = 0;
  std::int64_t starts_ = 0;
};

// At most `total` slots may be in use at once.
class LevelChecker {
 public:
  explicit LevelChecker(std::int64_t total) : total_(total) {}
  bool Begin() { return ++in_use_ <= total_; }
  void End() { --in_use_; }
  std::int64_t in_use() const { return in_use_; }

 private:
  std::int64_t total_, in_use_ = 0;
};

// At most `total` units may be used in each window. A use counts in the window that the clock of its user
// shows.
class AmountChecker {
 public:
  explicit AmountChecker(std::int64_t total) : total_(total) {}
  bool Use(std::uint64_t window, std::int64_t count) { return (used_[window] += count) <= total_; }
  std::int64_t used(std::uint64_t window) const {
    const auto found = used_.find(window);
    return found == used_.end() ? 0 : found->second;
  }

 private:
  std::int64_t total_;
  std::map<std::uint64_t, std::int64_t> used_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_BUDGETS_CHECKER_H_
