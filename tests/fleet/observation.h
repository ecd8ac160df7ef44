// One thing that the rig saw happen outside the dispatchers: at a client, at a worker, at discovery, on a
// link or at a process. A run is judged from the list of its observations alone (checker.h).
#ifndef ALDERSILL_TESTS_FLEET_OBSERVATION_H_
#define ALDERSILL_TESTS_FLEET_OBSERVATION_H_

#include <cstdint>
#include <string>

namespace aldersill::fleet {

// All times are microseconds of the rig's clock, which stands still while the rig itself is not scheduled.
struct Observation {
  enum class Kind {
    kRequestSent,           // a client sent a complete request to `dispatcher` and waits until `deadline`
    kClosedUnanswered,      // `dispatcher` closed an idle client connection without answering the request on
                            // it; the client retries at another dispatcher if there is one
    kAnswered,              // the client received its answer: `status`, `text`
    kConnectionLost,        // the client's connection ended, or the client timed out, without an answer
    kClientLeft,            // the client closed its connection on purpose
    kAttemptStarted,        // a link saw the request head of an attempt from `dispatcher` to `worker`
    kAttemptEnded,          // the dispatcher closed the attempt's connection or received the complete answer
    kJobStarted,            // `worker` received the complete attempt and started the job
    kJobResult,             // the worker finished the job with the result `text`
    kDispatcherKilled,      // by SIGKILL: requests in flight at `dispatcher` may stay unanswered
    kDispatcherStarted,     // a new process of `dispatcher` serves
    kDispatcherResumed,     // `dispatcher` was stopped until now
    kDispatcherTerminated,  // SIGTERM is sent to `dispatcher`
    kDispatcherReloaded,    // SIGHUP is sent to `dispatcher`, with another address of discovery
    kWorkerChanged,         // discovery was told whether `worker` is `available`
    kWorkerAnnounced,       // discovery wrote to `dispatcher` whether `worker` is `available`
    kDiscoveryReachable,    // whether discovery is `available` to `dispatcher` from now on
    kRestartFinished,       // a restarted dispatcher became ready after `startup_time`, 0 if it never did
    kLeaseReported,  // in answer to a question asked at `asked_at`, `dispatcher` reported that it holds
                     // the lease under `term`
    kRunEnded,
  };
  Kind kind = Kind::kRequestSent;
  std::string request{};
  std::string job_class{};
  int dispatcher = -1;
  int worker = -1;
  std::uint64_t attempt = 0;  // the same in all observations of one attempt
  std::uint64_t term = 0;
  int status = 0;
  bool available = false;
  int discovery_address = 0;  // the number of discovery's address for `dispatcher`, from 0
  std::string text{};
  std::int64_t at = 0;
  std::int64_t deadline = 0;
  std::int64_t startup_time = 0;
  std::int64_t asked_at = 0;
};

// For reports.
const char* Name(Observation::Kind kind);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_OBSERVATION_H_
