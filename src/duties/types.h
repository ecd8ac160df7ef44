// The vocabulary of the duties that instances divide among them.
#ifndef ALDERSILL_SRC_DUTIES_TYPES_H_
#define ALDERSILL_SRC_DUTIES_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/types.h"

namespace aldersill::duties {

// When something was seen, as all instances order it: Unix milliseconds above 16 bits that count on. A hybrid
// logical clock (Kulkarni, Demirbas and others 2014): never behind what has been heard of, so that whoever
// has heard of a result only makes later ones, however the clocks differ.
using Stamp = std::uint64_t;
inline Micros TimeOf(Stamp stamp) { return static_cast<Micros>(stamp >> 16) * kMillisecond; }

// What a probe of a worker brought.
struct ProbeResult {
  std::string worker;
  Stamp stamp = 0;
  std::string origin;  // the instance that probed
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};

// ---- Leases ----

// A number that only grows, over all holders of a duty, with the instance whose it is; the number is also the
// term that a holder shows to whoever it acts upon, who turns away any smaller one (fencing).
struct Ballot {
  std::uint64_t number = 0;
  std::string name;
  auto operator<=>(const Ballot&) const = default;
};
struct Holder {  // one life of an instance: its next life does not hold what it held
  std::string name;
  std::uint64_t epoch = 0;
  bool operator==(const Holder&) const = default;
};

struct Prepare {
  Ballot ballot;
};
struct Promise {
  Ballot ballot;                  // promised
  std::optional<Holder> held_by;  // whose lease has not ended here
  Micros left = 0;                // of it
};
struct Propose {
  Ballot ballot;
  Holder holder;
  Micros lease = 0;
};
struct Accepted {
  Ballot ballot;
};
struct Rejected {
  Ballot ballot;   // that was refused
  Ballot highest;  // because of this one
};
struct Release {
  Holder holder;
};
using LeaseMessage = std::variant<Prepare, Promise, Propose, Accepted, Rejected, Release>;

// What goes from one instance to another.
struct DutyMessage {
  std::string duty;
  LeaseMessage message;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_TYPES_H_
