#include "fleet/recorder.h"

#include <algorithm>

#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

// If a tick is later than this, the rig itself was stalled.
constexpr Micros kTickTolerance = 20 * kMillisecond;

}  // namespace

Micros RigClock::Now() const {
  const Micros now = SteadyNow();
  return now - stalled_ - LatenessAt(now);
}

void RigClock::AccountForStall() {
  stalled_ += LatenessAt(SteadyNow());
  next_tick_ = SteadyNow();
}

Micros RigClock::LatenessAt(Micros steady) const {
  return std::max<Micros>(0, steady - next_tick_ - kTickTolerance);
}

void Recorder::RecordAt(Micros at, Observation observation) {
  observation.at = at;
  observations_.push_back(std::move(observation));
}

}  // namespace aldersill::fleet
