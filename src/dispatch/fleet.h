// The endpoint list as last received, indexed for sampling, with the records of each worker. It makes no
// decisions.
#ifndef ALDERSILL_SRC_DISPATCH_FLEET_H_
#define ALDERSILL_SRC_DISPATCH_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"
#include "dispatch/worker.h"
#include "dispatch/worker_pool.h"

namespace aldersill::dispatch {

using NameIndex = std::unordered_map<std::string, int>;

// The index of the name, or `fallback` if it is not there.
int IndexOf(const NameIndex& names, const std::string& name, int fallback);

class Fleet {
 public:
  explicit Fleet(const Settings& settings);

  // Applies a list or a change of one; the list must not be a failed one. Resets the estimates of each worker
  // whose process has restarted.
  void Apply(const WorkerList& list);

  // The index of the worker of this name, or kNoWorker.
  int Find(const std::string& name) const { return IndexOf(worker_names_, name, kNoWorker); }
  // Whether there is a worker of this name and it is ejected at this time; ejections of zones do not count.
  bool IsEjected(const std::string& name, Micros now) const {
    const int found = Find(name);
    return found != kNoWorker && workers_[found].ejected_until > now;
  }
  Worker& worker(int index) { return workers_[index]; }
  const Worker& worker(int index) const { return workers_[index]; }
  WorkerKind& KindOf(const Worker& worker) { return kinds_[worker.kind]; }
  const WorkerKind& KindOf(const Worker& worker) const { return kinds_[worker.kind]; }
  Zone& ZoneOf(const Worker& worker) { return zones_[worker.zone]; }
  const Zone& ZoneOf(const Worker& worker) const { return zones_[worker.zone]; }
  const Zone& home_zone() const { return zones_[home_]; }
  // The share of slots that are usually free, averaged over the workers of the same kind and zone.
  double& FreeShareOf(const Worker& worker) { return free_shares_[worker.kind][worker.zone]; }
  double FreeShareOf(const Worker& worker) const { return free_shares_[worker.kind][worker.zone]; }

  // Records that this node has sent an attempt that takes this many slots to the worker, which then has the
  // data of the key.
  void RecordSent(int index, int slots, const std::optional<std::uint64_t>& key);
  // Records that an attempt of this many slots at the worker has ended.
  void RecordEnded(int index, int slots);
  // Records that the worker has sent a load report. Only the last `limit` reports are remembered.
  void RecordReport(int index, std::size_t limit);
  // The workers that sent the last load reports, the latest first.
  const std::vector<int>& recent_reporters() const { return recent_reporters_; }
  // The mean number of slots that this node's open attempts take, per ready worker.
  double mean_own_slots() const { return 1.0 * own_slots_ / std::max(1, ready_workers()); }

  int home() const { return home_; }  // index of this node's zone
  int zones() const { return static_cast<int>(zones_.size()); }
  int ready_workers() const { return static_cast<int>(all_[0].size()); }
  double ready_slots() const;  // estimated number of slots of all ready workers
  // The worker's share of the capacity of all ready workers, by the listed weights.
  double CapacityShareOf(const Worker& worker) const {
    return worker.weight / std::max(all_[0].total_weight(), worker.weight);
  }

  // The ready workers that run classes with this ClassSettings::kind (-1: any), everywhere or in one zone,
  // and the ready workers of any kind in one cell.
  const WorkerPool& All(int kind) const { return all_[kind + 1]; }
  const WorkerPool& InZone(int kind, int zone) const { return by_zone_[kind + 1][zone]; }
  const WorkerPool& InCell(int cell) const;
  // The first worker at or after this position on the ring; the pool must not be empty.
  int AtRingPosition(const WorkerPool& pool, std::uint64_t position) const;

 private:
  Worker& FindOrAdd(const std::string& name);
  void RebuildPools();

  // Index 0 of a kind or zone stands for names that the settings lack.
  NameIndex worker_names_;
  NameIndex kind_names_;
  NameIndex zone_names_;
  std::vector<Worker> workers_;
  std::vector<WorkerKind> kinds_;
  std::vector<Zone> zones_;
  std::vector<std::vector<double>> free_shares_;  // by kind and zone
  std::vector<int> ready_by_kind_;                // numbers of ready workers by kind
  std::vector<WorkerPool> all_;                   // by ClassSettings::kind + 1
  std::vector<std::vector<WorkerPool>> by_zone_;  // by ClassSettings::kind + 1 and zone
  std::unordered_map<int, WorkerPool> by_cell_;
  std::vector<int> recent_reporters_;
  int own_slots_ = 0;  // slots of this node's open attempts, over all workers
  int home_ = 0;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_FLEET_H_
