// Identifies a timer that the reducer sets.
#ifndef ALDERSILL_SRC_CORE_TIMER_KEY_H_
#define ALDERSILL_SRC_CORE_TIMER_KEY_H_

#include <compare>
#include <cstdint>

namespace aldersill {

// Numbers the decision modules from 0, in the order in which their settings were applied.
enum class DispatcherGeneration : std::uint64_t {};

struct TimerKey {
  enum class Kind { kDispatcher, kSendDeadline, kGiveUp, kEndpointListExpiry } kind = Kind::kDispatcher;
  std::uint64_t id = 0;  // kDispatcher: the decision module's token; kSendDeadline, kGiveUp: the AttemptId
  DispatcherGeneration dispatcher{};  // used by kDispatcher only
  auto operator<=>(const TimerKey&) const = default;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_TIMER_KEY_H_
