// What is done to a fleet of real processes, and when: drawn from a seed, written and read as YAML, so that a
// failing timetable can be replayed and reduced. Pure.
#ifndef ALDERSILL_TESTS_FLEET_TIMETABLE_H_
#define ALDERSILL_TESTS_FLEET_TIMETABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace aldersill::fleet {

// Where dispatchers know one another, the first so many vote on who holds the lease.
constexpr int kVoters = 3;
// In milliseconds. A pause of this length or more is of the lease holder, if there is one.
constexpr int kLongerThanLease = 2'500;
// In Fault::worker.
constexpr int kAllWorkers = -1;

// How the settings differ from the deployment's own, so that a timetable's faults meet at a narrow moment. In
// YAML: `crossing`.
enum class SettingsVariant {
  kNone,
  kLongDialTimeout,  // a connection to a worker may come up after its client has left
  kLongSlowStart,    // a worker that has just started bears little, for long
  kFewSockets,       // a dispatcher has few file descriptors
};

enum class FaultKind {
  kKill,           // SIGKILL, and a restart after `for_ms`
  kTerminate,      // SIGTERM, and a restart once the process has ended by itself
  kPause,          // SIGSTOP, and SIGCONT after `for_ms`
  kCutToWorker,    // nothing passes from the dispatcher to the worker for `for_ms`; what was sent waits
  kCutFromWorker,  // nothing passes from the worker to the dispatcher
  kDelay,          // all bytes take `amount` ms longer, for `for_ms`
  kRateLimit,      // `amount` bytes a millisecond, for `for_ms`
  kReset,          // the link's connections are reset, again and again for `for_ms`
  kHang,           // the worker accepts jobs and never answers those that arrive within `for_ms`
  kDrain,          // the worker drains, is deleted after half of `for_ms`, and serves again, newly
                   // started, after all of it
  kIgnoredDiscoveryCalls,  // the dispatcher's open calls to discovery are never answered; later ones are
  kDiscoveryMove,    // discovery moves for the dispatcher: SIGHUP, and the old address ends after `for_ms`
  kDiscoveryOutage,  // discovery is down for all dispatchers; changes are announced after that
  // The dispatcher's open watch is reset, and for `for_ms` each of its calls to discovery, which still
  // receives all changes,
  kDiscoveryErrors,   // is answered 503
  kDiscoveryLosses,   // is never answered
  kDiscoveryRefused,  // is refused, as nobody listens
  kDelayedConnects,   // the link's new connections come up a second late
  kClientsLeave,  // clients that wait for the dispatcher leave, by `amount`: 0 a close, 1 a reset, 2 and 3
                  // the same after many bytes that nobody asked for
  kRequestsDuringShutdown,  // `amount` clients have idle connections; then SIGTERM, and in that moment and
                            // for `for_ms` they send requests, and retry elsewhere where they get no byte of
                            // an answer
  kIdleClients,   // `amount` clients connect and send nothing, or half a head, and connect again when
                  // they are closed
  kRestart,       // SIGTERM, SIGKILL at the earliest time that the platform allows, and a new process
  kReload,        // SIGHUP with nothing changed
  kSlowRequests,  // `amount` clients connect to the dispatcher within `for_ms`, and complete their requests
                  // up to 2.2 s later
  // Of the datagrams from the dispatcher to a peer, `worker` in Fault, for `for_ms`:
  kUdpCut,              // none passes
  kUdpLoss,             // `amount` percent are lost
  kUdpDelay,            // each takes `amount` ms longer
  kUdpReorder,          // each takes up to `amount` ms longer, drawn for each
  kUdpDuplicate,        // `amount` percent arrive twice
  kUdpRandomDatagrams,  // `amount` datagrams of random bytes arrive at the peer from the dispatcher's address
};

// The part of the run that a fault acts on.
enum class FaultGroup { kProcess, kLink, kDiscovery, kClient, kDatagram };
FaultGroup GroupOf(FaultKind kind);
// Whether the fault is left out while its dispatcher's process does not run normally.
bool NeedsRunningProcess(FaultKind kind);

struct Fault {
  int at_ms = 0;
  FaultKind kind = FaultKind::kKill;
  int dispatcher = 0;
  // The other end of the link, kAllWorkers for all; for datagram faults the peer's number, -1 for all.
  int worker = 0;
  int for_ms = 0;
  int amount = 0;
};

struct Timetable {
  std::uint64_t seed = 0;  // of the jobs as well
  std::string deployment = "first";
  SettingsVariant variant = SettingsVariant::kNone;
  bool members = false;  // the dispatchers know one another, and one at a time holds a lease
  int dispatchers = 12, workers = 6, requests = 300, length_ms = 3'000;
  int configured_fleet_size = 0;  // how many the settings say there are; 0: as many as there are
  int keep_alive_clients = 0;  // clients that send one request after another on a connection, while it lasts
  std::vector<Fault> faults;   // by time
};

// The same seed draws the same timetable on every machine. One seed in five ignores calls to discovery, and
// is longer than the time after which a change counts as announced. By their last digit, seeds also have: 1
// and 4 clients that leave while attempts connect, 2 and 8 SIGTERM while workers hang, 5 calls to discovery
// that fail, 6 idle clients during an outage of discovery, 7 a worker in slow start under load, 9 restarts
// during an outage of discovery that is longer than a restart may take.
Timetable DrawTimetable(std::uint64_t seed, const std::string& deployment, int dispatchers, int workers);

std::string ToYaml(const Timetable& table);
// Throws std::runtime_error that names the line or the field.
Timetable FromYaml(const std::string& text);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_TIMETABLE_H_
