// Effects: what the reducer asks frontends, transports, timers, discovery and the log to do.
#ifndef ALDERSILL_SRC_CORE_EFFECTS_H_
#define ALDERSILL_SRC_CORE_EFFECTS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "core/job.h"
#include "core/timer_key.h"
#include "core/worker_endpoint.h"

namespace aldersill {

// ---- Attempts ----

struct StartAttempt {
  AttemptId attempt{};
  std::string worker;
  std::string address;
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  std::shared_ptr<const Job> job;
  Micros time_left = 0;
  ClientRef client{};      // the client that waits for the result
  int attempt_number = 0;  // counted from 0 for each request; above 0: a retry
};

// Continues the attempt of a JobReceived.
struct ResumeAttempt {
  AttemptId attempt{};
  std::shared_ptr<const Job> job;
  std::uint64_t transfer_number = 0;  // the number in the JobReceived
};

// Allows a connected attempt to write the first byte of its request now, but not at a later time.
struct SendAttempt {
  AttemptId attempt{};
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  Micros time_left = 0;
};

struct StopAttempt {
  enum class Reason {
    kRequestAnswered,     // the request is answered, or its client has left
    kWorkerUnavailable,   // the worker drains, is gone, is banned or has restarted
    kListExpired,         // the lease of discovery's endpoint list has expired
    kNotConnectedInTime,  // the attempt was not connected, or not fetched, in time
    kStartWindowOver,     // the job could run twice if a retry started after this time
    kDeadline,            // the deadline of the attempt or of its request has passed
    kDispatchModule,      // the decision module cancelled the attempt, for example in favour of another
  };
  AttemptId attempt{};
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  Reason reason = Reason::kRequestAnswered;
};

// ---- Final answers ----

struct Served {
  std::string result;
};

// The client may safely try again, preferably after `retry_after`.
struct Rejection {
  enum class Reason {
    kNothingSent,              // the decision module rejected the request before its first attempt
    kNoWorker,                 // no worker is ready
    kAfterAttempts,            // the job cannot have run in the attempts so far, or may be repeated
    kAbandonedAttemptRunning,  // an abandoned attempt of the same id has not ended
    kDraining,                 // too little time is left before this process exits
    kReadTooLate,              // the deadline had passed when the frontend read the request
  } reason = Reason::kNothingSent;
  Micros retry_after = 0;
};

// The job may have run, so the client cannot assume that another try is safe.
struct Failure {
  enum class Reason {
    kFailed,
    kTooLate,  // the deadline has passed
    kRepeat,   // the request repeats a job that must not run again
  } reason = Reason::kFailed;
};

using FinalAnswer = std::variant<Served, Rejection, Failure>;

struct Answer {
  ClientRef client;
  FinalAnswer answer;
  std::string request_id = {};  // for logs; empty if the request has none
};

// No job with this id is open in this process any longer.
struct JobIdClosed {
  std::string id;
};

// ---- Timers, discovery and the log ----

struct SetTimer {
  TimerKey key;
  Micros delay = 0;
};

struct ClearTimer {
  TimerKey key;
};

struct ProbeWorker {
  std::string worker;
  std::string address;
};

// Asks discovery for the endpoint list and for its changes from then on.
struct WatchEndpointList {};

struct LogLine {
  std::string text;
};

using Effect = std::variant<StartAttempt, ResumeAttempt, SendAttempt, StopAttempt, Answer, SetTimer,
                            ClearTimer, ProbeWorker, WatchEndpointList, LogLine, JobIdClosed>;

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_EFFECTS_H_
