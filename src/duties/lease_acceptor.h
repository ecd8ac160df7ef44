// The acceptor of PaxosLease: one vote on who holds a duty. It keeps nothing on disk; after a restart it
// stays silent until everything that its former process can have accepted has ended.
#ifndef ALDERSILL_SRC_DUTIES_LEASE_ACCEPTOR_H_
#define ALDERSILL_SRC_DUTIES_LEASE_ACCEPTOR_H_

#include <optional>

#include "duties/types.h"

namespace aldersill::duties {

class LeaseAcceptor {
 public:
  // `max_timespan`: of any lease; `max_clock_drift`: of a clock's rate, either way.
  LeaseAcceptor(Micros max_timespan, double max_clock_drift)
      : max_timespan_(max_timespan), max_clock_drift_(max_clock_drift) {}

  void Start(Micros now);
  Micros silent_until() const { return silent_until_; }
  // The reply to the proposer; none while this acceptor is silent.
  std::optional<LeaseMessage> Handle(Micros now, const Prepare& prepare);
  std::optional<LeaseMessage> Handle(Micros now, const Propose& propose);
  void Handle(const Release& release);
  // The holder of the accepted lease; none if that has ended.
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
