// Whether a process that has started may get clients. Does no I/O; the caller gives the time.
#ifndef ALDERSILL_SRC_CORE_READINESS_H_
#define ALDERSILL_SRC_CORE_READINESS_H_

#include "core/micros.h"

namespace aldersill {

// Ready once the endpoint list is confirmed: a cached list may expire before discovery answers, and other
// dispatchers can serve the clients until then. Also ready after kMaxWait without one, as the others may have
// none either. Once ready, always ready: the decision module handles a later loss of the list.
class Readiness {
 public:
  // Restarted dispatchers have to be ready within 10 s, and within 6 s near the end of a day.
  static constexpr Micros kMaxWait = 5'500 * kMillisecond;

  explicit Readiness(Micros started) : started_(started) {}

  bool Ready(Micros now, bool list_confirmed) {
    ready_ = ready_ || list_confirmed || now - started_ >= kMaxWait;
    return ready_;
  }

 private:
  Micros started_;
  bool ready_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_READINESS_H_
