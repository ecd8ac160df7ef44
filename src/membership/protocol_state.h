// What the parts of one membership core share: settings, the random generator, the event that is being
// handled and this member's own state. Owned by Membership; the parts hold references.
#ifndef ALDERSILL_SRC_MEMBERSHIP_PROTOCOL_STATE_H_
#define ALDERSILL_SRC_MEMBERSHIP_PROTOCOL_STATE_H_

#include <algorithm>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

#include "membership/events.h"
#include "membership/settings.h"

namespace aldersill::membership {

// Lifeguard's local health multiplier: a member whose own probes fail, or that has to refute suspicions, may
// be the slow one itself, and stretches its protocol period and probe timeout.
class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}
  void Worsen(int by) { score_ = std::min(max_score_, score_ + by); }
  void Improve() { score_ = std::max(0, score_ - 1); }
  int score() const { return score_; }  // 0: healthy
  Micros Stretch(Micros time) const { return time * (score_ + 1); }

 private:
  int max_score_;
  int score_ = 0;
};

struct ProtocolState {
  ProtocolState(Settings own_settings, std::uint64_t seed)
      : settings(std::move(own_settings)), random(seed), health(settings.max_health_score) {}

  void Emit(Effect effect) const { effects->push_back(std::move(effect)); }
  Update Self() const {
    return {.name = settings.name,
            .address = settings.address,
            .incarnation = incarnation,
            .state = leaving ? State::kLeft : State::kAlive,
            .weight = settings.weight,
            .accuser = ""};
  }
  // A random time within `interval`, so that members started together do not act together.
  Micros RandomWithin(Micros interval) { return 1 + random(static_cast<std::uint32_t>(interval)); }

  const Settings settings;
  pcg32 random;
  Micros now = 0;                          // of the event that is being handled
  std::vector<Effect>* effects = nullptr;  // of the event that is being handled
  Incarnation incarnation;
  bool leaving = false;
  LocalHealth health;
  Counters counters;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_PROTOCOL_STATE_H_
