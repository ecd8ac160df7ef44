// Checks the run of a fleet against rules, using only what was observed outside the dispatchers. Shares no
// code with the daemon.
#ifndef ALDERSILL_TESTS_FLEET_CHECKER_H_
#define ALDERSILL_TESTS_FLEET_CHECKER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fleet/observation.h"

namespace aldersill::fleet {

// The limits that a run must keep. All times are in microseconds.
struct Rules {
  std::set<std::string> run_once_classes;  // job classes that must never run twice
  int max_attempts = 5;                    // per request
  bool hedging_allowed = false;  // for all other classes: two attempts of a request may be open at once
  // Attempts may still start at a worker this long after its announced drain.
  std::int64_t drain_grace = 0;
  // After this time a worker's change counts as announced, even if the announcement never arrived.
  std::int64_t announcement_bound = 6'000'000;
  // All changes that discovery has received count as announced this long after a reload that moves discovery
  // to another address.
  std::int64_t reload_bound = 4'000'000;
  // SIGKILL may find a request unanswered only if it was sent at most this long after SIGTERM, plus
  // `kill_allowance_slack` for the rig's own delays.
  std::int64_t kill_allowance = 700'000;
  std::int64_t kill_allowance_slack = 100'000;
  // No attempt of a request starts later than this after its client has left.
  std::int64_t cancel_bound = 100'000;
  // No first attempt of a request starts later than this after its client has left.
  std::int64_t queued_cancel_bound = 300'000;
  // Nine in ten restarted dispatchers are ready within this time.
  std::int64_t startup_bound = 10'000'000;
  // A warm worker can take `warm_calls` calls in each `slow_start_window`. A worker that has just started can
  // take the share `slow_start_share` of that, which grows linearly to 1 over `slow_start_duration`.
  double warm_calls = 1e9;
  double slow_start_share = 1.0;
  std::int64_t slow_start_window = 1'000'000;
  std::int64_t slow_start_duration = 0;
  // Added to every time bound, because the machine may be busy with other work. The faults that the rules are
  // meant to detect exceed their bound by more than this, or repeatedly.
  std::int64_t slack = 500'000;
};

struct Verdict {
  std::vector<std::string> violations;  // one line each, with the rule and the request
  // Number of requests in total and by outcome.
  int requests = 0, served = 0, rejected = 0, failed = 0;
  int lost_to_kills = 0, left_by_client = 0;
  int attempts = 0, jobs_started = 0;
  int left_before_attempt = 0;          // requests whose client left before their first attempt
  int forwarded_after_leaving = 0;      // number of these that were attempted later than allowed
  int late_attempts = 0;                // attempts that started after their client had left
  int restarts = 0, slow_restarts = 0;  // slow: not ready within the startup bound
  // The largest number of calls that a worker in slow start received in a window, relative to the limit.
  double peak_slow_start_load = 0.0;
  int lease_terms = 0;  // number of terms under which a dispatcher held the lease
};

// Checks the observations, which must be in the order in which they were made, against all rules.
Verdict Check(const std::vector<Observation>& observations, const Rules& rules);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_CHECKER_H_
