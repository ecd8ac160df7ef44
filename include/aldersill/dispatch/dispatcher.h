// aldersill::dispatch: the public interface of the decision module.
//
// A Dispatcher decides for one node whether, when and at which worker each job runs. The caller passes it
// events, each with its time, and carries out the returned actions at that same time. It does no I/O, reads
// no clock, starts no thread and keeps no global state, so the same settings, seed and events always give the
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
// The workers that recognize a repeated key: every worker, or only those in the zone or the cell of the
// worker that may have run the request.
enum class KeyScope { kAll, kZone, kCell };

// A class of jobs with the same latency objective, weight and retry rules.
struct ClassSettings {
  std::string name;
  Micros target = 100'000;       // time within which an answer earns the full priority weight
  Micros deadline = 1'000'000;   // time that a client waits for the answer, its own retries included
  double stretch = 0.0;          // multiple of the job's own running time that is added to the target
  double priority_weight = 1.0;  // relative value of a request that is answered within the target
  // Share of the weight, 0 to 1, that an answer earns after the target and before the deadline.
  double late_priority_weight = 0.0;
  Repeat repeat = Repeat::kUnsafe;
  KeyScope scope = KeyScope::kAll;  // used only with kKeyed
  // Deduplication window, counted from the send of the first attempt that may have run; used only with
  // kKeyed.
  Micros window = 0;
  bool streaming = false;  // whether answers are streamed
  int kind = -1;           // index into Settings::kinds of the only kind that runs the class, or -1 for any
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
  std::vector<std::string> kinds;       // names of the worker kinds
  std::vector<std::string> zones;       // names of the zones
  std::string zone;                     // zone of this node; empty if unknown
  int nodes = 1;                        // number of dispatcher nodes, this one included
  double over_share_priority_weight = 1.0;
  // Whether a class's weight is per unit of its work instead of per request.
  bool priority_weight_by_work = false;
  bool subscribe = false;      // whether the worker list must be subscribed to
  bool reports_start = false;  // whether workers report that a job has started to run
  Micros progress = 0;         // interval between progress events; 0: none are sent
  // Whether workers send load reports: not at all, with their answers, or only in reply to probes.
  enum class Reports { kNone, kWithAnswers, kProbesOnly } reports = Reports::kNone;
  // Actions that the dispatcher may take, and their limits.
  bool probes = false;                 // whether workers may be probed
  bool cancel = false;                 // whether attempts may be cancelled
  bool hedging = false;                // whether a request may have several attempts open at once
  bool retry_after = false;            // whether rejections advise a retry delay
  int max_attempts = 1;                // of one request
  Micros max_retry_after = 1'000'000;  // longest retry delay to advise
  // Parameters of the four rules that the service imposes on every dispatcher.
  Micros answer_slack = 0;  // time after a request's deadline by which it must have its final answer
  Micros drain_grace = 0;   // time after the announcement of a drain in which attempts may still start
  // Time within which the worker list must be polled again after the last call.
  Micros max_list_poll_interval = 10'000'000;
  // Rule 4: a worker in slow start must not get more than this multiple of the work that it can run at its
  // present capacity, within any overload_window.
  double overload_factor = 2.0;
  Micros overload_window = 1'000'000;
  double cold_capacity_share = 0.1;  // share of its full capacity, 0 to 1, that a new worker process has
  Micros warm_after = 30'000'000;    // age of a worker's process at which it has its full capacity
  // Prices, as shares of the priority weight of a request.
  double price_cross_zone = 0.0;  // of an attempt at a worker in another zone
  double price_probe = 0.0;       // of a probe
};

// ---- Events ----

// One worker of the worker list.
struct WorkerEntry {
  std::string worker;  // name
  enum class State { kReady, kDraining, kGone } state = State::kReady;
  double weight = 1.0;  // capacity relative to that of the other workers
  std::string kind;
  std::string zone;
  int cell = 0;
  Micros since = 0;  // time at which its process started; 0: long ago
};
// The worker list, a change of it, or the failure of a call for it.
struct WorkerList {
  enum class Form { kDelta, kFull, kCached, kFailed } form = Form::kFull;
  std::vector<WorkerEntry> workers;  // a full or cached list replaces the list before it
};
// A request has arrived. A class that the settings lack is rejected; a tenant that they lack is treated as
// unlisted.
struct Arrival {
  RequestId request{};
  std::string job_class;
  std::string tenant;
  std::optional<std::uint64_t> key;  // identifies data that the job needs and a worker may hold
  Micros time_left = 0;              // until the client abandons this try of its request
  std::optional<Micros> work;        // rough estimate of the running time
  int slots = 1;                     // number of a worker's slots that the job takes while it runs
  bool is_retry = false;             // whether the client marks it as a retry
};
// The first part of an attempt's answer has been forwarded to the client.
struct StreamStarted {
  RequestId request{};
  int attempt_number = 0;
};
// A worker has reported that an attempt started or how far it has got.
struct Progress {
  RequestId request{};
  int attempt_number = 0;
  bool started = false;  // true: the job has started to run; false: `share` of it is done
  double share = 0.0;    // 0 to 1
};
// A worker's load as it reported it. Any value may be missing; all of them arrive late and are noisy.
struct LoadReport {
  // Jobs that run and jobs that wait, share of the CPU in use (0 to 1), service time of a job in
  // milliseconds, answers and errors a second, and free slots.
  std::optional<double> running_jobs, waiting, cpu_share, service_ms, served_per_s, errors_per_s, free_slots;
};
// How an attempt or a probe ended.
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
  Micros elapsed = 0;          // since the attempt was sent
  LoadReport report;
};
// The client of a request no longer waits for an answer.
struct ClientGone {
  RequestId request{};
};
struct TimerFired {
  std::uint64_t token = 0;  // that of the SetTimer
};
struct ProbeDone {
  std::string worker;
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;  // since the probe was sent
  LoadReport report;
};
using Event = std::variant<WorkerList, Arrival, StreamStarted, Progress, AttemptEnded, ClientGone, TimerFired,
                           ProbeDone>;

// ---- Actions ----

// Send an attempt of the request to a worker. The attempts of a request are numbered from 0 in the order of
// their sends.
struct Send {
  RequestId request{};
  std::string worker;
  Micros give_up_at = 0;  // time at which to give up the attempt; 0: when the client gives up
  // The first byte must be sent before this time or not at all, e.g. because an earlier attempt may have run
  // and the deduplication window ends then; 0: no limit.
  Micros start_by = 0;
};
// Cancel an attempt. Its outcome must still be reported.
struct Cancel {
  RequestId request{};
  int attempt_number = 0;
};
// Final answer, which promises that the request may safely be tried again.
struct Reject {
  RequestId request{};
  Micros retry_after = 0;  // delay to advise to the client; 0: none
};
// Final answer, which does not promise that the request may safely be tried again.
struct Fail {
  RequestId request{};
};
// Pass a TimerFired with the same token after the delay.
struct SetTimer {
  Micros delay = 0;
  std::uint64_t token = 0;
};
// Ask a worker for a load report, which also shows whether it responds.
struct Probe {
  std::string worker;
};
// Request the worker list and its later changes.
struct SubscribeList {};
// Write a line to the log.
struct Log {
  std::string text;
};
using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer, Probe, SubscribeList, Log>;

// The decision module of one node.
class Dispatcher {
 public:
  // Throws std::invalid_argument with a message that names the first invalid setting.
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
