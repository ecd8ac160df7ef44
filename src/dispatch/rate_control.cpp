#include "dispatch/rate_control.h"

#include <algorithm>
#include <cmath>

namespace aldersill::dispatch {
namespace {

// Changes of the rate per attempt: a small increase if the attempt is accepted, as a share of the initial
// rate, and a larger decrease on a sign of overload, as a share of the present rate. At its initial value the
// rate is in balance if a share kIncrease / (kIncrease + kDecrease) of the attempts, a sixth, meets a sign of
// overload.
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

// In tokens a second, at least 1.
double RateControl::InitialRate() const {
  if (quota_ > 0.0)
    return std::max(1.0, quota_ * pricing_.mean_price());
  return std::max(1.0, fleet_.ready_slots() * kSecond / pricing_.mean_slot_time() * pricing_.mean_price() /
                           context_.settings().nodes);
}

// The rate that the arrivals at this node need, in tokens a second. It is a lower bound of the rate, because
// quotas are divided evenly among the nodes but traffic is not. It is the rate of arrivals, reduced by the
// share of recent attempts that met a sign of overload. A bank that fills only as fast as jobs arrive rejects
// some of them by chance, and with many nodes each node counts few jobs. Three standard deviations of the
// count are therefore added, and they shrink as overload grows.
double RateControl::NeededRate() const {
  const double arriving = arrivals_.TokensPerSecond(context_.now());
  const double margin = 3.0 * std::sqrt(arriving * kSecond / arrivals_.CountedWindow(context_.now()));
  return std::max(arriving * (1.0 - overload_share_),
                  (arriving + margin) * (1.0 - overload_share_ / (2.0 * kBalancedOverloadShare)));
}

void RateControl::RecordArrival(int price) {
  arrivals_.Record(context_.now(), price);
  if (any_accepted_)
    rate_ = std::max(rate_, NeededRate());
}

void RateControl::RecordStart(const StartDelay& delay) {
  if (delay.measured > delay.allowed)
    return Decrease();
  // A start as quick as at a free worker shows that the overload is over, so the rate then returns as fast as
  // it fell. Above the initial rate only the part that was lost to rejections returns that fast, because
  // workers reject jobs that they could not start soon.
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

// Increases are additive and decreases multiplicative, so that the rate soon returns after a few late starts.
// `step` is a share of the initial rate.
void RateControl::Increase(double step) {
  UpdateOverloadShare(false);
  any_accepted_ = true;
  const double initial_rate = InitialRate();
  SetRate(rate_ + step * initial_rate, initial_rate);
}

void RateControl::Decrease() {
  rejection_share_ -= kPooledSampleWeight * rejection_share_;
  UpdateOverloadShare(true);
  SetRate(rate_ - kDecrease * rate_, InitialRate());
}

void RateControl::UpdateOverloadShare(bool overloaded) {
  overload_share_ += kPooledSampleWeight * ((overloaded ? 1.0 : 0.0) - overload_share_);
}

// Sets the rate, limited to the range from an eighth of the initial rate to twice the initial rate or the
// rate that arrivals need.
void RateControl::SetRate(double rate, double initial_rate) {
  const double highest_rate = std::max(2.0 * initial_rate, NeededRate());
  rate_ = std::clamp(rate, initial_rate / 8.0, highest_rate);
  if (rate_ <= initial_rate / 8.0)
    context_.LogRateLimited("rate at its floor: most attempts start late, are lost or find no room");
}

}  // namespace aldersill::dispatch
