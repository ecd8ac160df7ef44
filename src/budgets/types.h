// The types of the budgets, which are limits that all instances together must not exceed: the settings, and
// the messages between the quota client of each instance and the quota allocator.
#ifndef ALDERSILL_SRC_BUDGETS_TYPES_H_
#define ALDERSILL_SRC_BUDGETS_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "budgets/errors.h"
#include "core/types.h"

namespace aldersill::budgets {

enum class Kind : std::uint8_t {
  kRate,    // starts a second, with a burst
  kLevel,   // concurrent slots
  kAmount,  // units used within one window of time
};

// A quantity in the unit of its budget: millionths of a start per second (rate), slots (level) or units
// (amount).
using Units = std::int64_t;
constexpr Units kUnitsPerStart = 1'000'000;

struct Budget {
  std::string name;
  Kind kind = Kind::kRate;
  Units total = 0;
  std::int64_t burst = 0;  // rate: starts allowed at once above the rate; at least one per seat
  Micros window = 0;       // amount: length; windows begin at whole multiples of it in Unix time
  Micros longest_use = 0;  // level: longest time for which a slot can be in use
  double reserve = 0.02;   // fraction of `total` that is reserved for the fallback quotas
  bool operator==(const Budget&) const = default;
};

struct Settings {
  std::string name;            // name of this instance
  std::uint64_t epoch = 0;     // number of this incarnation; a later incarnation has a greater one
  std::uint32_t weight = 100;  // weight of this instance's demand in a division
  int seat = 1;       // number from 1, unique to this instance; above `instances` it has no fallback quota
  int instances = 1;  // number of seats, the same at all instances
  Micros grant_duration = 6 * kSecond;  // how long a grant lasts
  double max_clock_drift = 0.01;        // largest error of a clock's rate in either direction; 0.01 is 1 %
  Micros max_clock_skew = kSecond;      // largest difference between two instances' clocks
  std::vector<Budget> budgets;          // the same at all instances
};

// Returns one error for each invalid field. Settings with errors must not be passed to any other function or
// class of this module.
std::vector<Error> Check(const Settings& settings);
// A digest of those settings that must be the same at all instances.
std::uint64_t Digest(const Settings& settings);

// What each seat may use without a grant.
inline Units FallbackQuota(const Budget& b, int instances) {
  return static_cast<Units>(static_cast<double>(b.total) * b.reserve / instances);
}
// What the quota allocator can grant: the total without all fallback quotas.
inline Units Allocatable(const Budget& b, int instances) {
  return b.total - FallbackQuota(b, instances) * instances;
}
// The number of the window at `now`; 0 for budgets without windows.
inline std::uint64_t WindowAt(const Budget& b, Micros now) {
  return b.kind == Kind::kAmount ? static_cast<std::uint64_t>(now / b.window) : 0;
}

// ---- Messages ----

// The part of a request for one budget.
struct QuotaRequestLine {
  Units demand = 0;  // offered load, served or refused, without the fallback quota
  Units share = 0;   // granted and not expired
  // Slots in use (level) or units used in the window (amount) above the fallback quota; 0 for a rate.
  Units used_above_fallback = 0;
  std::uint64_t window = 0;  // number of the window, by the client's clock
};
// Reports the shares that an instance holds, and its demand. Once a request is sent, only the answer to this
// request changes these shares, so an allocator that receives a request late or twice does no harm by
// answering it.
struct QuotaRequest {
  std::uint64_t epoch = 0;   // incarnation of the sender
  std::uint64_t number = 0;  // counts the requests of this incarnation from 1
  std::uint64_t digest = 0;  // Digest() of the settings
  std::uint32_t weight = 100;
  bool leaving = false;                 // the instance has released its quota for good
  std::vector<QuotaRequestLine> lines;  // in the order of the settings
};
// The part of a grant for one budget.
struct QuotaGrantLine {
  Units share = 0;
  std::uint64_t window = 0;
  // Set by an allocator that does not know its predecessors' grants yet. The client may use at most what it
  // still holds of the reported share when the grant arrives.
  bool renewal = false;
};
// The answer to a request.
struct QuotaGrant {
  std::uint64_t term = 0;    // of the allocator's lease
  std::uint64_t epoch = 0;   // of the request
  std::uint64_t number = 0;  // of the request
  Micros duration = 0;       // counted from the sending of the request, by the client's clock
  std::vector<QuotaGrantLine> lines;
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_TYPES_H_
