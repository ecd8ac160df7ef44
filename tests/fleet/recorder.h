// The rig's clock and the list of observations of one run.
#ifndef ALDERSILL_TESTS_FLEET_RECORDER_H_
#define ALDERSILL_TESTS_FLEET_RECORDER_H_

#include <vector>

#include "fleet/observation.h"
#include "net/steady_clock.h"

namespace aldersill::fleet {

// A clock in microseconds that stands still while the rig itself is not scheduled: what a stalled rig sees
// late must not look late. It detects stalls from a periodic tick of the event loop.
class RigClock {
 public:
  Micros Now() const;
  // A time of the steady clock in this clock's time, with the stalls up to now.
  Micros FromSteady(Micros steady) const { return steady - stalled_; }
  // Call at each tick: adds the time by which it is late.
  void AccountForStall();
  void ExpectTickIn(Micros delay) { next_tick_ = SteadyNow() + delay; }

 private:
  Micros LatenessAt(Micros steady) const;

  Micros next_tick_ = SteadyNow();
  Micros stalled_ = 0;
};

class Recorder {
 public:
  // Sets the observation's time: now, or `at`.
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
