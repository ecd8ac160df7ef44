// What is done to a fleet of real processes, and when: drawn from a seed, written and read as YAML, so that a failing one
// can be replayed and cut down. Pure.
#ifndef ALDERSILL_TESTS_FLEET_TIMETABLE_H_
#define ALDERSILL_TESTS_FLEET_TIMETABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace aldersill::fleet {

enum class FaultKind {
  kKill,       // SIGKILL, and started anew after `for_ms`
  kTerminate,  // SIGTERM, and started anew once it has ended by itself
  kPause,      // SIGSTOP, and SIGCONT after `for_ms`
  kCutThere,   // nothing passes from the dispatcher to the worker for `for_ms`; what was sent waits
  kCutBack,    // nothing passes back
  kDelay,      // all that passes takes `amount` ms longer, for `for_ms`
  kTrickle,    // `amount` bytes a millisecond, for `for_ms`
  kReset,      // the link's connections are reset, whatever is on them, again and again for `for_ms`
};

struct Fault {
  int at_ms = 0;
  FaultKind kind = FaultKind::kKill;
  int dispatcher = 0;
  int worker = 0;  // the link's other end, -1 for all of them; not for the first three kinds
  int for_ms = 0;
  int amount = 0;
};

struct Timetable {
  std::uint64_t seed = 0;  // of the jobs as well
  int dispatchers = 12, workers = 6, requests = 300, length_ms = 3'000;
  std::vector<Fault> faults;  // by time
};

// The same seed, the same table, on every machine.
Timetable Draw(std::uint64_t seed, int dispatchers, int workers);

std::string ToYaml(const Timetable& table);
// Throws std::runtime_error naming the line or the field.
Timetable FromYaml(const std::string& text);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_TIMETABLE_H_
