// What every module of a dispatcher needs to handle one event: the settings, the time, random draws and the
// list that takes the actions. The dispatcher owns it and the modules hold references to it.
#ifndef ALDERSILL_SRC_DISPATCH_CONTEXT_H_
#define ALDERSILL_SRC_DISPATCH_CONTEXT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"
#include "dispatch/random.h"
#include "dispatch/settings.h"

namespace aldersill::dispatch {

// What a timer is for. It is the upper byte of the timer's token; the rest is the request's id, or 0.
enum class TimerKind : std::uint64_t {
  kTokenIssue,     // the next token becomes due while jobs are buffered
  kDeadline,       // a request's client stops waiting
  kListPoll,       // the endpoint list must be requested
  kAnswerOverdue,  // a worker should have answered an attempt of the request
};

// The settings, time, random source and action list that the modules share while an event is handled.
class Context {
 public:
  // Throws std::invalid_argument with a message that names the first invalid setting.
  Context(Settings settings, std::uint64_t seed)
      : settings_(ValidatedSettings(std::move(settings))), random_(seed) {}

  // Starts the handling of an event at `now`; `actions` takes its actions. The time never goes back: if `now`
  // is earlier than the time of the previous event, that time is used instead.
  void BeginEvent(Micros now, std::vector<Action>* actions) {
    now_ = std::max(now_, now);
    actions_ = actions;
  }

  const Settings& settings() const { return settings_; }
  Random& random() { return random_; }
  Micros now() const { return now_; }
  // Microseconds from `then` to now.
  double Since(Micros then) const { return static_cast<double>(now_ - then); }

  void Emit(Action action) { actions_->push_back(std::move(action)); }
  // Emits a SetTimer with a delay of at least one microsecond.
  void StartTimer(Micros delay, TimerKind kind, RequestId request = {}) {
    const std::uint64_t token =
        (static_cast<std::uint64_t>(kind) << kTimerKindShift) | static_cast<std::uint64_t>(request);
    Emit(SetTimer{std::max<Micros>(delay, 1), token});
  }
  static TimerKind KindOf(const TimerFired& timer) {
    return static_cast<TimerKind>(timer.token >> kTimerKindShift);
  }
  static RequestId RequestOf(const TimerFired& timer) {
    return RequestId{timer.token & ((std::uint64_t{1} << kTimerKindShift) - 1)};
  }

  // Emits at most one log line in ten seconds and drops the others, so that an outage does not flood the log.
  void LogRateLimited(std::string text) {
    if (now_ < next_log_at_)
      return;
    next_log_at_ = now_ + 10 * static_cast<Micros>(kSecond);
    Emit(Log{std::move(text)});
  }

 private:
  static constexpr int kTimerKindShift = 56;  // in bits, within a timer's token

  const Settings settings_;
  Random random_;
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  Micros next_log_at_ = 0;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_CONTEXT_H_
