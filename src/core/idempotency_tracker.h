// Remembers request ids and decides whether a job with a known id may run again.
#ifndef ALDERSILL_SRC_CORE_IDEMPOTENCY_TRACKER_H_
#define ALDERSILL_SRC_CORE_IDEMPOTENCY_TRACKER_H_

#include <cstddef>
#include <deque>
#include <limits>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/micros.h"

namespace aldersill {

// Remembers the jobs whose id stays the same across the client's retries (a Faktory jid), so that the repeat
// rule of the class applies when a job that may have run is pushed again. The number of ended jobs is
// bounded: the oldest ones that are not in progress are evicted.
class IdempotencyTracker {
 public:
  explicit IdempotencyTracker(std::size_t capacity = 50'000) : capacity_(capacity) {}

  enum class Verdict {
    kAdmit,
    kRetryLater,  // an abandoned attempt of the job has not ended
    kReject,      // the job is in progress, or may have run and must not run again
  };
  static constexpr Micros kNoLimit = std::numeric_limits<Micros>::max();

  // Decides whether a job with this id may be admitted now.
  Verdict Check(const std::string& id, const dispatch::ClassSettings& job_class, Micros now) const {
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
      return Verdict::kAdmit;
    const Entry& entry = found->second;
    if (entry.in_progress)
      return Verdict::kReject;  // two attempts could run at once
    const bool in_window =
        job_class.repeat == dispatch::Repeat::kKeyed && now - entry.first_run_at < job_class.window;
    if (entry.first_run_at != 0 && job_class.repeat != dispatch::Repeat::kRepeatable && !in_window)
      return Verdict::kReject;
    return entry.abandoned_attempts > 0 ? Verdict::kRetryLater : Verdict::kAdmit;
  }

  // Returns the latest time at which a job that is admitted now may start to run; it may wait in this process
  // until then. Returns kNoLimit if no job with this id may have run, or if its class is not kKeyed.
  Micros LatestStart(const std::string& id, const dispatch::ClassSettings& job_class) const {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.first_run_at == 0 ||
        job_class.repeat != dispatch::Repeat::kKeyed)
      return kNoLimit;
    const Micros first_run_at = found->second.first_run_at;
    return job_class.window < kNoLimit - first_run_at ? first_run_at + job_class.window : kNoLimit;
  }

  void MarkInProgress(const std::string& id) { jobs_[id].in_progress = true; }

  // An attempt of the job was given up at a worker that cannot be told to stop.
  void MarkAbandoned(const std::string& id) { ++jobs_[id].abandoned_attempts; }
  // One of the abandoned attempts has ended.
  void MarkAbandonedEnded(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.abandoned_attempts > 0)
      --found->second.abandoned_attempts;
  }

  // The job's request has ended. `first_run_at`: when the first attempt that may have run was sent; 0 if
  // there was none.
  void MarkEnded(const std::string& id, Micros first_run_at) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
      return;
    Entry& entry = found->second;
    entry.in_progress = false;
    if (entry.first_run_at == 0)
      entry.first_run_at = first_run_at;
    if (entry.first_run_at == 0) {
      jobs_.erase(found);
      return;
    }
    ended_.push_back(id);
    EvictOldest();
  }

 private:
  struct Entry {
    bool in_progress = false;
    int abandoned_attempts = 0;
    Micros first_run_at = 0;
  };

  void EvictOldest() {
    while (ended_.size() > capacity_) {
      const auto oldest = jobs_.find(ended_.front());
      ended_.pop_front();
      if (oldest != jobs_.end() && !oldest->second.in_progress)
        jobs_.erase(oldest);
    }
  }

  std::size_t capacity_;
  std::unordered_map<std::string, Entry> jobs_;
  std::deque<std::string> ended_;  // ids of ended jobs, in the order of their ends
};

// Remembers ids that should be new with every request: a known one comes from another client or is a mistake.
// The number of ids is bounded. At the platform's request rates, an id is kept for many times the longest
// deadline.
class RecentRequestIds {
 public:
  explicit RecentRequestIds(std::size_t capacity = 20'000) : capacity_(capacity) {}

  // Returns false if the id is already known.
  bool Insert(const std::string& id) {
    if (!ids_.insert(id).second)
      return false;
    order_.push_back(id);
    if (order_.size() <= capacity_)
      return true;
    ids_.erase(order_.front());
    order_.pop_front();
    return true;
  }

 private:
  std::size_t capacity_;
  std::unordered_set<std::string> ids_;
  std::deque<std::string> order_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_IDEMPOTENCY_TRACKER_H_
