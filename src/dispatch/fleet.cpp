#include "dispatch/fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dispatch/random.h"

namespace aldersill::dispatch {
namespace {

// FNV-1a: places on the ring must be alike on every node, so not std::hash.
std::uint64_t HashName(const std::string& name) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : name)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return Mix(hash);
}

}  // namespace

int Lookup(const std::unordered_map<std::string, int>& map, const std::string& name, int none) {
  const auto found = map.find(name);
  return found == map.end() ? none : found->second;
}

Fleet::Fleet(const Settings& settings) {
  for (const std::string& k : settings.kinds)
    kind_names_.emplace(k, static_cast<int>(kind_names_.size()) + 1);
  for (const std::string& z : settings.zones)
    zone_names_.emplace(z, static_cast<int>(zone_names_.size()) + 1);
  kinds_.resize(kind_names_.size() + 1);
  zones_.resize(zone_names_.size() + 1);
  free_shares_.assign(kinds_.size(), std::vector<double>(zones_.size(), 1.0));
  home_ = Lookup(zone_names_, settings.zone, 0);
  Index();
}

void Fleet::Apply(const WorkerList& list) {
  if (list.form != WorkerList::Form::kDelta) {
    for (Worker& w : workers_)
      w.state = WorkerEntry::State::kGone;
  }
  for (const WorkerEntry& entry : list.workers) {
    const auto [at, is_new] = index_.emplace(entry.worker, static_cast<int>(workers_.size()));
    if (is_new) {
      workers_.emplace_back().name = entry.worker;
      workers_.back().place = HashName(entry.worker);
    }
    Worker& w = workers_[at->second];
    w.state = entry.state;
    if (entry.state == WorkerEntry::State::kGone)
      continue;
    if (entry.since != w.since) {
      Worker fresh;
      fresh.name = std::move(w.name);
      fresh.place = w.place;
      fresh.ours = w.ours;
      fresh.state = w.state;
      w = std::move(fresh);
    }
    w.kind = Lookup(kind_names_, entry.kind, 0);
    w.zone = Lookup(zone_names_, entry.zone, 0);
    w.cell = entry.cell;
    w.weight = entry.weight;
    w.since = entry.since;
  }
  Index();
}

void Fleet::NoteSent(int index, int slots, const std::optional<std::uint64_t>& key) {
  Worker& w = workers_[index];
  w.ours += slots;
  w.sent_since += slots;
  ours_ += slots;
  if (!key || w.HasKey(*key))
    return;
  // A worker is taken to keep one key's data a slot.
  w.keys.push_front(*key);
  w.keys.resize(std::min(w.keys.size(), static_cast<std::size_t>(kind_of(w).slots)));
}

void Fleet::NoteEnded(int index, int slots) {
  workers_[index].ours -= slots;
  ours_ -= slots;
}

void Fleet::NoteHeard(int index, std::size_t most) {
  heard_.insert(heard_.begin(), index);
  heard_.resize(std::min(heard_.size(), most));
}

double Fleet::ready_slots() const {
  double slots = 0.0;
  for (std::size_t k = 0; k < kinds_.size(); ++k)
    slots += kinds_[k].slots * static_cast<double>(ready_[k]);
  return slots;
}

const Pool& Fleet::InCell(int cell) const {
  static const Pool kEmpty;
  const auto found = by_cell_.find(cell);
  return found == by_cell_.end() ? kEmpty : found->second;
}

int Fleet::OnRing(const Pool& pool, std::uint64_t place) const {
  const auto found = std::lower_bound(pool.begin(), pool.end(), place,
                                      [this](int w, std::uint64_t p) { return workers_[w].place < p; });
  return found == pool.end() ? *pool.begin() : *found;
}

void Fleet::Index() {
  all_.assign(kinds_.size(), {});
  by_zone_.assign(kinds_.size(), std::vector<Pool>(zones_.size()));
  by_cell_.clear();
  ready_.assign(kinds_.size(), 0);
  std::vector<int> order;
  for (int i = 0; i < static_cast<int>(workers_.size()); ++i) {
    if (workers_[i].state == WorkerEntry::State::kReady)
      order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [this](int a, int b) {
    return std::tie(workers_[a].place, workers_[a].name) < std::tie(workers_[b].place, workers_[b].name);
  });
  const auto list = [this](int i, int kind) {
    all_[kind].Add(i, workers_[i].weight);
    by_zone_[kind][workers_[i].zone].Add(i, workers_[i].weight);
  };
  for (const int i : order) {
    ++ready_[workers_[i].kind];
    by_cell_[workers_[i].cell].Add(i, workers_[i].weight);
    list(i, 0);  // any kind
    if (workers_[i].kind != 0)
      list(i, workers_[i].kind);
  }
}

}  // namespace aldersill::dispatch
