// Runs a timetable with real dispatcher processes, stand-ins for workers and discovery, service clients, and
// a separate link between each dispatcher and each worker. All but the dispatchers share one event loop, so
// that the observations have a single order.
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
  // False if the dispatchers are members of a cluster and did not converge after the faults: each member
  // knows all others, one holds the lease, and each worker is health checked by one member.
  bool converged = true;
  int datagrams = 0;          // forwarded or dropped between dispatchers
  int retried_elsewhere = 0;  // requests retried because their idle connection was closed unanswered
  int flooding_clients = 0;   // clients that sent many bytes and left
  // Dispatchers that exited without a signal, or after SIGTERM with a status other than 0.
  int unexpected_exits = 0;
  double seconds = 0.0;  // duration of the run
};

// Returns once every client has been answered or disconnected, and the attempts of its request have been
// stopped. A client waits at most a minute. Throws std::runtime_error if the rig itself cannot continue.
// Needs three file descriptors for each link in use and about ten for each dispatcher. `program` is the path
// of the dispatcher's program.
RunResult RunTimetable(const Timetable& table, const Deployment& deployment, const std::string& program);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_FLEET_RUN_H_
