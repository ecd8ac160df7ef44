// Schedules functions on the rig's event loop.
#ifndef ALDERSILL_TESTS_FLEET_SCHEDULER_H_
#define ALDERSILL_TESTS_FLEET_SCHEDULER_H_

#include <functional>
#include <memory>
#include <vector>

#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

class Scheduler {
 public:
  explicit Scheduler(event_base* base) : base_(base) {}

  // Runs `action` after `ms` milliseconds.
  void RunIn(int ms, std::function<void()> action);
  // Runs `action` after `turns` iterations of the event loop. Each of them serves all ready sockets.
  void RunAfterTurns(int turns, std::function<void()> action);

 private:
  event_base* base_;
  std::vector<std::unique_ptr<Timer>> timers_;  // kept until the run ends
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SCHEDULER_H_
