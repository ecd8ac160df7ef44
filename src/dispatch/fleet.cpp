#include "dispatch/fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dispatch/random.h"

namespace aldersill::dispatch {
namespace {

// FNV-1a. std::hash is not used, because positions on the hash ring must be the same on every node.
std::uint64_t HashName(const std::string& name) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : name)
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  return Mix(hash);
}

// The record of a worker after a restart of its process. The slots of this node's open attempts there are
// kept.
Worker AfterRestart(Worker&& old) {
  Worker fresh;
  fresh.name = std::move(old.name);
  fresh.ring_position = old.ring_position;
  fresh.own_slots = old.own_slots;
  fresh.state = old.state;
  return fresh;
}

}  // namespace

int IndexOf(const NameIndex& names, const std::string& name, int fallback) {
  const auto found = names.find(name);
  return found == names.end() ? fallback : found->second;
}

Fleet::Fleet(const Settings& settings) {
  for (const std::string& kind : settings.kinds)
    kind_names_.emplace(kind, static_cast<int>(kind_names_.size()) + 1);
  for (const std::string& zone : settings.zones)
    zone_names_.emplace(zone, static_cast<int>(zone_names_.size()) + 1);
  kinds_.resize(kind_names_.size() + 1);
  zones_.resize(zone_names_.size() + 1);
  free_shares_.assign(kinds_.size(), std::vector<double>(zones_.size(), 1.0));
  home_ = IndexOf(zone_names_, settings.zone, 0);
  RebuildPools();
}

void Fleet::Apply(const WorkerList& list) {
  if (list.form != WorkerList::Form::kDelta) {
    for (Worker& worker : workers_)
      worker.state = WorkerEntry::State::kGone;
  }
  for (const WorkerEntry& entry : list.workers) {
    Worker& worker = FindOrAdd(entry.worker);
    worker.state = entry.state;
    if (entry.state == WorkerEntry::State::kGone)
      continue;
    if (entry.since != worker.process_started)
      worker = AfterRestart(std::move(worker));
    worker.kind = IndexOf(kind_names_, entry.kind, 0);
    worker.zone = IndexOf(zone_names_, entry.zone, 0);
    worker.cell = entry.cell;
    worker.weight = entry.weight;
    worker.process_started = entry.since;
  }
  RebuildPools();
}

Worker& Fleet::FindOrAdd(const std::string& name) {
  const auto [found, is_new] = worker_names_.emplace(name, static_cast<int>(workers_.size()));
  if (is_new) {
    workers_.emplace_back().name = name;
    workers_.back().ring_position = HashName(name);
  }
  return workers_[found->second];
}

void Fleet::RecordSent(int index, int slots, const std::optional<std::uint64_t>& key) {
  Worker& worker = workers_[index];
  worker.own_slots += slots;
  worker.slots_sent_since_report += slots;
  own_slots_ += slots;
  if (!key || worker.HasRecentKey(*key))
    return;
  // A worker is assumed to keep the data of one key for each of its slots.
  worker.recent_keys.push_front(*key);
  const auto limit = static_cast<std::size_t>(KindOf(worker).slots);
  worker.recent_keys.resize(std::min(worker.recent_keys.size(), limit));
}

void Fleet::RecordEnded(int index, int slots) {
  workers_[index].own_slots -= slots;
  own_slots_ -= slots;
}

void Fleet::RecordReport(int index, std::size_t limit) {
  recent_reporters_.insert(recent_reporters_.begin(), index);
  recent_reporters_.resize(std::min(recent_reporters_.size(), limit));
}

double Fleet::ready_slots() const {
  double slots = 0.0;
  for (std::size_t kind = 0; kind < kinds_.size(); ++kind)
    slots += kinds_[kind].slots * static_cast<double>(ready_by_kind_[kind]);
  return slots;
}

const WorkerPool& Fleet::InCell(int cell) const {
  static const WorkerPool empty_pool;
  const auto found = by_cell_.find(cell);
  return found == by_cell_.end() ? empty_pool : found->second;
}

int Fleet::AtRingPosition(const WorkerPool& pool, std::uint64_t position) const {
  const auto precedes = [this](int worker, std::uint64_t wanted) {
    return workers_[worker].ring_position < wanted;
  };
  const auto found = std::lower_bound(pool.begin(), pool.end(), position, precedes);
  return found == pool.end() ? *pool.begin() : *found;
}

// Fills the pools with the ready workers in the order of their ring positions.
void Fleet::RebuildPools() {
  all_.assign(kinds_.size(), {});
  by_zone_.assign(kinds_.size(), std::vector<WorkerPool>(zones_.size()));
  by_cell_.clear();
  ready_by_kind_.assign(kinds_.size(), 0);
  std::vector<int> ring_order;
  for (int i = 0; i < static_cast<int>(workers_.size()); ++i) {
    if (workers_[i].state == WorkerEntry::State::kReady)
      ring_order.push_back(i);
  }
  std::sort(ring_order.begin(), ring_order.end(), [this](int left, int right) {
    return std::tie(workers_[left].ring_position, workers_[left].name) <
           std::tie(workers_[right].ring_position, workers_[right].name);
  });
  const auto add = [this](int index, int kind) {
    const Worker& worker = workers_[index];
    all_[kind].Add(index, worker.weight);
    by_zone_[kind][worker.zone].Add(index, worker.weight);
  };
  for (const int index : ring_order) {
    const Worker& worker = workers_[index];
    ++ready_by_kind_[worker.kind];
    by_cell_[worker.cell].Add(index, worker.weight);
    add(index, 0);  // any kind
    if (worker.kind != 0)
      add(index, worker.kind);
  }
}

}  // namespace aldersill::dispatch
