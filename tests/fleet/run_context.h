// The objects that all parts of one run share. FleetRun owns them and destroys the parts first.
#ifndef ALDERSILL_TESTS_FLEET_RUN_CONTEXT_H_
#define ALDERSILL_TESTS_FLEET_RUN_CONTEXT_H_

#include "fleet/deployment.h"
#include "fleet/recorder.h"
#include "fleet/scheduler.h"
#include "fleet/timetable.h"

namespace aldersill::fleet {

struct RunContext {
  event_base* base = nullptr;
  const Timetable& table;
  const Deployment& deployment;
  Recorder& recorder;
  Scheduler& scheduler;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_RUN_CONTEXT_H_
