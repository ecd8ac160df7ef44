// Runs functions later on the rig's event loop.
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

  void RunIn(int ms, std::function<void()> action);
  // After that many turns of the loop: in each, all sockets that are ready are served.
  void RunAfterTurns(int turns, std::function<void()> action);

 private:
  event_base* base_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SCHEDULER_H_
