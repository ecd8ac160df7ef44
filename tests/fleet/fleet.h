// Runs a timetable: real daemons, stand-in workers and service clients, and a link of its own between each
// dispatcher and each worker, all but the daemons on one event loop.
#ifndef ALDERSILL_TESTS_FLEET_FLEET_H_
#define ALDERSILL_TESTS_FLEET_FLEET_H_

#include <string>
#include <vector>

#include "fleet/checker.h"
#include "fleet/deployment.h"
#include "fleet/timetable.h"

namespace aldersill::fleet {

struct Run {
  std::vector<Seen> seen;
  int carried_out = 0;  // faults
  bool agreed = true;   // where they know one another: in the end all did, one held the duty, each worker was
                        // one's to probe
  int datagrams = 0;
  int crossed = 0;   // requests on resting connections that were closed with no answer
  int flooded = 0;   // clients that sent much and left
  int bad_ends = 0;  // dispatchers that ended by themselves other than with 0 after SIGTERM
  double seconds = 0.0;
};

// Returns once every client has its answer or its end, and what it asked for is stopped; a client waits for a
// minute. Throws std::runtime_error where the rig itself cannot go on. Descriptors: three a link in use, some
// ten a dispatcher. `program`: the dispatcher.
Run Play(const Timetable& table, const Deployment& deployment, const std::string& program);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_FLEET_H_
