// The daemon's monotonic clock.
#ifndef ALDERSILL_SRC_NET_STEADY_CLOCK_H_
#define ALDERSILL_SRC_NET_STEADY_CLOCK_H_

#include "core/types.h"

namespace aldersill {

// Microseconds of a clock that never steps back. Its epoch is the same for all processes of one host.
Micros SteadyNow();

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_STEADY_CLOCK_H_
