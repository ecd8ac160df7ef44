// The worker list as told, indexed for sampling. It keeps records and decides nothing.
#ifndef ALDERSILL_SRC_DISPATCH_FLEET_H_
#define ALDERSILL_SRC_DISPATCH_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/state.h"

namespace aldersill::dispatch {

// The value for a name, or `none`.
int Lookup(const std::unordered_map<std::string, int>& map, const std::string& name, int none);

// Ready workers, in the order of their places on the ring.
class Pool {
 public:
  void Add(int index, double weight) {
    workers_.push_back(index);
    up_to_.push_back((up_to_.empty() ? 0.0 : up_to_.back()) + std::max(weight, 1e-6));
  }
  bool empty() const { return workers_.empty(); }
  std::size_t size() const { return workers_.size(); }
  double weight() const { return up_to_.empty() ? 0.0 : up_to_.back(); }
  int operator[](std::size_t at) const { return workers_[at]; }
  auto begin() const { return workers_.begin(); }
  auto end() const { return workers_.end(); }
  // The one at this share of the weights' sum, 0 to 1; the pool must not be empty.
  int AtShare(double share) const {
    const auto found = std::upper_bound(up_to_.begin(), up_to_.end(), share * up_to_.back());
    return workers_[std::min<std::size_t>(found - up_to_.begin(), workers_.size() - 1)];
  }

 private:
  std::vector<int> workers_;
  std::vector<double> up_to_;  // sums of the weights
};

class Fleet {
 public:
  explicit Fleet(const Settings& settings);

  // Takes over a list that did not fail. A worker whose process has restarted loses what was known of the old
  // one.
  void Apply(const WorkerList& list);

  int Find(const std::string& name) const { return Lookup(index_, name, -1); }
  // Whether it is left alone for a while, as it failed or fell silent.
  bool Avoids(const std::string& name, Micros now) const {
    const int found = Find(name);
    return found >= 0 && workers_[found].down_until > now;
  }
  Worker& worker(int index) { return workers_[index]; }
  const Worker& worker(int index) const { return workers_[index]; }
  Kind& kind_of(const Worker& w) { return kinds_[w.kind]; }
  const Kind& kind_of(const Worker& w) const { return kinds_[w.kind]; }
  // The share of slots usually free, pooled over the workers of one kind in one zone.
  double& free_share(const Worker& w) { return free_shares_[w.kind][w.zone]; }
  double free_share(const Worker& w) const { return free_shares_[w.kind][w.zone]; }
  Zone& zone_of(const Worker& w) { return zones_[w.zone]; }
  Zone& home_zone() { return zones_[home_]; }

  // Bookkeeping of what this node sends and hears.
  void NoteSent(int index, int slots, const std::optional<std::uint64_t>& key);
  void NoteEnded(int index, int slots);
  void NoteHeard(int index, std::size_t most);
  const std::vector<int>& heard() const { return heard_; }  // the last to report, the latest first
  double mean_ours() const { return 1.0 * ours_ / std::max(1, ready()); }

  int home() const { return home_; }  // this node's zone
  int zones() const { return static_cast<int>(zones_.size()); }
  int ready() const { return static_cast<int>(all_[0].size()); }
  double ready_slots() const;
  // This worker's part of what all ready ones can do, by the weights told.
  double part(const Worker& w) const { return w.weight / std::max(all_[0].weight(), w.weight); }

  // Ready workers that run a class of this kind setting (-1: any): everywhere, in one zone, in one cell.
  const Pool& All(int kind) const { return all_[kind + 1]; }
  const Pool& InZone(int kind, int zone) const { return by_zone_[kind + 1][zone]; }
  const Pool& InCell(int cell) const;
  // The first at or after this place on the ring; the pool must not be empty.
  int OnRing(const Pool& pool, std::uint64_t place) const;

 private:
  void Index();

  // Kind and zone 0 stand for names that the settings lack.
  std::unordered_map<std::string, int> index_, kind_names_, zone_names_;
  std::vector<Worker> workers_;
  std::vector<Kind> kinds_;
  std::vector<Zone> zones_;
  std::vector<std::vector<double>> free_shares_;
  std::vector<int> ready_;  // ready workers by kind
  std::vector<Pool> all_;
  std::vector<std::vector<Pool>> by_zone_;
  std::unordered_map<int, Pool> by_cell_;
  std::vector<int> heard_;
  int ours_ = 0;  // slots of our attempts, over all workers
  int home_ = 0;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_FLEET_H_
