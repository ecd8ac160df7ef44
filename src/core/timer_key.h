// Identifies a timer that the reducer sets.
#ifndef ALDERSILL_SRC_CORE_TIMER_KEY_H_
#define ALDERSILL_SRC_CORE_TIMER_KEY_H_

#include <compare>
#include <cstdint>

namespace aldersill {

// Decision modules are numbered in the order of the settings that they were made for.
enum class DispatcherGeneration : std::uint64_t {};

struct TimerKey {
  enum class Kind { kDispatcher, kSendDeadline, kGiveUp, kEndpointListExpiry } kind = Kind::kDispatcher;
  std::uint64_t id = 0;               // kDispatcher: its token; kSendDeadline, kGiveUp: the AttemptId
  DispatcherGeneration dispatcher{};  // kDispatcher only
  auto operator<=>(const TimerKey&) const = default;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_TIMER_KEY_H_
