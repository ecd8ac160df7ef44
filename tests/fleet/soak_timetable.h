// Timetables in which what goes by the endpoint list's lease, a deadline or a signal meets at once: rolling
// restarts up to the earliest SIGKILL, reloads in series that move discovery, drains that only the new
// address knows, and new addresses that fail. Drawn from a seed. Pure.
#ifndef ALDERSILL_TESTS_FLEET_SOAK_TIMETABLE_H_
#define ALDERSILL_TESTS_FLEET_SOAK_TIMETABLE_H_

#include <cstdint>
#include <string>

#include "fleet/timetable.h"

namespace aldersill::fleet {

// One seed in three has a crowd of idle clients, one in four an outage of discovery.
Timetable DrawSoakTimetable(std::uint64_t seed, const std::string& deployment);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SOAK_TIMETABLE_H_
