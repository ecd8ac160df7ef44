// Timetables in which many events with time limits (the endpoint list's lease, deadlines and signals)
// coincide: rolling restarts with the earliest possible SIGKILL, series of reloads that move discovery,
// drains that only the new address announces, and new addresses that fail. No input or output.
#ifndef ALDERSILL_TESTS_FLEET_SOAK_TIMETABLE_H_
#define ALDERSILL_TESTS_FLEET_SOAK_TIMETABLE_H_

#include <cstdint>
#include <string>

#include "fleet/timetable.h"

namespace aldersill::fleet {

// Draws a timetable. The same arguments give the same timetable on every machine. One seed in three has many
// idle clients, one in four an outage of discovery.
Timetable DrawSoakTimetable(std::uint64_t seed, const std::string& deployment);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_SOAK_TIMETABLE_H_
