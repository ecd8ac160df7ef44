// Formats durations for both client protocols.
#ifndef ALDERSILL_SRC_CORE_TEXT_H_
#define ALDERSILL_SRC_CORE_TEXT_H_

#include <algorithm>
#include <string>

#include "core/micros.h"

namespace aldersill {

// Returns the duration in seconds with three decimals, at least 0.001. Rounds up, because a client that
// retries before the advised time gains nothing.
inline std::string DecimalSeconds(Micros duration) {
  const Micros ms = (std::max<Micros>(duration, 1) + kMillisecond - 1) / kMillisecond;
  const std::string fraction = std::to_string(ms % 1000);
  return std::to_string(ms / 1000) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_TEXT_H_
