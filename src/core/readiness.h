// Decides when a started process may accept clients. Does no I/O; the caller passes the time.
#ifndef ALDERSILL_SRC_CORE_READINESS_H_
#define ALDERSILL_SRC_CORE_READINESS_H_

#include "core/micros.h"

namespace aldersill {

// A process is ready once its endpoint list is confirmed. With only a cached list it waits, because that list
// may expire before discovery answers, and other dispatchers can serve the clients until then. After kMaxWait
// it is ready without a confirmed list, because the other dispatchers may have none either. A ready process
// stays ready: the decision module handles a later loss of the list.
class Readiness {
 public:
  // A restarted dispatcher must be ready within 10 s, and within 6 s near the end of a day.
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
