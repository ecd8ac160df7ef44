// Deadlines of a graceful shutdown. SIGKILL follows SIGTERM after a time that depends on the longest request
// deadline; each answer must reach its client before SIGKILL.
#ifndef ALDERSILL_SRC_CORE_DRAIN_SCHEDULE_H_
#define ALDERSILL_SRC_CORE_DRAIN_SCHEDULE_H_

#include "core/micros.h"

namespace aldersill {

// The one owner of the drain's times. Reads no clock: `now` is the reducer's time.
class DrainSchedule {
 public:
  // The longest request deadline of all job classes.
  void set_longest_deadline(Micros longest_deadline) { longest_deadline_ = longest_deadline; }
  // Starts the drain; ignored if it has started.
  void Start(Micros now);
  bool draining() const { return started_at_ != 0; }
  // How long the drain has lasted; 0 outside a drain.
  Micros Elapsed(Micros now) const { return draining() ? now - started_at_ : 0; }
  // Whether a drain is in progress and all answers must be written by now.
  bool AnswersDue(Micros now) const;

  // Returns the time in which a job that arrives now must be answered: `time_left`, or less if the job
  // arrives late in a drain and SIGKILL may come before the end of its own time.
  Micros LimitTime(Micros now, Micros time_left) const;
  // Whether a job with this time left is too late in a drain to be started.
  bool TooLateToStart(Micros now, Micros time_left) const;

 private:
  // Meaningful only during a drain.
  Micros AnswersDueAt() const;

  Micros longest_deadline_ = 0;
  Micros started_at_ = 0;  // 0: not draining
};

// What frontends read of a graceful shutdown, at the present time.
class DrainStatus {
 public:
  virtual ~DrainStatus() = default;
  virtual bool draining() const = 0;
  // Whether a drain is in progress and all answers must be written by now.
  virtual bool answers_due() const = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_DRAIN_SCHEDULE_H_
