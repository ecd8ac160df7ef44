// Times and durations of the core: whole microseconds, as in the decision module.
#ifndef ALDERSILL_SRC_CORE_MICROS_H_
#define ALDERSILL_SRC_CORE_MICROS_H_

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill {

using dispatch::Micros;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_MICROS_H_
