// The schedule of faults that a run injects into a fleet of real processes. A timetable is drawn from a seed,
// and can be written to and read from YAML, so that a failing one can be replayed and reduced.
#ifndef ALDERSILL_TESTS_FLEET_TIMETABLE_H_
#define ALDERSILL_TESTS_FLEET_TIMETABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace aldersill::fleet {

// If the dispatchers are members of a cluster, the first kVoters of them vote on the holder of the lease.
constexpr int kVoters = 3;
// In milliseconds. A pause of at least this length stops the current lease holder, if there is one, instead
// of the fault's dispatcher.
constexpr int kLongerThanLease = 2'500;
// Value of Fault::worker for the links to all workers.
constexpr int kAllWorkers = -1;

// How a run's settings differ from those of the deployment, so that the timetable's faults coincide at a
// critical moment. The key in YAML is `crossing`.
enum class SettingsVariant {
  kNone,
  kLongDialTimeout,  // a connection to a worker may be established after the client has left
  kLongSlowStart,    // a worker that has just started has a small share of calls for a long time
  kFewSockets,       // dispatchers have few file descriptors
};

enum class FaultKind {
  kKill,                   // SIGKILL, and a restart after `for_ms`
  kTerminate,              // SIGTERM, and a restart once the process has exited by itself
  kPause,                  // SIGSTOP, and SIGCONT after `for_ms`
  kCutToWorker,            // for `for_ms` no bytes pass from the dispatcher to the worker; they are held back
  kCutFromWorker,          // the same from the worker to the dispatcher
  kDelay,                  // for `for_ms` all bytes are delayed by `amount` ms
  kRateLimit,              // for `for_ms` at most `amount` bytes pass per millisecond
  kReset,                  // for `for_ms` the link's connections are reset repeatedly
  kHang,                   // the worker accepts jobs and never answers those that arrive within `for_ms`
  kDrain,                  // the worker drains, is deleted after half of `for_ms`, and serves again as a
                           // newly started worker after `for_ms`
  kIgnoredDiscoveryCalls,  // open calls of the dispatcher to discovery are never answered; later ones are
  kDiscoveryMove,          // SIGHUP with a new address of discovery; the old one closes after `for_ms`
  kDiscoveryOutage,        // discovery is down for all dispatchers for `for_ms`, then announces the changes
  // The next three reset the dispatcher's open watch and let its calls to discovery fail for `for_ms`.
  // Discovery still receives all changes.
  kDiscoveryErrors,   // calls are answered with status 503
  kDiscoveryLosses,   // calls are never answered
  kDiscoveryRefused,  // connections are refused
  kDelayedConnects,   // for `for_ms` the link's new connections are established a second late
  kClientsLeave,      // clients that wait for the dispatcher leave: for an `amount` of 0 by closing, of 1 by
                      // resetting the connection, of 2 and 3 the same after sending many unexpected bytes
  kRequestsDuringShutdown,  // SIGTERM while `amount` clients have idle connections, on which they send
                            // requests from then on for `for_ms`. Clients that receive no byte of an answer
                            // retry at another dispatcher.
  kIdleClients,   // `amount` clients connect, send nothing or half of a request head, and connect again
                  // when their connection is closed
  kRestart,       // SIGTERM, SIGKILL at the earliest time that the platform allows, and a new process
  kReload,        // SIGHUP without a change of the settings
  kSlowRequests,  // `amount` clients connect to the dispatcher within `for_ms` and complete their requests
                  // up to 2.2 s later
  // The next ones affect the datagrams from the dispatcher to a peer (Fault::worker) for `for_ms`.
  kUdpCut,              // all are lost
  kUdpLoss,             // `amount` percent are lost
  kUdpDelay,            // each is delayed by `amount` ms
  kUdpReorder,          // each is delayed by a random time of up to `amount` ms
  kUdpDuplicate,        // `amount` percent arrive twice
  kUdpRandomDatagrams,  // the peer receives `amount` datagrams of random bytes from the dispatcher's address
};

// The part of the run that a fault acts on.
enum class FaultGroup { kProcess, kLink, kDiscovery, kClient, kDatagram };
FaultGroup GroupOf(FaultKind kind);
// Returns whether the fault is skipped while the dispatcher's process is not running normally.
bool NeedsRunningProcess(FaultKind kind);

// `for_ms` is the duration in milliseconds, `at_ms` the time since the start of the run. FaultKind describes
// `amount` for each kind.
struct Fault {
  int at_ms = 0;
  FaultKind kind = FaultKind::kKill;
  int dispatcher = 0;
  // The worker's number, or kAllWorkers; for datagram faults the peer's number, or -1 for all peers.
  int worker = 0;
  int for_ms = 0;
  int amount = 0;
};

struct Timetable {
  std::uint64_t seed = 0;  // of the faults and of the jobs
  std::string deployment = "first";
  SettingsVariant variant = SettingsVariant::kNone;
  bool members = false;  // the dispatchers form a cluster, in which one at a time holds the lease
  int dispatchers = 12, workers = 6, requests = 300, length_ms = 3'000;
  int configured_fleet_size = 0;  // number of dispatchers in the settings; 0: the actual number
  // Number of clients that send one request after another on a connection, until it is closed.
  int keep_alive_clients = 0;
  std::vector<Fault> faults;  // in the order of `at_ms`
};

// Draws a timetable. The same arguments give the same timetable on every machine. In one seed of five, calls
// to discovery are not answered, and the run is longer than the time after which a change counts as
// announced. The last digit of the seed adds further faults:
// - 1 and 4: clients leave while attempts connect;
// - 2 and 8: SIGTERM while workers hang;
// - 5: calls to discovery fail;
// - 6: idle clients during an outage of discovery;
// - 7: a worker in slow start under load;
// - 9: restarts during an outage of discovery that is longer than a restart may take.
Timetable DrawTimetable(std::uint64_t seed, const std::string& deployment, int dispatchers, int workers);

// Writes the timetable as YAML, which FromYaml reads back unchanged.
std::string ToYaml(const Timetable& table);
// Throws std::runtime_error, which names the line or the field, if the text is not a valid timetable.
Timetable FromYaml(const std::string& text);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_TIMETABLE_H_
