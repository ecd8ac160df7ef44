#include "dispatch/rate_control.h"

#include <algorithm>
#include <cmath>

namespace aldersill::dispatch {
namespace {

// Changes per attempt: a small increase if it is accepted, a larger decrease on a sign of overload. At its
// initial value the rate is
// in balance where a share kIncrease / (kIncrease + kDecrease) of attempts, a sixth, meets such a sign.
constexpr double kIncrease = 0.02;
constexpr double kDecrease = 0.1;
constexpr double kBalancedOverloadShare = kIncrease / (kIncrease + kDecrease);

}  // namespace

RateControl::RateControl(Context& context, const Fleet& fleet, const JobPricing& pricing)
    : context_(context),
      fleet_(fleet),
      pricing_(pricing),
      quota_(NodeQuota(context.settings())),
      arrivals_(quota_ == 0.0) {}

bool RateControl::IsOverloaded() const { return overload_share_ > kBalancedOverloadShare; }

double RateControl::InitialRate() const {
  if (quota_ > 0.0)
    return std::max(1.0, quota_ * pricing_.mean_price());
  return std::max(1.0, fleet_.ready_slots() * kSecond / pricing_.mean_slot_time() * pricing_.mean_price() /
                           context_.settings().nodes);
}

// The lower bound of the rate. Quotas are divided evenly among nodes but traffic is not, so the bound is the
// rate of arrivals here, less the recent share that met a sign of overload. A bank that fills just as fast as
// jobs arrive rejects some by chance, and with many nodes each node counts few jobs, so three standard
// deviations of the count are added, which shrink as overload grows.
double RateControl::NeededRate() const {
  const double arriving = arrivals_.TokensPerSecond(context_.now());
  const double deviations = 3.0 * std::sqrt(arriving * kSecond / arrivals_.CountedWindow(context_.now()));
  return std::max(arriving * (1.0 - overload_share_),
                  (arriving + deviations) * (1.0 - overload_share_ / (2.0 * kBalancedOverloadShare)));
}

void RateControl::RecordArrival(int price) {
  arrivals_.Record(context_.now(), price);
  if (any_accepted_)
    rate_ = std::max(rate_, NeededRate());
}

void RateControl::RecordStart(const StartDelay& delay) {
  if (delay.measured > delay.allowed)
    return Decrease();
  // After a start as at a free worker, rate lost to an overload that is over returns as fast as it fell.
  // Above the initial rate so does what was lost to rejections: workers reject what they could not start
  // soon.
  double step = kIncrease;
  if (delay.measured <= 2.0 * delay.usual)
    step = rate_ < InitialRate() ? kDecrease : kDecrease * rejection_share_;
  Increase(std::max(kIncrease, step));
}

void RateControl::RecordAnswer(bool in_time) {
  if (in_time)
    Increase(kIncrease);
  else
    Decrease();
}

void RateControl::RecordRejection(bool final) {
  rejection_share_ += kPooledSampleWeight * (1.0 - rejection_share_);
  if (final)
    Decrease();
}

void RateControl::RecordFailure() { Decrease(); }

// Increases add and decreases multiply: after a few late starts the rate soon returns.
void RateControl::Increase(double step) {
  LearnOverload(false);
  any_accepted_ = true;
  const double initial = InitialRate();
  SetRate(rate_ + step * initial, initial);
}

void RateControl::Decrease() {
  rejection_share_ -= kPooledSampleWeight * rejection_share_;
  LearnOverload(true);
  SetRate(rate_ - kDecrease * rate_, InitialRate());
}

void RateControl::LearnOverload(bool overloaded) {
  overload_share_ += kPooledSampleWeight * ((overloaded ? 1.0 : 0.0) - overload_share_);
}

void RateControl::SetRate(double rate, double initial) {
  const double most = std::max(2.0 * initial, NeededRate());
  rate_ = std::clamp(rate, initial / 8.0, most);
  if (rate_ <= initial / 8.0)
    context_.LogRateLimited("rate at its floor: most attempts start late, are lost or find no room");
}

}  // namespace aldersill::dispatch
