// aldersill::dispatch: the public interface of the decision module.
//
// A Dispatcher decides for one node that pushes jobs to workers. It is told events, each at a given time, and
// answers with actions that the caller carries out at that same time. It does no I/O, reads no clock, starts
// no thread and keeps no global state: the same settings, seed and events always give the same actions.
//
// All times and durations are whole microseconds. Times are read off any clock that does not run backwards;
// an event with an earlier time than the one before is handled at that later time. Events and actions own
// their strings. A Dispatcher may be moved between threads but must not be used by two at once.
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
enum class RequestId : std::uint64_t {};  // chosen by the caller, below 2^52

// What may be done with a request that may have run already.
enum class Repeat {
  kRepeatable,  // run it again at will
  kKeyed,       // again only inside the scope that drops its repeats, within the window
  kUnsafe,      // never again
};
enum class KeyScope { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;
  Micros target = 100'000;      // an answer within this earns the full worth
  Micros deadline = 1'000'000;  // a client waits this long over all its tries
  double stretch = 0.0;         // the target grows by this multiple of the job's own running time
  double priority_weight = 1.0;
  double late_priority_weight = 0.0;  // share of the worth earned after the target, before the deadline
  Repeat repeat = Repeat::kUnsafe;
  KeyScope scope = KeyScope::kAll;  // kKeyed only
  Micros window = 0;                // kKeyed only: from the send of the first attempt that may have run
  bool streaming = false;
  int kind = -1;  // index into Settings::kinds of the only kind that runs it, or -1 for any
  int priority = 0;
};

struct TenantSettings {
  std::string name;
  double share = 1.0;                 // of the service; shares are scaled to sum to one
  std::optional<double> quota_per_s;  // requests a second over all nodes, where known
};

struct Settings {
  std::vector<ClassSettings> classes;   // at least one
  std::vector<TenantSettings> tenants;  // none: all traffic is one tenant's
  std::vector<std::string> kinds;       // worker kinds
  std::vector<std::string> zones;
  std::string zone;  // this node's; empty if unknown
  int nodes = 1;     // nodes of this tier, this one included
  double over_share_priority_weight = 1.0;
  bool priority_weight_by_work =
      false;               // a class's worth is for each unit of its work, else for each request
  bool subscribe = false;  // the worker list must be asked for
  bool reports_start = false;
  Micros progress = 0;  // time between progress notes, 0 for none
  enum class Reports { kNone, kWithAnswers, kProbesOnly } reports = Reports::kNone;
  // What is allowed.
  bool probes = false;
  bool cancel = false;
  bool second_copies = false;
  bool retry_after = false;
  int max_attempts = 1;
  Micros max_retry_after = 1'000'000;
  // The four rules.
  Micros answer_slack = 0;
  Micros drain_grace = 0;
  Micros must_ask_in = 10'000'000;
  double overload_factor = 2.0;
  Micros fall = 1'000'000;
  double cold_share = 0.1;
  Micros warm_after = 30'000'000;
  // Prices, as shares of the worth asked for.
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
  Micros since = 0;  // start of its process, 0 for long ago
};
struct WorkerList {
  enum class Form { kDelta, kFull, kCached, kFailed } form = Form::kFull;
  std::vector<WorkerEntry> workers;  // a full or cached list replaces the old one
};
struct Arrival {
  RequestId request{};
  std::string job_class;
  std::string tenant;
  std::optional<std::uint64_t> key;  // data that the job needs and a worker may have at hand
  Micros time_left = 0;              // until the client abandons this try
  std::optional<Micros> work;        // rough hint of its running time
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
  bool started = false;  // true: the job has begun to run; false: `share` of it is done
  double share = 0.0;
};
struct LoadReport {  // each value may be missing; all are late and noisy
  std::optional<double> in_work, waiting, cpu_share, service_ms, served_per_s, errors_per_s, free_slots;
};
enum class Outcome {
  kServed,
  kError,          // the worker answered with an error; may have run
  kFull,           // turned away unseen: never ran
  kTimeout,        // no answer in time; may have run
  kConnectFailed,  // never ran
  kLost,           // the connection broke; may have run
  kCancelled,      // called off; may have run
  kNotSent,        // never ran
};
struct AttemptEnded {
  RequestId request{};
  int attempt_number = 0;
  Outcome outcome = Outcome::kServed;
  bool request_ended = false;  // the request is over; nothing further is owed
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
  Micros give_up_at = 0;  // 0: when the client gives up
  // Its first byte goes out before then or never, as where earlier attempts may have run and the window in
  // which a repeat is dropped ends; 0: no limit.
  Micros start_by = 0;
};
struct Cancel {
  RequestId request{};
  int attempt_number = 0;
};
struct Refuse {  // final; promises that trying again is harmless
  RequestId request{};
  Micros retry_after = 0;  // 0: no advice
};
struct Fail {  // final; promises nothing
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
using Action = std::variant<Send, Cancel, Refuse, Fail, SetTimer, Probe, SubscribeList, Log>;

class Dispatcher {
 public:
  // Throws std::invalid_argument naming the setting that makes no sense.
  Dispatcher(Settings settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Handles one event and appends the actions it calls for, to be carried out in order.
  void Handle(Micros now, const Event& event, std::vector<Action>* actions);

  // Whether it sends nothing to this worker for a while, as of the last event, as it failed or fell silent.
  bool Avoids(const std::string& worker) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_DISPATCH_DISPATCHER_H_
