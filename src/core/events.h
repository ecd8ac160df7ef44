// What frontends, transports, timers, discovery and operators report to the reducer.
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

struct SettingsRefused {};  // a reloaded configuration was invalid and is not used

// An operator's ban: the worker gets nothing new, whatever its source reports, until the ban is lifted.
struct WorkerBanned {
  std::string worker;
  bool banned = true;  // false: the ban is lifted
};

// ---- Requests ----

struct RequestReceived {
  ClientRef client;
  Job job;
};

// The frontend could read no job from the request and has answered it itself.
struct RequestRejectedByFrontend {
  ClientRef::Frontend frontend = ClientRef::Frontend::kHttp;
  int status = 400;
  std::string reason;
  std::string id;  // empty where none was read
};

struct ClientLeft {
  ClientRef client;
};

// Another process of this dispatcher has taken over the job and answers its client.
struct JobTransferred {
  ClientRef client;
};

// This process takes over a job from another process of this dispatcher, with an attempt that its worker has
// received completely. ResumeAttempt carries it on under the same `transfer_number`.
struct JobReceived {
  ClientRef client;
  Job job;
  std::string worker;
  bool may_have_run = false;  // in an attempt before this one
  std::uint64_t transfer_number = 0;
};

// ---- Attempts ----

struct AttemptConnected {  // the worker can be written to; no byte has been
  AttemptId attempt{};
};

struct AttemptSent {  // the worker has the complete request: it may run from here on
  AttemptId attempt{};
};

struct AttemptProgress {
  AttemptId attempt{};
  bool started = false;  // true: the job has begun to run; false: `share` of it is done
  double share = 0.0;
};

struct AttemptEnded {
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  std::string result;
  LoadReport report;
  std::string reason = {};  // for logs: what happened to the connection, where the outcome does not say it
};

// An attempt that the core gave up, at a worker that cannot be told to stop, has ended.
struct AbandonedAttemptEnded {
  AttemptId attempt{};
};

struct TimerDue {
  TimerKey key;
};

// ---- Endpoint list ----

struct EndpointListUpdate {
  // kSnapshot: the complete list; kCached: a complete list from a source that is not watched; kDelta:
  // changes; kDeltaFromPreviousSource: changes from a discovery that is not watched any more.
  enum class Form { kDelta, kSnapshot, kCached, kDeltaFromPreviousSource } form = Form::kSnapshot;
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  std::vector<WorkerEndpoint> workers;
};

struct EndpointListWatchFailed {};

// For how long from now discovery's list may be acted on; 0 or less: not any more. Without this event the
// list is valid for ever.
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

using Event = std::variant<RequestReceived, JobTransferred, JobReceived, RequestRejectedByFrontend,
                           ClientLeft, AttemptConnected, AttemptSent, AttemptProgress, AttemptEnded,
                           AbandonedAttemptEnded, TimerDue, EndpointListUpdate, EndpointListWatchFailed,
                           EndpointListLease, ProbeCompleted, SettingsChanged, SettingsRefused, WorkerBanned>;

// Accepts events. Every frontend and transport gets one, so that none depends on the reducer or on another.
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void Post(Event event) = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_EVENTS_H_
