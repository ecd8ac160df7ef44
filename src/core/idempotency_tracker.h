// Remembers jobs whose id outlives one try (a jid), so that a second push of one that may have run is held to
// its class's repeat rule. Bounded: the oldest of those not in progress are forgotten first.
#ifndef ALDERSILL_SRC_CORE_IDEMPOTENCY_TRACKER_H_
#define ALDERSILL_SRC_CORE_IDEMPOTENCY_TRACKER_H_

#include <deque>
#include <limits>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/types.h"

namespace aldersill {

class IdempotencyTracker {
 public:
  explicit IdempotencyTracker(std::size_t most = 50'000) : most_(most) {}

  enum class Verdict { kAdmit, kNotNow, kNever };
  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  // Whether a job of this id may be taken now.
  Verdict Judge(const std::string& id, const dispatch::ClassSettings& job_class, Micros now) const {
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
      return Verdict::kAdmit;
    const Entry& e = found->second;
    if (e.in_progress)
      return Verdict::kNever;  // two at once would be two attempts out at once
    const bool in_window =
        job_class.repeat == dispatch::Repeat::kKeyed && now - e.first_run < job_class.window;
    if (e.first_run != 0 && job_class.repeat != dispatch::Repeat::kRepeatable && !in_window)
      return Verdict::kNever;
    return e.abandoned_attempts > 0 ? Verdict::kNotNow : Verdict::kAdmit;
  }
  // Until when one that may be taken now may begin to run: what is taken may wait.
  Micros MayStartUntil(const std::string& id, const dispatch::ClassSettings& job_class) const {
    const auto found = jobs_.find(id);
    const bool bound =
        found != jobs_.end() && found->second.first_run != 0 && job_class.repeat == dispatch::Repeat::kKeyed;
    return bound && job_class.window < kNever - found->second.first_run
               ? found->second.first_run + job_class.window
               : kNever;
  }
  void Begin(const std::string& id) {
    Entry& e = jobs_[id];
    e.in_progress = true;
  }
  // An execution was given up on, but nothing can stop it; and it has ended after all.
  void MarkAbandoned(const std::string& id) { ++jobs_[id].abandoned_attempts; }
  void Released(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.abandoned_attempts > 0)
      --found->second.abandoned_attempts;
  }
  // `first_run`: when the first execution that may have run was handed over; 0 if none was.
  void End(const std::string& id, Micros first_run) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
      return;
    found->second.in_progress = false;
    if (found->second.first_run == 0)
      found->second.first_run = first_run;
    if (found->second.first_run == 0) {
      jobs_.erase(found);
      return;
    }
    order_.push_back(id);
    while (order_.size() > most_) {
      const auto oldest = jobs_.find(order_.front());
      order_.pop_front();
      if (oldest != jobs_.end() && !oldest->second.in_progress)
        jobs_.erase(oldest);
    }
  }

 private:
  struct Entry {
    bool in_progress = false;
    int abandoned_attempts = 0;
    Micros first_run = 0;
  };
  std::size_t most_;
  std::unordered_map<std::string, Entry> jobs_;
  std::deque<std::string> order_;
};

// Ids that are new with every request: one that comes again is somebody else's. Bounded by number, which at
// the platform's rates is many times the longest deadline.
class RecentRequestIds {
 public:
  explicit RecentRequestIds(std::size_t most = 20'000) : most_(most) {}
  // False if it was taken before.
  bool Take(const std::string& id) {
    if (!ids_.insert(id).second)
      return false;
    order_.push_back(id);
    if (order_.size() <= most_)
      return true;
    ids_.erase(order_.front());
    order_.pop_front();
    return true;
  }

 private:
  std::size_t most_;
  std::unordered_set<std::string> ids_;
  std::deque<std::string> order_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_IDEMPOTENCY_TRACKER_H_
