// Remembers the ids of jobs and decides whether a request with a known id may be admitted.
#ifndef ALDERSILL_SRC_CORE_JOB_ID_REGISTRY_H_
#define ALDERSILL_SRC_CORE_JOB_ID_REGISTRY_H_

#include <cstddef>
#include <limits>
#include <list>
#include <string>
#include <unordered_map>

#include "core/job.h"
#include "core/micros.h"

namespace aldersill {

// An id names one job, whichever frontend or process receives it. There are two kinds of ids:
//
// - A one-time id is new with every request (an HTTP Req-Id). A known one comes from another client or is a
//   mistake, so it is always rejected.
// - An idempotent id stays the same across the client's retries (a Faktory jid). The repeat rule of the job's
//   class applies to a job that may have run.
//
// While a job is open, its id is rejected for requests of both kinds: a second job with the same id could be
// answered with the result of the first. The registry ignores empty ids. The number of ids of ended jobs is
// bounded: those that ended first are evicted. An open job's id is never evicted.
class JobIdRegistry {
 public:
  // At the platform's request rates, a one-time id is kept for many times the longest deadline.
  static constexpr std::size_t kMaxEndedOneTimeIds = 20'000;
  static constexpr std::size_t kMaxEndedIdempotentIds = 50'000;

  explicit JobIdRegistry(std::size_t max_ended_one_time = kMaxEndedOneTimeIds,
                         std::size_t max_ended_idempotent = kMaxEndedIdempotentIds)
      : ended_one_time_{.capacity = max_ended_one_time, .ids = {}},
        ended_idempotent_{.capacity = max_ended_idempotent, .ids = {}} {}
  // Neither copyable nor movable: entries point to the lists of ended ids.
  JobIdRegistry(const JobIdRegistry&) = delete;
  JobIdRegistry& operator=(const JobIdRegistry&) = delete;

  enum class Verdict {
    kAdmit,
    kRetryLater,  // an abandoned attempt of the job has not ended
    kReject,      // the job is open, or may have run and must not run again
  };
  static constexpr Micros kNoLimit = std::numeric_limits<Micros>::max();

  // Decides whether the job may be admitted now.
  Verdict Check(const Job& job, const dispatch::ClassSettings& job_class, Micros now) const;

  // Returns the latest time at which a job that is admitted now may start to run; it may wait in this process
  // until then. Returns kNoLimit if no job with this id may have run, or if its class is not kKeyed.
  Micros LatestStart(const Job& job, const dispatch::ClassSettings& job_class) const;

  // Marks the job's id as open until the matching Close(). A job from another process is opened without a
  // Check(), so an id may be open more than once.
  void Open(const Job& job);
  // The job's request has ended. `first_run_at`: when the first attempt that may have run was sent; 0 if
  // there was none.
  void Close(const Job& job, Micros first_run_at);
  bool IsOpen(const std::string& id) const;

  // An attempt of the job was given up at a worker that cannot be told to stop.
  void MarkAbandoned(const std::string& id);
  // One of the abandoned attempts has ended.
  void MarkAbandonedEnded(const std::string& id);

 private:
  // The ids of ended jobs, in the order of their ends. The strings are the keys of `entries_`.
  struct EndedIds {
    std::size_t capacity;
    std::list<const std::string*> ids;
  };
  struct Entry {
    int open_jobs = 0;
    bool is_one_time = false;  // a request has used it as a one-time id
    int abandoned_attempts = 0;
    Micros first_run_at = 0;                           // 0: no job with this id may have run
    EndedIds* ended = nullptr;                         // the list that holds the id; null while it is open
    std::list<const std::string*>::iterator position;  // valid if `ended` is not null
  };

  const Entry* Find(const std::string& id) const;
  static void RemoveFromEnded(Entry* entry);
  void AddToEnded(EndedIds* ended, const std::string& id, Entry* entry);

  std::unordered_map<std::string, Entry> entries_;
  EndedIds ended_one_time_;
  EndedIds ended_idempotent_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_JOB_ID_REGISTRY_H_
