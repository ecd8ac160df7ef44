// Estimates the share of recent requests that carry a given data key. It determines the number of workers
// that keep the key's data (worker_selection.h).
#ifndef ALDERSILL_SRC_DISPATCH_KEY_POPULARITY_H_
#define ALDERSILL_SRC_DISPATCH_KEY_POPULARITY_H_

#include <cstdint>
#include <vector>

#include "dispatch/random.h"

namespace aldersill::dispatch {

// Counts requests per hash cell. Several keys share a cell, so a share is accurate to about 1 / kCells. The
// counts are halved after every kCells to 2 * kCells requests, so that old requests lose weight.
class KeyPopularity {
 public:
  void Record(std::uint64_t key) {
    ++cells_[Mix(key) % kCells];
    if (++total_ < kCells * 2)
      return;
    total_ = 0;
    for (int& cell : cells_)
      total_ += cell /= 2;
  }
  // The share of recent requests that carry the key, from 0 to 1.
  double ShareOf(std::uint64_t key) const {
    // kPriorTotal is an assumed number of requests with other keys. Without it the first few requests would
    // give large shares.
    return static_cast<double>(cells_[Mix(key) % kCells]) / (total_ + kPriorTotal);
  }

 private:
  static constexpr int kCells = 4096;
  static constexpr int kPriorTotal = kCells / 16;
  std::vector<int> cells_ = std::vector<int>(kCells);
  int total_ = 0;  // sum of the counts
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_KEY_POPULARITY_H_
