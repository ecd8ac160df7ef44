// The core's counters and gauges. Only the reducer writes them; the SNMP agent and the logs read them.
#ifndef ALDERSILL_SRC_CORE_COUNTERS_H_
#define ALDERSILL_SRC_CORE_COUNTERS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace aldersill {

struct ClassCounters {
  std::string name;
  std::uint64_t received = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t clients_left = 0;  // requests whose client left before the answer
  std::uint64_t served_ms = 0;     // sum over the served requests of the time from receipt to answer, in ms
};

struct Counters {
  std::vector<ClassCounters> classes;       // in the order in which settings first named them
  std::array<std::uint64_t, 8> attempts{};  // ended attempts, indexed by dispatch::Outcome
  std::uint64_t attempts_started = 0;
  std::uint64_t attempts_sent = 0;  // attempts whose request was written completely to the worker
  std::uint64_t repeats_rejected = 0;
  // Cancellations by the decision module of jobs that a worker's session has fetched and cannot be told to
  // stop.
  std::uint64_t cancellations_refused = 0;
  // ACKs and FAILs of abandoned attempts, which answer nobody.
  std::uint64_t late_acknowledgements = 0;
  // Requests that a frontend answered itself, by HTTP status. The statuses that frontends use are present
  // from the start.
  std::map<int, std::uint64_t> rejected_by_frontend{{400, 0}, {405, 0}, {408, 0},
                                                    {413, 0}, {431, 0}, {503, 0}};
  std::uint64_t reconfigurations = 0;
  std::uint64_t reconfigurations_refused = 0;
  std::uint64_t endpoint_list_updates = 0;
  std::uint64_t endpoint_list_failures = 0;
  // Gauges.
  std::uint64_t open_requests = 0;
  std::uint64_t open_attempts = 0;
  std::uint64_t waiting_clients = 0;  // clients that have no answer yet
  std::uint64_t ready_workers = 0;
  std::uint64_t draining_workers = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_COUNTERS_H_
