// The reducer's settings.
#ifndef ALDERSILL_SRC_CORE_SETTINGS_H_
#define ALDERSILL_SRC_CORE_SETTINGS_H_

#include <cstdint>

#include "core/micros.h"

namespace aldersill {

// Passed to the reducer at the start and with every reload of the configuration.
struct CoreSettings {
  dispatch::Settings dispatcher;
  // Whether `dispatcher` differs from the previous settings. If not, the current decision module is kept,
  // with the state that it has learnt.
  bool dispatcher_changed = true;
  std::uint64_t seed = 0;                       // for the decision module's random choices
  bool has_discovery = true;                    // whether a discovery server is configured
  Micros dial_timeout = 250 * kMillisecond;     // limit for sending an attempt to a worker that listens
  Micros fetch_timeout = 1'000 * kMillisecond;  // limit for sending an attempt to a worker that fetches
  // Subtracted from the time that the client waits, so that the answer reaches the client in time.
  Micros answer_margin = 20 * kMillisecond;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_SETTINGS_H_
