// The messages and results that members exchange about shared duties, as values.
#ifndef ALDERSILL_SRC_DUTIES_TYPES_H_
#define ALDERSILL_SRC_DUTIES_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/types.h"

namespace aldersill::duties {

// A hybrid logical clock (Kulkarni, Demirbas and others 2014): Unix milliseconds above a 16-bit counter. It
// is never behind a stamp received from another member, so that all members order results alike, however
// their clocks differ.
using Stamp = std::uint64_t;
inline Micros TimeOf(Stamp stamp) { return static_cast<Micros>(stamp >> 16) * kMillisecond; }

// The outcome of one probe of a worker.
struct ProbeResult {
  std::string worker;
  Stamp stamp = 0;
  std::string origin;  // the member that probed
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};

// ---- Leases: the messages of PaxosLease ----

// Ballots are totally ordered over all proposers of a duty. The number of the ballot that acquired a lease is
// also its term: a fencing token that the lease holder attaches to its requests, whose receivers reject any
// smaller one.
struct Ballot {
  std::uint64_t number = 0;
  std::string name;  // of the proposer
  auto operator<=>(const Ballot&) const = default;
};
// A lease belongs to one process of a member: the member's next process does not inherit it.
struct Holder {
  std::string name;
  std::uint64_t epoch = 0;
  bool operator==(const Holder&) const = default;
};

struct Prepare {
  Ballot ballot;
};
struct Promise {
  Ballot ballot;                       // the promised one
  std::optional<Holder> lease_holder;  // of an accepted lease that has not ended at this acceptor
  Micros remaining = 0;                // of that lease
};
struct Propose {
  Ballot ballot;
  Holder holder;
  Micros timespan = 0;  // of the lease, counted from its acceptance
};
struct Accepted {
  Ballot ballot;
};
struct Rejected {
  Ballot ballot;    // the rejected one
  Ballot promised;  // the higher one that it conflicts with
};
struct Release {
  Holder holder;
};
// The codec writes the alternative's index: the order is part of the format.
using LeaseMessage = std::variant<Prepare, Promise, Propose, Accepted, Rejected, Release>;

struct DutyMessage {
  std::string duty;
  LeaseMessage message;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_TYPES_H_
