// What is done to a fleet of real processes, and when: drawn from a seed, written and read as YAML, so that a
// failing one can be replayed and cut down. Pure.
#ifndef ALDERSILL_TESTS_FLEET_TIMETABLE_H_
#define ALDERSILL_TESTS_FLEET_TIMETABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace aldersill::fleet {

// The first so many dispatchers decide on who holds a duty, where they know one another.
constexpr int kVoters = 3;
// What the settings are changed to, so that a table's faults meet at a narrow moment.
enum class Crossing {
  kNone,
  kLeaving,  // a connection to a worker may take so long to come up that its client leaves before that
  kCold,     // a worker just started bears little, for long
  kIdle,     // a dispatcher has few descriptors
};

// Of stops, in milliseconds: one as long is of whoever holds the duty then, if somebody does.
constexpr int kLongerThanLease = 2'500;

enum class FaultKind {
  kKill,       // SIGKILL, and started anew after `for_ms`
  kTerminate,  // SIGTERM, and started anew once it has ended by itself
  kPause,      // SIGSTOP, and SIGCONT after `for_ms`
  kCutThere,   // nothing passes from the dispatcher to the worker for `for_ms`; what was sent waits
  kCutBack,    // nothing passes back
  kDelay,      // all that passes takes `amount` ms longer, for `for_ms`
  kTrickle,    // `amount` bytes a millisecond, for `for_ms`
  kReset,      // the link's connections are reset, whatever is on them, again and again for `for_ms`
  kHang,       // the worker takes jobs and never answers those that came in the next `for_ms`
  kDrain,    // the worker drains, is gone after half of `for_ms`, and is back, newly started, after all of it
  kSilence,  // the calls to discovery that the dispatcher has out are never answered; later ones are
  kMove,     // discovery moves for the dispatcher: SIGHUP, and the old address ends after `for_ms`
  kDown,     // discovery is down for all dispatchers; what changes meanwhile is told when it is back
  // The dispatcher's open watch is reset, and for `for_ms` each of its calls to discovery, which has all
  // news:
  kListErrors,   // is answered 503
  kListLosses,   // is never answered
  kListRefused,  // is refused, as nobody listens
  kLate,         // the link's new connections come up a second after they were asked for
  kLeave,  // clients that wait for the dispatcher leave, by `amount`: 0 a close, 1 a reset, 2 and 3 the same
           // after much that nobody asked for
  kRestingRequests,  // `amount` clients have connections that rest; then SIGTERM, and in that moment and for
                     // `for_ms` they send requests; sent again elsewhere where they get no byte of an answer
  kIdleClients,      // `amount` clients connect and send nothing, or half a head, and come again when closed
  // Of the datagrams from the dispatcher to another, the `peer`, -1 for all, for `for_ms`:
  kUdpCut,      // none passes
  kUdpThin,     // `amount` percent are lost
  kUdpDelay,    // each takes `amount` ms longer
  kUdpReorder,  // each takes up to `amount` ms longer, drawn for each
  kUdpDouble,   // `amount` percent come twice
  kUdpStray,    // `amount` datagrams that are none of theirs come to the peer, from its fellow's address
};

struct Fault {
  int at_ms = 0;
  FaultKind kind = FaultKind::kKill;
  int dispatcher = 0;
  int worker =
      0;  // the link's other end, -1 for all of them; the peer's number where it is datagrams that fail
  int for_ms = 0;
  int amount = 0;
};

struct Timetable {
  std::uint64_t seed = 0;  // of the jobs as well
  std::string deployment = "first";
  Crossing crossing = Crossing::kNone;
  bool members = false;  // dispatchers know one another, and hold a duty by turns
  int dispatchers = 12, workers = 6, requests = 300, length_ms = 3'000;
  std::vector<Fault> faults;  // by time
};

// The same seed, the same table, on every machine. One seed in five has a silence of discovery, and takes as
// long as it is before a change counts as told. By their last digit, seeds also have: 1 and 4 clients that
// leave while attempts connect, 2 and 8 ends by SIGTERM while workers hang, 5 calls to discovery that fail, 6
// idle clients while discovery is down, 7 a cold worker under load, 9 restarts while discovery is down for
// longer than a restart may take.
Timetable Draw(std::uint64_t seed, const std::string& deployment, int dispatchers, int workers);

std::string ToYaml(const Timetable& table);
// Throws std::runtime_error naming the line or the field.
Timetable FromYaml(const std::string& text);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_TIMETABLE_H_
