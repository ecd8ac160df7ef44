#include "fleet/scheduler.h"

#include <utility>

#include "net/timer.h"

namespace aldersill::fleet {

void Scheduler::RunIn(int ms, std::function<void()> action) {
  timers_.push_back(std::make_unique<Timer>(base_, std::move(action)));
  timers_.back()->Set(ms * kMillisecond);
}

void Scheduler::RunAfterTurns(int turns, std::function<void()> action) {
  RunIn(0, [this, turns, action = std::move(action)] {
    if (turns > 1) {
      RunAfterTurns(turns - 1, action);
    } else {
      action();
    }
  });
}

}  // namespace aldersill::fleet
