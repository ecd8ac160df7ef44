// Records of the requests that a dispatcher has not finished, and of their attempts. Plain data;
// retry_policy.h decides on it.
#ifndef ALDERSILL_SRC_DISPATCH_REQUEST_H_
#define ALDERSILL_SRC_DISPATCH_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/constants.h"

namespace aldersill::dispatch {

struct Attempt {
  int worker = kNoWorker;  // its index in the fleet
  Micros sent = 0;
  Micros started = 0;        // 0: not known to have started
  bool open = true;          // its outcome is still to come
  bool may_have_run = true;  // until an outcome proves that it never ran
  bool cancelled = false;    // a Cancel has been emitted
};

struct Request {
  RequestId id{};
  int job_class = 0;  // index into Settings::classes
  int tenant = 0;     // index into the throttle's tenants
  int slots = 1;      // of a worker, while it runs
  int price = 1;      // in tokens: the paper's k
  int owed = 0;       // tokens of the price that are still to be paid while it is buffered
  Micros arrived = 0;
  Micros deadline = 0;
  std::optional<std::uint64_t> key{};
  std::vector<Attempt> attempts{};  // in the order of their sends
  bool ended = false;               // it has its final answer, or its client is gone
  bool streaming = false;           // a part of the answer has been forwarded

  bool HasOpenAttempt() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.open; });
  }
  bool HasStarted() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.started != 0; });
  }
  // The worker of the first attempt that may have run, or kNoWorker.
  int FirstWorkerThatMayHaveRun() const {
    for (const Attempt& attempt : attempts) {
      if (attempt.may_have_run)
        return attempt.worker;
    }
    return kNoWorker;
  }
};

// The unfinished requests by id. It is never iterated, so the order of the hash table has no effect.
class RequestTable {
 public:
  bool Contains(RequestId id) const { return requests_.contains(id); }
  // Null if there is none.
  Request* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  Request& At(RequestId id) { return requests_.at(id); }
  Request& Add(RequestId id) {
    Request& request = requests_[id];
    request.id = id;
    return request;
  }
  void Erase(RequestId id) { requests_.erase(id); }
  // The open attempt of this number, or null.
  Attempt* FindOpenAttempt(RequestId id, int attempt_number) {
    Request* request = Find(id);
    if (request == nullptr || attempt_number < 0 || attempt_number >= std::ssize(request->attempts))
      return nullptr;
    Attempt& attempt = request->attempts[attempt_number];
    return attempt.open ? &attempt : nullptr;
  }

 private:
  std::unordered_map<RequestId, Request> requests_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_REQUEST_H_
