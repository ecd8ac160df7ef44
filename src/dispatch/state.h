// What a dispatcher remembers: plain records. The decisions on them are in policy.cpp.
#ifndef ALDERSILL_SRC_DISPATCH_STATE_H_
#define ALDERSILL_SRC_DISPATCH_STATE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/random.h"

namespace aldersill::dispatch {

struct Attempt {
  int worker = -1;
  Micros sent = 0;
  Micros started = 0;  // 0: not known to have started
  bool open = true;
  bool may_have_run = true;  // until an outcome proves that it never ran
  bool called_off = false;
};

struct Request {
  RequestId id{};
  int job_class = 0;
  int tenant = 0;
  int slots = 1;
  int tokens = 1;  // k: what it pays
  int unpaid = 0;  // of those, still to be paid while held
  Micros arrived = 0;
  Micros deadline = 0;
  std::optional<std::uint64_t> key;
  std::vector<Attempt> attempts;
  bool ended = false;
  bool streaming = false;

  bool HasOpen() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.open; });
  }
  bool HasStarted() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.started != 0; });
  }
  // The worker of the first attempt that may have run, or -1.
  int MayHaveRunAt() const {
    for (const Attempt& a : attempts) {
      if (a.may_have_run)
        return a.worker;
    }
    return -1;
  }
};

// The requests not yet done with. Looked up, never walked: no order of a hash table shows.
class RequestTable {
 public:
  bool Has(RequestId id) const { return requests_.contains(id); }
  Request* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  Request& At(RequestId id) { return requests_.at(id); }
  Request& Add(RequestId id) {
    Request& r = requests_[id];
    r.id = id;
    return r;
  }
  void Erase(RequestId id) { requests_.erase(id); }
  // The open attempt of this number, or null.
  Attempt* FindOpen(RequestId id, int attempt_number) {
    Request* r = Find(id);
    if (r == nullptr || attempt_number < 0 || attempt_number >= std::ssize(r->attempts))
      return nullptr;
    return r->attempts[attempt_number].open ? &r->attempts[attempt_number] : nullptr;
  }

 private:
  std::unordered_map<RequestId, Request> requests_;
};

// How much of the traffic a key has, within a share of 1 / kCells: keys share cells, counts halve now and
// then.
class KeyCounts {
 public:
  void Note(std::uint64_t key) {
    ++cells_[Mix(key) % kCells];
    if (++total_ < kCells * 2)
      return;
    total_ = 0;
    for (int& cell : cells_)
      total_ += cell /= 2;
  }
  double Share(std::uint64_t key) const {
    // As if some other keys had been seen before: the first few counts would say too much.
    return static_cast<double>(cells_[Mix(key) % kCells]) / (total_ + kCells / 16);
  }

 private:
  static constexpr int kCells = 4096;
  std::vector<int> cells_ = std::vector<int>(kCells);
  int total_ = 0;
};

struct Tenant {
  double share = 0.0;
  double pass = 0.0;  // stride scheduling of tokens among tenants
  int tokens = 0;     // T
  int unpaid = 0;     // J, in slots
  int widest = 1;     // slots of its widest job so far
  std::deque<RequestId> held;
};

struct Worker {
  std::string name;
  WorkerEntry::State state = WorkerEntry::State::kGone;
  int kind = 0;
  int zone = 0;
  int cell = 0;
  double weight = 1.0;
  Micros since = 0;
  std::uint64_t place = 0;  // on the ring that spreads keys over workers, alike on every node
  int ours = 0;             // slots of our attempts out there
  // What is known of its present process.
  std::deque<std::uint64_t> keys;  // last sent there by us, the latest first
  double reported_free = 0.0;
  double lean = 0.0;   // slots by which it is thought freer than its peers
  int sent_since = 0;  // slots sent since that report
  Micros reported_at = -1;
  double pace = 1.0;    // running time as a multiple of the class's average
  double errors = 0.0;  // share of attempts that failed
  Micros judged_at = 0;
  Micros down_until = 0;
  Micros back_off = 0;
  Micros answered_at = 0;  // its last answer to a job, of ours or, as it told, of another's
  Micros asked_at = 0;     // whether it still answers jobs

  void NoteFree(double free, Micros now) {
    reported_free = free;
    reported_at = now;
    sent_since = 0;
  }
  bool HasKey(std::uint64_t key) const { return std::find(keys.begin(), keys.end(), key) != keys.end(); }
};

struct Kind {
  double slots = 1.0;  // of one worker: the most ever reported free
  double queue = 0.0;  // the longest ever reported: as much waits at one that is full
  double pace = 1.0;
};

struct Zone {
  double start_delay = 0.0;  // usual time from send to start at a free worker
  int failures = 0;          // to connect, in a row
  Micros down_until = 0;
};

// Free slots of a worker of so many, as near as a report lets one tell; less those spoken for by waiting
// jobs.
inline std::optional<double> FreeSlotsIn(const LoadReport& report, double slots) {
  std::optional<double> free = report.free_slots;
  if (!free && report.in_work)
    free = slots - *report.in_work;
  if (!free && report.cpu_share)
    free = slots * (1.0 - *report.cpu_share);
  if (free)
    *free -= report.waiting.value_or(0.0);
  return free;
}

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_STATE_H_
