// The rig's clock and the list of observations of one run.
#ifndef ALDERSILL_TESTS_FLEET_RECORDER_H_
#define ALDERSILL_TESTS_FLEET_RECORDER_H_

#include <vector>

#include "fleet/observation.h"
#include "net/steady_clock.h"

namespace aldersill::fleet {

// A clock in microseconds that stops while the rig itself is not scheduled, so that events that a stalled rig
// observes late do not appear late. It detects stalls by a periodic tick of the event loop.
class RigClock {
 public:
  Micros Now() const;
  // Converts a time of the steady clock to this clock, subtracting all stalls so far.
  Micros FromSteady(Micros steady) const { return steady - stalled_; }
  // Must be called at each tick. Adds the time by which the tick is late to the stalls.
  void AccountForStall();
  // Must be called when the next tick is scheduled.
  void ExpectTickIn(Micros delay) { next_tick_ = SteadyNow() + delay; }

 private:
  // Returns how far the expected tick is overdue at a time of the steady clock, beyond the tolerance.
  Micros LatenessAt(Micros steady) const;

  Micros next_tick_ = SteadyNow();  // on the steady clock
  Micros stalled_ = 0;              // total time of all stalls
};

// Collects the observations of one run, in the order in which they are recorded.
class Recorder {
 public:
  // Adds the observation. Its time is set to the current time, or to `at`.
  void Record(Observation observation) { RecordAt(clock_.Now(), std::move(observation)); }
  void RecordAt(Micros at, Observation observation);

  RigClock& clock() { return clock_; }
  std::vector<Observation> TakeObservations() { return std::move(observations_); }

 private:
  RigClock clock_;
  std::vector<Observation> observations_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_RECORDER_H_
