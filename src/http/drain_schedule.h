// Deadlines of a graceful shutdown. SIGKILL follows SIGTERM after a time that depends on the longest request
// deadline; each answer has to reach its client before it. Pure: times are passed in, in microseconds of a
// clock that never steps back.
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
  // When all answers have to be written.
  Micros answers_due_at() const;
  // For a request that is complete only late in the drain: how long its answer may take. Nothing before a
  // drain and at its beginning, when the request's own deadline is the earlier one.
  std::optional<Micros> TimeLeftForLateRequest(Micros now) const;

 private:
  Micros longest_deadline_;
  Micros started_at_ = 0;  // 0: not draining
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DRAIN_SCHEDULE_H_
