// aldersill::dispatch: the public interface of the decision module.
//
// A Dispatcher decides for one node that pushes jobs to workers. The caller passes it events, each
// with its time, and carries out the actions that it returns at that same time. It does no I/O, reads no
// clock, starts no thread and keeps no global state, so the same settings, seed and events always give the
// same actions.
//
// All times and durations are whole microseconds. Any monotonic clock will do; an event
// whose time is earlier than that of the event before it is handled at that event's time. Events and actions
// own their strings. A Dispatcher may be moved between threads but must not be used by two at once.
#ifndef ALDERSILL_DISPATCH_DISPATCHER_H_
#define ALDERSILL_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace aldersill::dispatch {

using Micros = std::int64_t;
enum class RequestId : std::uint64_t {};  // chosen by the caller; must be below 2^52

// Whether a request that may already have run may be run again.
enum class Repeat {
  kRepeatable,  // may be run any number of times
  kKeyed,       // only within the scope that deduplicates its key, and within the window
  kUnsafe,      // never again
};
enum class KeyScope { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;
  Micros target = 100'000;      // an answer within this time earns the full priority weight
  Micros deadline = 1'000'000;  // how long a client waits, its own retries included
  double stretch = 0.0;         // multiple of the job's own running time that is added to the target
  double priority_weight = 1.0;
  // Share of the weight, 0 to 1, that an answer earns after the target and before the deadline.
  double late_priority_weight = 0.0;
  Repeat repeat = Repeat::kUnsafe;
  KeyScope scope = KeyScope::kAll;  // kKeyed only
  // kKeyed only: deduplication window, from the send of the first attempt that may have run.
  Micros window = 0;
  bool streaming = false;
  int kind = -1;  // index into Settings::kinds of the only kind that runs the class, or -1 for any
  int priority = 0;
};

struct TenantSettings {
  std::string name;
  double share = 1.0;                 // share of the service's capacity; scaled so that all shares sum to one
  std::optional<double> quota_per_s;  // requests a second over all nodes, if known
};

struct Settings {
  std::vector<ClassSettings> classes;   // at least one
  std::vector<TenantSettings> tenants;  // if empty, all traffic belongs to one tenant
  std::vector<std::string> kinds;       // worker kinds
  std::vector<std::string> zones;
  std::string zone;  // zone of this node; empty if unknown
  int nodes = 1;     // number of dispatcher nodes, this one included
  double over_share_priority_weight = 1.0;
  // Whether a class's weight is per unit of its work instead of per request.
  bool priority_weight_by_work = false;
  bool subscribe = false;  // whether the worker list must be subscribed to
  bool reports_start = false;
  Micros progress = 0;  // interval between progress events; 0: none are sent
  enum class Reports { kNone, kWithAnswers, kProbesOnly } reports = Reports::kNone;
  // Actions that the dispatcher may take, and their limits.
  bool probes = false;
  bool cancel = false;
  bool hedging = false;
  bool retry_after = false;
  int max_attempts = 1;
  Micros max_retry_after = 1'000'000;
  // Parameters of the four rules.
  Micros answer_slack = 0;
  Micros drain_grace = 0;
  Micros max_list_poll_interval = 10'000'000;  // time within which the worker list must be requested
  double overload_factor = 2.0;
  Micros overload_window = 1'000'000;  // over which the load on a worker that warms up is limited
  double cold_capacity_share = 0.1;    // of full capacity, 0 to 1, that a worker has when its process starts
  Micros warm_after = 30'000'000;      // age of a worker's process at which it has its full capacity
  // Prices, as shares of the priority weight of the requests.
  double price_cross_zone = 0.0;
  double price_probe = 0.0;
};

// ---- Events ----

struct WorkerEntry {
  std::string worker;
  enum class State { kReady, kDraining, kGone } state = State::kReady;
  double weight = 1.0;
  std::string kind;
  std::string zone;
  int cell = 0;
  Micros since = 0;  // when its process started; 0: long ago
};
struct WorkerList {
  enum class Form { kDelta, kFull, kCached, kFailed } form = Form::kFull;
  std::vector<WorkerEntry> workers;  // a full or cached list replaces the list before it
};
struct Arrival {
  RequestId request{};
  std::string job_class;
  std::string tenant;
  std::optional<std::uint64_t> key;  // identifies data that the job needs and a worker may hold
  Micros time_left = 0;              // until the client abandons this try of its request
  std::optional<Micros> work;        // rough estimate of the running time
  int slots = 1;
  bool is_retry = false;
};
struct StreamStarted {
  RequestId request{};
  int attempt_number = 0;
};
struct Progress {
  RequestId request{};
  int attempt_number = 0;
  bool started = false;  // true: the job has started to run; false: `share` of it is done
  double share = 0.0;
};
struct LoadReport {  // any value may be missing; all arrive late and are noisy
  std::optional<double> running_jobs, waiting, cpu_share, service_ms, served_per_s, errors_per_s, free_slots;
};
enum class Outcome {
  kServed,
  kError,          // the worker answered with an error; may have run
  kRejected,       // the worker rejected the attempt without starting it; never ran
  kTimeout,        // no answer in time; may have run
  kConnectFailed,  // never ran
  kLost,           // the connection broke; may have run
  kCancelled,      // the attempt was cancelled; may have run
  kNotSent,        // never ran
};
struct AttemptEnded {
  RequestId request{};
  int attempt_number = 0;
  Outcome outcome = Outcome::kServed;
  bool request_ended = false;  // whether the request has ended and needs no further action
  Micros elapsed = 0;
  LoadReport report;
};
struct ClientGone {
  RequestId request{};
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct ProbeDone {
  std::string worker;
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};
using Event = std::variant<WorkerList, Arrival, StreamStarted, Progress, AttemptEnded, ClientGone, TimerFired,
                           ProbeDone>;

// ---- Actions ----

struct Send {  // attempts of a request are numbered from 0 in the order of their sends
  RequestId request{};
  std::string worker;
  Micros give_up_at = 0;  // when to give up the attempt; 0: when the client gives up
  // The first byte must be sent before this time or not at all, e.g. because an earlier attempt may have run
  // and the deduplication window ends then; 0: no limit.
  Micros start_by = 0;
};
struct Cancel {
  RequestId request{};
  int attempt_number = 0;
};
struct Reject {  // final answer; promises that the request may safely be tried again
  RequestId request{};
  Micros retry_after = 0;  // delay to advise to the client; 0: none
};
struct Fail {  // final answer; does not promise that the request may safely be tried again
  RequestId request{};
};
struct SetTimer {
  Micros delay = 0;
  std::uint64_t token = 0;
};
struct Probe {
  std::string worker;
};
struct SubscribeList {};
struct Log {
  std::string text;
};
using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer, Probe, SubscribeList, Log>;

class Dispatcher {
 public:
  // Throws std::invalid_argument that names the first invalid setting.
  Dispatcher(Settings settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Handles one event and appends the resulting actions to `actions`; the caller carries them out in order.
  void Handle(Micros now, const Event& event, std::vector<Action>* actions);

  // Whether the worker was ejected as of the last event because it could not be reached or did not respond.
  bool IsEjected(const std::string& worker) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_DISPATCH_DISPATCHER_H_
