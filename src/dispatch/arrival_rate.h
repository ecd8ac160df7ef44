// Estimates the recent rate of arrivals, in tokens a second: the prices of the jobs that arrive.
#ifndef ALDERSILL_SRC_DISPATCH_ARRIVAL_RATE_H_
#define ALDERSILL_SRC_DISPATCH_ARRIVAL_RATE_H_

#include <algorithm>
#include <cmath>
#include <limits>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"

namespace aldersill::dispatch {

// An exponentially weighted rate over about the last kWindow microseconds.
class ArrivalRate {
 public:
  static constexpr double kWindow = 8.0 * kSecond;

  // `from_first_arrival`: whether to divide by the time since the first arrival while that is shorter than
  // the window. This is needed if there are no quotas to give a first estimate, because a node that has just
  // started would otherwise estimate only a fraction of its traffic.
  explicit ArrivalRate(bool from_first_arrival) : from_first_arrival_(from_first_arrival) {}

  // Records an arrival with a price of this many tokens.
  void Record(Micros now, int tokens) {
    if (weighted_rate_ == 0.0 && from_first_arrival_)
      counted_from_ = now;
    weighted_rate_ = DecayedRate(now) + tokens * kSecond / kWindow;
    recorded_at_ = now;
  }
  double TokensPerSecond(Micros now) const {
    return DecayedRate(now) / (1.0 - std::exp(-CountedTime(now) / kWindow));
  }
  // The time over which arrivals have been counted, in microseconds; at most kWindow.
  double CountedWindow(Micros now) const { return std::min(kWindow, CountedTime(now)); }

 private:
  double DecayedRate(Micros now) const {
    return weighted_rate_ * std::exp(-static_cast<double>(now - recorded_at_) / kWindow);
  }
  double CountedTime(Micros now) const { return std::max(kSecond, static_cast<double>(now - counted_from_)); }

  bool from_first_arrival_;
  double weighted_rate_ = 0.0;  // in tokens a second, as of recorded_at_
  Micros recorded_at_ = 0;      // time of the last arrival
  // Time from which arrivals are counted; by default so early that the window is always full.
  Micros counted_from_ = std::numeric_limits<Micros>::min() / 2;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_ARRIVAL_RATE_H_
