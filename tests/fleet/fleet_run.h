// Runs a timetable: real dispatcher processes, stand-in workers, discovery and service clients, and a link of
// its own between each dispatcher and each worker. All but the processes share one event loop, so that there
// is one order of what is observed.
#ifndef ALDERSILL_TESTS_FLEET_FLEET_RUN_H_
#define ALDERSILL_TESTS_FLEET_FLEET_RUN_H_

#include <string>
#include <vector>

#include "fleet/deployment.h"
#include "fleet/observation.h"
#include "fleet/timetable.h"

namespace aldersill::fleet {

struct RunResult {
  std::vector<Observation> observations;
  int injected_faults = 0;
  // Where the dispatchers know one another: with all faults over, all came to know one another, one held the
  // lease, and each worker was health checked by one.
  bool converged = true;
  int datagrams = 0;
  int retried_elsewhere = 0;  // requests on idle connections that were closed without an answer
  int flooding_clients = 0;   // that sent many bytes and left
  int unexpected_exits =
      0;  // dispatchers that ended by themselves, or after SIGTERM with a status other than 0
  double seconds = 0.0;
};

// Returns once every client has its answer or its end and the attempts of its request have been stopped; a
// client waits for a minute. Throws std::runtime_error where the rig itself cannot go on. Needs three file
// descriptors for a link in use and some ten for a dispatcher. `program`: the path of the dispatcher's
// program.
RunResult RunTimetable(const Timetable& table, const Deployment& deployment, const std::string& program);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_FLEET_RUN_H_
