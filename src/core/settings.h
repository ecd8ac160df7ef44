// The reducer's settings.
#ifndef ALDERSILL_SRC_CORE_SETTINGS_H_
#define ALDERSILL_SRC_CORE_SETTINGS_H_

#include <cstdint>

#include "core/micros.h"

namespace aldersill {

// Given at the start, and again with every reload of the configuration.
struct CoreSettings {
  dispatch::Settings dispatcher;
  // Whether `dispatcher` differs from the settings before. If not, the present decision module goes on with
  // what it has learnt.
  bool dispatcher_changed = true;
  std::uint64_t seed = 0;
  bool has_discovery = true;
  Micros dial_timeout = 250 * kMillisecond;     // to send an attempt to a worker that listens
  Micros fetch_timeout = 1'000 * kMillisecond;  // to send an attempt to a worker that fetches
  // Subtracted from the time that the client waits, for the answer's way back.
  Micros answer_margin = 20 * kMillisecond;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_SETTINGS_H_
