// Events: what frontends, transports, timers, discovery and operators report to the reducer.
#ifndef ALDERSILL_SRC_CORE_EVENTS_H_
#define ALDERSILL_SRC_CORE_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/job.h"
#include "core/settings.h"
#include "core/timer_key.h"
#include "core/worker_endpoint.h"

namespace aldersill {

using dispatch::LoadReport;
using dispatch::Outcome;

// ---- Settings and operators ----

struct SettingsChanged {
  CoreSettings settings;
};

// A reloaded configuration was invalid and is not used.
struct SettingsRefused {};

// An operator has banned a worker or lifted its ban. A banned worker gets no new attempts, whatever state its
// source reports.
struct WorkerBanned {
  std::string worker;
  bool banned = true;  // false if the ban was lifted
};

// This process has been told to exit: a graceful shutdown begins.
struct DrainStarted {};

// ---- Requests ----

struct RequestReceived {
  ClientRef client;
  Job job;
  // Time since the last byte of the request arrived, from which the job's time counts.
  Micros waited = 0;
  // Another process of this dispatcher has transferred the job, which it had not attempted.
  bool transferred = false;
  // A job with this id is open in another process of this dispatcher.
  bool open_elsewhere = false;
};

// A frontend could not read a job from a request and has answered the request itself.
struct RequestRejectedByFrontend {
  ClientRef::Frontend frontend = ClientRef::Frontend::kHttp;
  int status = 400;  // HTTP status of the answer
  std::string reason;
  std::string id;  // the request's id; empty if none could be read
};

struct ClientLeft {
  ClientRef client;
};

// Another process of this dispatcher has taken over the job and answers its client.
struct JobTransferred {
  ClientRef client;
};

// This process takes over a job from another process of this dispatcher, together with an attempt whose
// request the worker has received completely. The reducer continues the attempt with a ResumeAttempt of the
// same `transfer_number`.
struct JobReceived {
  ClientRef client;
  Job job;
  std::string worker;
  bool may_have_run = false;  // whether the job may have run in an earlier attempt
  std::uint64_t transfer_number = 0;
};

// ---- Attempts ----

// The connection to the worker is established. No byte of the request has been written yet.
struct AttemptConnected {
  AttemptId attempt{};
};

// The request was written completely to the worker, so the job may run from now on.
struct AttemptSent {
  AttemptId attempt{};
};

struct AttemptProgress {
  AttemptId attempt{};
  bool started = false;  // true: the job has started to run; false: `share` of it is done
  double share = 0.0;    // fraction of the job
};

struct AttemptEnded {
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  std::string result;
  LoadReport report;
  std::string reason = {};  // for logs: what happened to the connection, if the outcome does not show it
};

// An attempt that the core gave up, at a worker that cannot be told to stop, has ended.
struct AbandonedAttemptEnded {
  AttemptId attempt{};
  bool acknowledged = false;  // by an ACK or FAIL; otherwise the worker is lost
};

struct TimerDue {
  TimerKey key;
};

// ---- Endpoint list ----

struct EndpointListUpdate {
  // kDelta: changes of the list; kSnapshot: the complete list; kCached: a complete list from a source that is
  // not watched; kDeltaFromPreviousSource: changes from a discovery that is no longer watched.
  enum class Form { kDelta, kSnapshot, kCached, kDeltaFromPreviousSource } form = Form::kSnapshot;
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  std::vector<WorkerEndpoint> workers;
};

// A poll of discovery for the endpoint list has failed, and no other poll is open.
struct EndpointListWatchFailed {};

// Sets how long discovery's list remains valid from now; at 0 or less, it expires now. Until the first of
// these events, the list does not expire.
struct EndpointListLease {
  static constexpr Micros kUnlimited = Micros{1} << 60;
  Micros remaining = 0;
};

struct ProbeCompleted {
  std::string worker;
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};

using Event =
    std::variant<RequestReceived, JobTransferred, JobReceived, RequestRejectedByFrontend, ClientLeft,
                 AttemptConnected, AttemptSent, AttemptProgress, AttemptEnded, AbandonedAttemptEnded,
                 TimerDue, EndpointListUpdate, EndpointListWatchFailed, EndpointListLease, ProbeCompleted,
                 SettingsChanged, SettingsRefused, WorkerBanned, DrainStarted>;

// Accepts events. Frontends and transports post to this interface, so that they depend neither on the reducer
// nor on one another.
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void Post(Event event) = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_EVENTS_H_
