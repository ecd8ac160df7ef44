// Request ids that were seen before, and whether a job may run again under them.
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

// Remembers jobs whose id stays the same over the client's retries (a jid), so that another push of a job
// that may have run follows its class's repeat rule. Bounded: forgets the oldest jobs that are not in
// progress.
class IdempotencyTracker {
 public:
  explicit IdempotencyTracker(std::size_t capacity = 50'000) : capacity_(capacity) {}

  enum class Verdict {
    kAdmit,
    kRetryLater,  // an abandoned attempt has not ended
    kReject,      // in progress, or may have run and must not run again
  };
  static constexpr Micros kNoLimit = std::numeric_limits<Micros>::max();

  // Whether a job of this id may be admitted now.
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

  // Until when a job that is admitted now may start to run, as it may wait here. kNoLimit where nothing of
  // the id has run.
  Micros LatestStart(const std::string& id, const dispatch::ClassSettings& job_class) const {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.first_run_at == 0 ||
        job_class.repeat != dispatch::Repeat::kKeyed)
      return kNoLimit;
    const Micros first_run_at = found->second.first_run_at;
    return job_class.window < kNoLimit - first_run_at ? first_run_at + job_class.window : kNoLimit;
  }

  void MarkInProgress(const std::string& id) { jobs_[id].in_progress = true; }

  // An attempt was given up that nothing can stop; and later it has ended.
  void MarkAbandoned(const std::string& id) { ++jobs_[id].abandoned_attempts; }
  void MarkAbandonedEnded(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.abandoned_attempts > 0)
      --found->second.abandoned_attempts;
  }

  // `first_run_at`: when the first attempt that may have run was sent; 0 if there was none.
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
    ForgetOldest();
  }

 private:
  struct Entry {
    bool in_progress = false;
    int abandoned_attempts = 0;
    Micros first_run_at = 0;
  };

  void ForgetOldest() {
    while (ended_.size() > capacity_) {
      const auto oldest = jobs_.find(ended_.front());
      ended_.pop_front();
      if (oldest != jobs_.end() && !oldest->second.in_progress)
        jobs_.erase(oldest);
    }
  }

  std::size_t capacity_;
  std::unordered_map<std::string, Entry> jobs_;
  std::deque<std::string> ended_;  // ids, by the time of their ends
};

// Ids that are new with every request: a known one comes from another client, or is a mistake. Bounded by
// number, which at the platform's rates lasts many times the longest deadline.
class RecentRequestIds {
 public:
  explicit RecentRequestIds(std::size_t capacity = 20'000) : capacity_(capacity) {}

  // False if the id is known.
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
