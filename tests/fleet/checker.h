// Judges a run of a fleet from what was observed outside the dispatchers. A pure function that shares no code
// with the daemon.
#ifndef ALDERSILL_TESTS_FLEET_CHECKER_H_
#define ALDERSILL_TESTS_FLEET_CHECKER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fleet/observation.h"

namespace aldersill::fleet {

// The bounds that a run is held to. Times are in microseconds.
struct Rules {
  std::set<std::string> run_once_classes;  // job classes that must never run twice
  int max_attempts = 5;                    // of one request
  bool hedging_allowed = false;            // a request of any other class may have two attempts open at once
  std::int64_t drain_grace = 0;            // from a worker's announced drain to the last new attempt at it
  // A worker's change counts as announced after this, even if it never arrived.
  std::int64_t announcement_bound = 6'000'000;
  // All that discovery has counts as announced this long after a reload that moves it.
  std::int64_t reload_bound = 4'000'000;
  // SIGKILL may find a request unanswered that was sent no later than this after SIGTERM.
  std::int64_t kill_allowance = 700'000;
  std::int64_t kill_allowance_slack = 100'000;
  // After a client has left, no attempt of its request starts later than this...
  std::int64_t cancel_bound = 100'000;
  // ...and no first attempt later than this.
  std::int64_t queued_cancel_bound = 300'000;
  std::int64_t startup_bound = 10'000'000;  // nine in ten restarted dispatchers are ready within it
  // A worker bears `warm_calls` in a window, times its share: `slow_start_share` when it has just started,
  // growing to 1 over `slow_start_duration`.
  double warm_calls = 1e9;
  double slow_start_share = 1.0;
  std::int64_t slow_start_window = 1'000'000;
  std::int64_t slow_start_duration = 0;
  // Added to every time bound, as the machine may have other things to do: a fault that breaks a rule exceeds
  // the bound by more, or does so again and again.
  std::int64_t slack = 500'000;
};

struct Verdict {
  std::vector<std::string> violations;  // one line each, which names the rule and the request
  // Requests by their end.
  int requests = 0, served = 0, rejected = 0, failed = 0;
  int lost_to_kills = 0, left_by_client = 0;
  int attempts = 0, jobs_started = 0;
  int left_before_attempt = 0;      // requests whose client left before their first attempt
  int forwarded_after_leaving = 0;  // of these, the ones that were attempted later than allowed
  int late_attempts = 0;            // attempts that started after their client had left
  int restarts = 0, slow_restarts = 0;
  // The most calls that a worker in slow start received in a window, as a share of what is allowed.
  double peak_slow_start_load = 0.0;
  int lease_terms = 0;  // under which a dispatcher held the lease
};

// `observations`: in the order in which they were made.
Verdict Check(const std::vector<Observation>& observations, const Rules& rules);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_CHECKER_H_
