// Durations as both protocols write them.
#ifndef ALDERSILL_SRC_CORE_TEXT_H_
#define ALDERSILL_SRC_CORE_TEXT_H_

#include <algorithm>
#include <string>

#include "core/micros.h"

namespace aldersill {

// Seconds with three decimals, rounded up: a client that retries before the advised time gains nothing.
inline std::string DecimalSeconds(Micros wait) {
  const Micros ms = (std::max<Micros>(wait, 1) + kMillisecond - 1) / kMillisecond;
  const std::string fraction = std::to_string(ms % 1000);
  return std::to_string(ms / 1000) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_TEXT_H_
