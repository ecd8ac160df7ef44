// State shared by the components of one Membership: settings, random generator, the current event's time and
// effects, and this member's own state. Membership owns it; the components hold references.
#ifndef ALDERSILL_SRC_MEMBERSHIP_PROTOCOL_STATE_H_
#define ALDERSILL_SRC_MEMBERSHIP_PROTOCOL_STATE_H_

#include <algorithm>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

#include "membership/events.h"
#include "membership/settings.h"

namespace aldersill::membership {

// Lifeguard's local health multiplier. A member whose probes fail, or that has to refute suspicions, may
// itself be slow; it therefore multiplies its protocol period and its probe timeout by score() + 1.
class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}
  void Worsen(int by) { score_ = std::min(max_score_, score_ + by); }
  void Improve() { score_ = std::max(0, score_ - 1); }
  int score() const { return score_; }  // 0 (healthy) to max_score
  Micros Stretch(Micros time) const { return time * (score_ + 1); }

 private:
  int max_score_;
  int score_ = 0;
};

struct ProtocolState {
  ProtocolState(Settings own_settings, std::uint64_t seed)
      : settings(std::move(own_settings)), random(seed), health(settings.max_health_score) {}

  // Appends an effect of the current event.
  void Emit(Effect effect) const { effects->push_back(std::move(effect)); }
  // This member's own state, as it reports it to others.
  Update Self() const {
    return {.name = settings.name,
            .address = settings.address,
            .incarnation = incarnation,
            .state = leaving ? State::kLeft : State::kAlive,
            .weight = settings.weight,
            .accuser = ""};
  }
  // A random delay of 1 us to `interval`, so that members that start at the same time do not act in lockstep.
  Micros RandomWithin(Micros interval) { return 1 + random(static_cast<std::uint32_t>(interval)); }

  const Settings settings;
  pcg32 random;
  Micros now = 0;                          // time of the current event
  std::vector<Effect>* effects = nullptr;  // output of the current event
  Incarnation incarnation;                 // of this member
  bool leaving = false;                    // LeaveRequested has been handled
  LocalHealth health;
  Counters counters;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_PROTOCOL_STATE_H_
