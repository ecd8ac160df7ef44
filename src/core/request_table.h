// The open requests: those without an answer, and answered ones whose attempts still run.
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
  // Empty for a job from another process, which is not retried.
  std::optional<DispatcherGeneration> dispatcher;
  std::size_t class_counter = 0;  // index into Counters::classes
  Micros received_at = 0;
  Micros deadline = 0;
  Micros start_by = 0;       // latest start of a repeat: end of the window that began with the first run
  Micros first_run_at = 0;   // when the first attempt that may have run was sent; 0 if there is none
  bool answered = false;     // the request needs no answer from this process any longer
  bool transferred = false;  // another process has taken over the job and answers its client
  std::vector<AttemptId> attempts;  // indexed by the decision module's attempt number
  int open_attempts = 0;
};

class RequestTable {
 public:
  explicit RequestTable(ReductionContext& context) : context_(context) {}

  // Adds a request whose client waits for an answer.
  dispatch::RequestId Add(Request request);
  // Returns null if the request has ended. The pointer is valid until Erase().
  Request* Find(dispatch::RequestId id);
  Request& At(dispatch::RequestId id) { return requests_.at(id); }
  const Request& At(dispatch::RequestId id) const { return requests_.at(id); }
  // Returns the request of a client that has no answer yet.
  std::optional<dispatch::RequestId> FindWaiting(const ClientRef& client) const;

  // Marks the request as answered without emitting an answer, for example because its client has left.
  void StopWaiting(Request& request);
  // Emits and counts the final answer. Ignores all but the first answer of a request.
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
