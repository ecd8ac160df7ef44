// The vocabulary of budgets: wholes that all instances together must not go beyond, and what is said of them.
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
  kLevel,   // slots in use at once
  kAmount,  // so much in one window
};

// A quantity of a budget in its own units: millionths of a start a second (rate), slots, or units of amount.
using Units = std::int64_t;
constexpr Units kUnitsAStart = 1'000'000;

struct Budget {
  std::string name;
  Kind kind = Kind::kRate;
  Units total = 0;
  std::int64_t burst = 0;  // rate: starts at once beyond it; at least one for each seat
  Micros window = 0;       // amount: windows begin at whole multiples of it in Unix time
  Micros longest_use = 0;  // level: no slot is in use for longer
  double reserve = 0.02;   // this part of the whole is kept for the seats' careful shares
  bool operator==(const Budget&) const = default;
};

struct Settings {
  std::string name;             // of this instance
  std::uint64_t epoch = 0;      // and of its life; a later life's is greater
  std::uint32_t weight = 100;   // of its demand against others'
  int seat = 1;                 // its own, from 1; above `instances` it has no careful share
  int instances = 1;            // how many seats there are, the same at all
  Micros grant = 6 * kSecond;   // how long a grant lasts
  double most_drift = 0.01;     // of a clock's rate, either way
  Micros most_apart = kSecond;  // of two instances' clocks
  std::vector<Budget> budgets;  // the same at all
};

// All that is wrong, each naming its field. Nothing else here may be used with settings that have any.
std::vector<Error> Check(const Settings& settings);
// Of what must be the same at all instances.
std::uint64_t Digest(const Settings& settings);

inline Units FallbackQuota(const Budget& b, int instances) {
  return static_cast<Units>(static_cast<double>(b.total) * b.reserve / instances);
}
// What the holder deals: the whole without all that is kept aside.
inline Units Allocatable(const Budget& b, int instances) {
  return b.total - FallbackQuota(b, instances) * instances;
}
inline std::uint64_t WindowAt(const Budget& b, Micros now) {
  return b.kind == Kind::kAmount ? static_cast<std::uint64_t>(now / b.window) : 0;
}

// ---- Messages ----

struct QuotaRequestLine {  // of one budget
  Units demand = 0;        // offered, not served
  Units share = 0;         // granted and not ended
  Units beyond = 0;        // in use (level) or used in the window (amount), without the careful share
  std::uint64_t window = 0;
};
// An instance shows what it has and says what it wants. From then on only the answer to this very ask changes
// what it has; so whoever hears an ask late, or twice, can do no harm by answering.
struct QuotaRequest {
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::uint32_t weight = 100;
  bool leaving = false;
  std::vector<QuotaRequestLine> lines;  // in the order of the settings
};
struct QuotaGrantLine {
  Units share = 0;
  std::uint64_t window = 0;
  // Given by a holder that does not know yet what its predecessor dealt: good only while what was shown is.
  bool renewal = false;
};
struct QuotaGrant {
  std::uint64_t term = 0;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;  // of the ask
  Micros lasts = 0;          // from the ask's sending, by the asker's clock
  std::vector<QuotaGrantLine> lines;
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_TYPES_H_
