#include "duties/lease_acceptor.h"

#include <algorithm>

namespace aldersill::duties {

void LeaseAcceptor::Start([[maybe_unused]] Micros now) {
#ifndef ALDERSILL_MUTANT_EARLY_VOTE  // injected fault that cluster_search must detect
  // Longer than any lease that the previous process can have accepted, even if this member's clock is the
  // fastest and the holder's clock the slowest.
  silent_until_ =
      now + static_cast<Micros>(static_cast<double>(max_timespan_) * (1.0 + 3.0 * max_clock_drift_));
#endif
}

std::optional<LeaseMessage> LeaseAcceptor::Handle(Micros now, const Prepare& prepare) {
  if (now < silent_until_)
    return std::nullopt;
  if (prepare.ballot < promised_)
    return Rejected{prepare.ballot, promised_};
  promised_ = prepare.ballot;
  Promise promise{prepare.ballot, LeaseHolder(now), 0};
  if (promise.lease_holder)
    promise.remaining = accepted_until_ - now;
  return promise;
}

std::optional<LeaseMessage> LeaseAcceptor::Handle(Micros now, const Propose& propose) {
  if (now < silent_until_)
    return std::nullopt;
  if (propose.ballot < promised_)
    return Rejected{propose.ballot, promised_};
  promised_ = propose.ballot;
  accepted_ = propose.holder;
  // A proposer with different settings must not get a lease that outlasts the silent period of this acceptor.
  accepted_until_ = now + std::clamp<Micros>(propose.timespan, 0, max_timespan_);
  return Accepted{propose.ballot};
}

void LeaseAcceptor::Handle(const Release& release) {
  if (accepted_ && *accepted_ == release.holder)
    accepted_.reset();
}

std::optional<Holder> LeaseAcceptor::LeaseHolder(Micros now) const {
  return accepted_ && now < accepted_until_ ? accepted_ : std::nullopt;
}

}  // namespace aldersill::duties
