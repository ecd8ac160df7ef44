// The requests that are open: unanswered, or answered with attempts that still run.
#ifndef ALDERSILL_SRC_CORE_REQUEST_TABLE_H_
#define ALDERSILL_SRC_CORE_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/effects.h"
#include "core/job.h"
#include "core/reduction_context.h"
#include "core/timer_key.h"

namespace aldersill {

struct Request {
  ClientRef client;
  std::shared_ptr<const Job> job;
  std::optional<DispatcherGeneration> dispatcher;  // none for a job received from another process: no retries
  std::size_t class_counter = 0;                   // index into Counters::classes
  bool may_have_run = false;                       // in another process, before the job was received here
  Micros received_at = 0;
  Micros deadline = 0;
  Micros start_by = 0;              // of a repeat: end of the window that began with the job's first run
  Micros first_run_at = 0;          // when the first attempt that may have run was sent; 0 if there is none
  bool answered = false;            // or the client has left
  std::vector<AttemptId> attempts;  // by the decision module's attempt number
  int open_attempts = 0;
};

class RequestTable {
 public:
  explicit RequestTable(ReductionContext& context) : context_(context) {}

  // Adds a request whose client waits.
  dispatch::RequestId Add(Request request);
  // Null where the request has ended. Valid until Erase().
  Request* Find(dispatch::RequestId id);
  Request& At(dispatch::RequestId id) { return requests_.at(id); }
  const Request& At(dispatch::RequestId id) const { return requests_.at(id); }
  std::optional<dispatch::RequestId> FindWaiting(const ClientRef& client) const;

  // The client is answered elsewhere or has left.
  void StopWaiting(Request& request);
  // Emits and counts the final answer; only the first one of a request counts.
  void Answer(dispatch::RequestId id, FinalAnswer answer);
  void Erase(dispatch::RequestId id) { requests_.erase(id); }

  const std::map<ClientRef, dispatch::RequestId>& waiting() const { return waiting_; }
  std::size_t size() const { return requests_.size(); }

 private:
  ReductionContext& context_;
  std::uint64_t next_request_ = 1;
  std::unordered_map<dispatch::RequestId, Request> requests_;
  std::map<ClientRef, dispatch::RequestId> waiting_;  // clients without an answer
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REQUEST_TABLE_H_
