// Whether a process that has started may be given clients. Pure: told the time.
#ifndef ALDERSILL_SRC_CORE_READINESS_H_
#define ALDERSILL_SRC_CORE_READINESS_H_

#include "core/types.h"

namespace aldersill {

// Ready once the worker list is confirmed, so that clients go to other dispatchers until then: a remembered
// list may run out before discovery answers. After kPatience without one as well, as those may have none
// either. Once ready it stays so: what a later loss of the list means for a job is the decision module's
// matter.
class Readiness {
 public:
  // Restarted dispatchers have to be ready within 10 s, and within 6 s near the end of a day.
  static constexpr Micros kPatience = 5'500 * kMillisecond;

  explicit Readiness(Micros started) : started_(started) {}

  bool Ready(Micros now, bool list_confirmed) {
    ready_ = ready_ || list_confirmed || now - started_ >= kPatience;
    return ready_;
  }

 private:
  Micros started_;
  bool ready_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_READINESS_H_
