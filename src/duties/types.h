// The messages and probe results that members exchange about shared duties, as value types.
#ifndef ALDERSILL_SRC_DUTIES_TYPES_H_
#define ALDERSILL_SRC_DUTIES_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/types.h"

namespace aldersill::duties {

// A timestamp of a hybrid logical clock (Kulkarni, Demirbas and others 2014): Unix milliseconds in the upper
// 48 bits, a counter in the lower 16. A new stamp is always greater than every stamp received from another
// member, so all members order results the same way even if their clocks differ.
using Stamp = std::uint64_t;
// The physical part of a stamp, as Unix time in microseconds.
inline Micros TimeOf(Stamp stamp) { return static_cast<Micros>(stamp >> 16) * kMillisecond; }

// The result of one probe of a worker. Of two results of a worker, the one with the greater (stamp, origin)
// is newer.
struct ProbeResult {
  std::string worker;
  Stamp stamp = 0;
  std::string origin;  // name of the member that ran the probe
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;  // duration of the probe
  LoadReport report;
};

// ---- Leases: the messages of PaxosLease ----

// Ballots are totally ordered across all proposers of a duty. The number of the ballot that acquired a lease
// is also the lease's term: a fencing token that the lease holder attaches to its requests. A receiver
// rejects requests with a smaller term than one it has seen.
struct Ballot {
  std::uint64_t number = 0;
  std::string name;  // of the proposing member; breaks ties
  auto operator<=>(const Ballot&) const = default;
};
// The holder of a lease is one process of a member: after a restart the member's new process does not inherit
// the lease.
struct Holder {
  std::string name;
  std::uint64_t epoch = 0;  // of the process
  bool operator==(const Holder&) const = default;
};

// Proposer to acceptor: asks for a promise to reject ballots below `ballot`.
struct Prepare {
  Ballot ballot;
};
// Reply to Prepare: the promise, and the lease that this acceptor has accepted, if any.
struct Promise {
  Ballot ballot;                       // the promised ballot
  std::optional<Holder> lease_holder;  // holder of the accepted lease; none if no lease is in force here
  Micros remaining = 0;                // remaining time of that lease; 0 if none
};
// Proposer to acceptor: asks to accept `holder` as the lease holder.
struct Propose {
  Ballot ballot;
  Holder holder;
  Micros timespan = 0;  // duration of the lease, counted from its acceptance
};
// Reply to Propose: the acceptor has accepted the lease.
struct Accepted {
  Ballot ballot;
};
// Reply to Prepare or Propose with a ballot below the promised one.
struct Rejected {
  Ballot ballot;    // the rejected ballot
  Ballot promised;  // the higher ballot that the acceptor has promised
};
// Holder to acceptors: the holder gives its lease up before it expires.
struct Release {
  Holder holder;
};
// The codec writes the index of the alternative, so the order of the alternatives is part of the encoding.
using LeaseMessage = std::variant<Prepare, Promise, Propose, Accepted, Rejected, Release>;

// A lease message together with the duty whose lease it concerns.
struct DutyMessage {
  std::string duty;
  LeaseMessage message;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_TYPES_H_
