// Deadlines of a graceful shutdown. SIGKILL follows SIGTERM after a time that depends on the longest request
// deadline; each answer must reach its client before SIGKILL. The class reads no clock: times are passed in,
// in microseconds of a monotonic clock.
#ifndef ALDERSILL_SRC_HTTP_DRAIN_SCHEDULE_H_
#define ALDERSILL_SRC_HTTP_DRAIN_SCHEDULE_H_

#include <optional>

#include "core/types.h"

namespace aldersill {

class DrainSchedule {
 public:
  explicit DrainSchedule(Micros longest_deadline) : longest_deadline_(longest_deadline) {}

  // The longest request deadline of all job classes.
  void set_longest_deadline(Micros longest_deadline) { longest_deadline_ = longest_deadline; }
  void Start(Micros now) { started_at_ = now; }
  bool draining() const { return started_at_ != 0; }
  // When all answers must be written. Meaningful only during a drain.
  Micros answers_due_at() const;
  // How long the answer to a request may take that is complete only late in the drain; at least 0. Nothing
  // outside a drain and at its beginning, when the request's own deadline ends first.
  std::optional<Micros> TimeLeftForLateRequest(Micros now) const;

 private:
  Micros longest_deadline_;
  Micros started_at_ = 0;  // 0: not draining
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DRAIN_SCHEDULE_H_
