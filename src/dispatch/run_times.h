// Estimates of the running times of each class, learned from answers.
#ifndef ALDERSILL_SRC_DISPATCH_RUN_TIMES_H_
#define ALDERSILL_SRC_DISPATCH_RUN_TIMES_H_

#include <algorithm>
#include <numeric>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"

namespace aldersill::dispatch {

// All times are in microseconds. The estimates of a class start from its target.
class RunTimes {
 public:
  explicit RunTimes(const std::vector<ClassSettings>& classes) : classes_(classes) {
    for (const ClassSettings& job_class : classes) {
      means_.push_back(static_cast<double>(job_class.target));
      medians_.push_back(static_cast<double>(job_class.target));
    }
  }

  // Records the running time of an answered job.
  void Record(int job_class, double run_time) {
    means_[job_class] += kPooledSampleWeight * (run_time - means_[job_class]);
    double& median = medians_[job_class];
    median *= run_time > median ? 1.0 + kPooledSampleWeight : 1.0 - kPooledSampleWeight;
  }

  double Mean(int job_class) const { return means_[job_class]; }
  const std::vector<double>& means() const { return means_; }
  double MeanOverClasses() const {
    return std::accumulate(means_.begin(), means_.end(), 0.0) / means_.size();
  }
  // The longest delay with which a job of median running time may start and still meet the latency objective.
  // The median is used because few jobs of a long-tailed class are as long as the mean.
  double StartAllowance(int job_class) const {
    const ClassSettings& settings = classes_[job_class];
    return settings.target + std::max(0.0, settings.stretch - 1.0) * medians_[job_class];
  }

 private:
  const std::vector<ClassSettings>& classes_;
  std::vector<double> means_;    // by class
  std::vector<double> medians_;  // by class
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_RUN_TIMES_H_
