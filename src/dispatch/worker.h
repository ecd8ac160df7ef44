// What a dispatcher knows about a worker, a kind of workers and a zone. The records are plain data;
// worker_estimates.h and outlier_ejection.h maintain the estimates.
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
  int kind = 0;                // index of its kind in the fleet; 0: a kind that the settings do not list
  int zone = 0;                // index of its zone in the fleet; 0: a zone that the settings do not list
  int cell = 0;                // cell by the endpoint list
  double weight = 1.0;         // capacity relative to other workers, by the endpoint list
  Micros process_started = 0;  // time at which its process started; 0: long ago
  // Position on the hash ring that spreads keys over workers; the same on every node.
  std::uint64_t ring_position = 0;
  int own_slots = 0;  // slots taken there by this node's open attempts

  // The fields below describe the present process and are reset when it restarts.
  std::deque<std::uint64_t> recent_keys;  // keys of jobs that this node sent there, the latest first
  // Free slots by the last report; negative if jobs wait.
  double reported_free_slots = 0.0;
  // Expected free slots above those of workers of its kind and zone; negative if it has fewer.
  double free_slots_offset = 0.0;
  int slots_sent_since_report = 0;  // slots of the jobs that this node sent there since the last report
  Micros reported_at = -1;          // time that the last report describes; -1: no report yet
  double run_time_ratio = 1.0;      // running time as a multiple of the class's mean
  double error_rate = 0.0;          // share of attempts that failed, 0 to 1
  Micros decayed_at = 0;        // time at which the estimates above last moved towards the peers' averages
  Micros ejected_until = 0;     // time at which the last ejection ends
  Micros ejection_backoff = 0;  // mean duration of the last ejection; 0 after an answer
  Micros answered_at = 0;       // last time it answered a job of this node or reported answers to others
  Micros probed_at = 0;         // last time it was probed to find out whether it still answers jobs

  // Records the free slots that the worker had at the time `at`.
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
  double slots = 1.0;          // slots of one worker: the highest number ever reported free
  double longest_queue = 0.0;  // longest queue ever reported; assumed for a worker that rejects a job as full
  double run_time_ratio = 1.0;  // average of its workers' running times as multiples of the class's mean
};

struct Zone {
  double usual_start_delay = 0.0;  // microseconds from send to start at a free worker; 0: not known yet
  int connect_failures = 0;        // number of consecutive connect failures
  Micros ejected_until = 0;        // time at which the zone's last ejection ends
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_WORKER_H_
