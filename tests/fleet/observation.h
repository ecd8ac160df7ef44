// An event that the rig observed outside the dispatchers: at a client, a worker, discovery, a link or a
// process. The checker judges a run only from the list of its observations (checker.h).
#ifndef ALDERSILL_TESTS_FLEET_OBSERVATION_H_
#define ALDERSILL_TESTS_FLEET_OBSERVATION_H_

#include <cstdint>
#include <string>

namespace aldersill::fleet {

// All times are in microseconds of the rig's clock, which stops while the rig itself is not scheduled.
struct Observation {
  enum class Kind {
    kRequestSent,           // a client sent a complete request to `dispatcher` and waits for the answer until
                            // `deadline`
    kClosedUnanswered,      // `dispatcher` closed an idle client connection without answering the request on
                            // it; the client retries at another dispatcher if there is one
    kAnswered,              // the client received its answer: `status`, `text`
    kConnectionLost,        // the client's connection ended, or the client timed out, without an answer
    kClientLeft,            // the client closed its connection on purpose
    kAttemptStarted,        // a link saw the request head of an attempt from `dispatcher` to `worker`
    kAttemptEnded,          // the dispatcher closed the attempt's connection or received the complete answer
    kJobStarted,            // `worker` received the complete attempt and started the job
    kJobResult,             // the worker finished the job with the result `text`
    kDispatcherKilled,      // SIGKILL was sent to `dispatcher`; its requests in flight may remain unanswered
    kDispatcherStarted,     // a new process of `dispatcher` serves
    kDispatcherResumed,     // `dispatcher` continues after it was stopped
    kDispatcherTerminated,  // SIGTERM was sent to `dispatcher`
    kDispatcherReloaded,    // SIGHUP was sent to `dispatcher`, with a new address of discovery
    kWorkerChanged,         // discovery learned whether `worker` is `available`
    kWorkerAnnounced,       // discovery announced to `dispatcher` whether `worker` is `available`
    kDiscoveryReachable,    // `available` tells whether `dispatcher` can reach discovery from now on
    kRestartFinished,       // a restarted dispatcher became ready after `startup_time`; 0 if it never did
    kLeaseReported,         // in answer to a query sent at `asked_at`, `dispatcher` reported that it holds
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
  int discovery_address = 0;  // number of the address at which `dispatcher` calls discovery, from 0
  std::string text{};
  std::int64_t at = 0;
  std::int64_t deadline = 0;
  std::int64_t startup_time = 0;
  std::int64_t asked_at = 0;
};

// Returns the name of the kind that reports show.
const char* Name(Observation::Kind kind);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_OBSERVATION_H_
