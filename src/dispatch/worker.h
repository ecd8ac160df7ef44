// What a dispatcher knows of a worker, of a kind of workers and of a zone. Plain data; worker_estimates.h and
// outlier_ejection.h maintain the estimates.
#ifndef ALDERSILL_SRC_DISPATCH_WORKER_H_
#define ALDERSILL_SRC_DISPATCH_WORKER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::dispatch {

struct Worker {
  std::string name;
  WorkerEntry::State state = WorkerEntry::State::kGone;
  int kind = 0;
  int zone = 0;
  int cell = 0;
  double weight = 1.0;
  Micros process_started = 0;       // 0: long ago
  std::uint64_t ring_position = 0;  // on the hash ring that spreads keys over workers, the same on every node
  int own_slots = 0;                // slots of this node's open attempts there

  // The fields below describe the present process and are reset when it restarts.
  std::deque<std::uint64_t> recent_keys;  // of jobs that this node sent there, the latest first
  double reported_free_slots = 0.0;
  double free_slots_offset = 0.0;  // expected free slots above (below: negative) those of its peers
  int slots_sent_since_report = 0;
  Micros reported_at = -1;      // -1: no report yet
  double run_time_ratio = 1.0;  // running time as a multiple of the class's mean
  double error_rate = 0.0;      // share of attempts that failed
  Micros decayed_at = 0;        // when the estimates above last moved towards the peers' averages
  Micros ejected_until = 0;
  Micros ejection_backoff = 0;
  Micros answered_at = 0;  // its last answer to a job, this node's or, by its own report, another's
  Micros probed_at = 0;    // last probe sent to find out whether it still answers jobs

  void RecordFreeSlots(double free_slots, Micros at) {
    reported_free_slots = free_slots;
    reported_at = at;
    slots_sent_since_report = 0;
  }
  bool HasRecentKey(std::uint64_t key) const {
    return std::find(recent_keys.begin(), recent_keys.end(), key) != recent_keys.end();
  }
};

struct WorkerKind {
  double slots = 1.0;          // of one worker: the most ever reported free
  double longest_queue = 0.0;  // longest ever reported; assumed for a worker that rejects a job as full
  double run_time_ratio = 1.0;
};

struct Zone {
  double usual_start_delay = 0.0;  // microseconds from send to start at a free worker
  int connect_failures = 0;        // consecutive
  Micros ejected_until = 0;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_WORKER_H_
