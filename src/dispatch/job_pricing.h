// Decides the price of a job: the number of tokens that it pays, k in Berger and Whitt's paper (throttle.h).
#ifndef ALDERSILL_SRC_DISPATCH_JOB_PRICING_H_
#define ALDERSILL_SRC_DISPATCH_JOB_PRICING_H_

#include <algorithm>
#include <cmath>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"
#include "dispatch/request.h"
#include "dispatch/run_times.h"

namespace aldersill::dispatch {

class JobPricing {
 public:
  JobPricing(const Settings& settings, const RunTimes& run_times)
      : settings_(settings),
        run_times_(run_times),
        mean_relative_price_(run_times.MeanOverClasses()),
        mean_slot_time_(mean_relative_price_) {}

  // Returns the price in tokens of a job that has arrived and updates the means with it.
  //
  // The code deviates from the paper here: k is the number of slots that the job takes, and it is higher if
  // the running time of its class is long for the class's priority weight, which is given for a job or for
  // each unit of its work. If only starts counted, long jobs of low weight would crowd out short jobs of high
  // weight.
  int PriceArrival(const Request& request) {
    const double run_time = run_times_.Mean(request.job_class);
    const double relative_price = (settings_.priority_weight_by_work ? 1.0 : run_time) /
                                  std::max(1e-3, settings_.classes[request.job_class].priority_weight);
    mean_relative_price_ += kPooledSampleWeight * (relative_price - mean_relative_price_);
    const double by_weight = request.slots * relative_price / mean_relative_price_;
    const int price = std::max(request.slots, static_cast<int>(std::lround(by_weight)));
    mean_price_ += kPooledSampleWeight * (price - mean_price_);
    mean_slot_time_ += kPooledSampleWeight * (request.slots * run_time - mean_slot_time_);
    return price;
  }

  double mean_price() const { return mean_price_; }          // of a job, in tokens
  double mean_slot_time() const { return mean_slot_time_; }  // of a job: slots times microseconds

 private:
  const Settings& settings_;
  const RunTimes& run_times_;
  double mean_price_ = 1.0;     // of a job, in tokens
  double mean_relative_price_;  // of a slot: running time or 1, divided by the priority weight
  double mean_slot_time_;       // of a job: slots times microseconds
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_JOB_PRICING_H_
