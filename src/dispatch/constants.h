// Constants that several modules of the dispatcher share.
#ifndef ALDERSILL_SRC_DISPATCH_CONSTANTS_H_
#define ALDERSILL_SRC_DISPATCH_CONSTANTS_H_

#include <cstddef>

namespace aldersill::dispatch {

inline constexpr double kSecond = 1e6;  // in microseconds
// Weight of a new sample in averages over all workers, in which about the last 20 samples count.
inline constexpr double kPooledSampleWeight = 0.05;
// Weight of a new sample in an average over one worker, of which a node sees few.
inline constexpr double kWorkerSampleWeight = 0.25;
// Number of workers compared per pool. It is constant so that the cost of a choice does not grow with the
// fleet.
inline constexpr std::size_t kSampledWorkers = 2;
// Stands for "no worker" where an index of a worker is expected.
inline constexpr int kNoWorker = -1;

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_CONSTANTS_H_
