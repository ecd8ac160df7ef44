// The acceptor of PaxosLease: one voter's vote on who holds the lease of a duty. It stores nothing on disk.
// After a start it does not answer until every lease that its previous process may have accepted has expired.
#ifndef ALDERSILL_SRC_DUTIES_LEASE_ACCEPTOR_H_
#define ALDERSILL_SRC_DUTIES_LEASE_ACCEPTOR_H_

#include <optional>

#include "duties/types.h"

namespace aldersill::duties {

class LeaseAcceptor {
 public:
  // `max_timespan`: the longest duration of a lease. `max_clock_drift`: the relative error of a clock's rate,
  // in either direction.
  LeaseAcceptor(Micros max_timespan, double max_clock_drift)
      : max_timespan_(max_timespan), max_clock_drift_(max_clock_drift) {}

  // Begins the silent period. To be called once, before any message is handled.
  void Start(Micros now);
  Micros silent_until() const { return silent_until_; }
  // Returns the reply to the proposer; no value during the silent period.
  std::optional<LeaseMessage> Handle(Micros now, const Prepare& prepare);
  std::optional<LeaseMessage> Handle(Micros now, const Propose& propose);
  // Drops the accepted lease if `release` comes from its holder.
  void Handle(const Release& release);
  // The holder of the accepted lease; none if no lease was accepted or it has expired.
  std::optional<Holder> LeaseHolder(Micros now) const;

 private:
  const Micros max_timespan_;
  const double max_clock_drift_;
  Micros silent_until_ = 0;
  Ballot promised_;
  std::optional<Holder> accepted_;
  Micros accepted_until_ = 0;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_LEASE_ACCEPTOR_H_
