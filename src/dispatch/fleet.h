// The endpoint list as last received, indexed for sampling, with the records of each worker. It decides
// nothing.
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

// The index of a name, or `fallback`.
int IndexOf(const NameIndex& names, const std::string& name, int fallback);

class Fleet {
 public:
  explicit Fleet(const Settings& settings);

  // Takes over a list that did not fail. Resets the estimates of a worker whose process has restarted.
  void Apply(const WorkerList& list);

  int Find(const std::string& name) const { return IndexOf(index_, name, kNoWorker); }
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
  // The share of slots usually free, averaged over the workers of one kind in one zone.
  double& FreeShareOf(const Worker& worker) { return free_shares_[worker.kind][worker.zone]; }
  double FreeShareOf(const Worker& worker) const { return free_shares_[worker.kind][worker.zone]; }

  // Counts what this node sends, and remembers which worker has a key's data.
  void RecordSent(int index, int slots, const std::optional<std::uint64_t>& key);
  void RecordEnded(int index, int slots);
  // Remembers the latest `limit` workers that sent a load report.
  void RecordReport(int index, std::size_t limit);
  const std::vector<int>& recent_reporters() const { return recent_reporters_; }  // the latest first
  // Slots of this node's open attempts per ready worker.
  double mean_own_slots() const { return 1.0 * own_slots_ / std::max(1, ready_workers()); }

  int home() const { return home_; }  // index of this node's zone
  int zones() const { return static_cast<int>(zones_.size()); }
  int ready_workers() const { return static_cast<int>(all_[0].size()); }
  double ready_slots() const;
  // This worker's share of the capacity of all ready ones, by the listed weights.
  double CapacityShareOf(const Worker& worker) const {
    return worker.weight / std::max(all_[0].total_weight(), worker.weight);
  }

  // Ready workers that run classes with this ClassSettings::kind (-1: any): everywhere, in one zone, in one
  // cell.
  const WorkerPool& All(int kind) const { return all_[kind + 1]; }
  const WorkerPool& InZone(int kind, int zone) const { return by_zone_[kind + 1][zone]; }
  const WorkerPool& InCell(int cell) const;
  // The first worker at or after this position on the ring; the pool must not be empty.
  int AtRingPosition(const WorkerPool& pool, std::uint64_t position) const;

 private:
  Worker& FindOrAdd(const std::string& name);
  void RebuildPools();

  // Kind and zone 0 stand for names that the settings lack.
  NameIndex index_;
  NameIndex kind_names_;
  NameIndex zone_names_;
  std::vector<Worker> workers_;
  std::vector<WorkerKind> kinds_;
  std::vector<Zone> zones_;
  std::vector<std::vector<double>> free_shares_;  // by kind and zone
  std::vector<int> ready_by_kind_;
  std::vector<WorkerPool> all_;
  std::vector<std::vector<WorkerPool>> by_zone_;
  std::unordered_map<int, WorkerPool> by_cell_;
  std::vector<int> recent_reporters_;
  int own_slots_ = 0;  // slots of this node's open attempts, over all workers
  int home_ = 0;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_FLEET_H_
