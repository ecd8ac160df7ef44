// What the reducer asks frontends, transports, timers and discovery to do.
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
  ClientRef client{};      // that waits for it
  int attempt_number = 0;  // of its request, from 0; any other is a retry
};

struct ResumeAttempt {  // of JobReceived
  AttemptId attempt{};
  std::shared_ptr<const Job> job;
  std::uint64_t transfer_number = 0;
};

struct SendAttempt {  // the attempt has connected: its first byte may be written now, and at no later time
  AttemptId attempt{};
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  Micros time_left = 0;
};

struct StopAttempt {
  enum class Reason {
    kRequestAnswered,     // or its client has left
    kWorkerUnavailable,   // it drains, is gone, banned or has restarted
    kListExpired,         // the endpoint list may not be acted on any more
    kNotConnectedInTime,  // or not fetched
    kStartWindowOver,     // a retry after this moment could run twice
    kDeadline,            // of the attempt or its request
    kDispatchModule,      // which gave it up for another one
  };
  AttemptId attempt{};
  WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery;
  Reason reason = Reason::kRequestAnswered;
};

// ---- Final answers ----

struct Served {
  std::string result;
};

struct Rejection {  // the client may safely try again, best after `retry_after`
  enum class Reason {
    kNothingSent,              // the decision module's choice, before the first attempt
    kNoWorker,                 // no worker is ready
    kAfterAttempts,            // the attempts so far cannot have run, or may be repeated
    kAbandonedAttemptRunning,  // an abandoned attempt of the same id has not ended
  } reason = Reason::kNothingSent;
  Micros retry_after = 0;
};

struct Failure {  // promises nothing: the job may have run
  enum class Reason { kFailed, kTooLate, kRepeat } reason = Reason::kFailed;
};

using FinalAnswer = std::variant<Served, Rejection, Failure>;

struct Answer {
  ClientRef client;
  FinalAnswer answer;
  std::string request_id = {};  // for logs; empty where the request has none
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

struct WatchEndpointList {};

struct LogLine {
  std::string text;
};

using Effect = std::variant<StartAttempt, ResumeAttempt, SendAttempt, StopAttempt, Answer, SetTimer,
                            ClearTimer, ProbeWorker, WatchEndpointList, LogLine>;

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_EFFECTS_H_
