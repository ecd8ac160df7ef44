// Records of the requests that a dispatcher has not finished, and of their attempts. They are plain data;
// retry_policy.h decides on them.
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

// One send of a request to a worker.
struct Attempt {
  int worker = kNoWorker;    // index of the worker in the fleet
  Micros sent = 0;           // time of the send
  Micros started = 0;        // time at which the job was reported as started; 0: not reported
  bool open = true;          // whether its outcome has not been reported yet
  bool may_have_run = true;  // false once an outcome proves that the job never ran
  bool cancelled = false;    // whether a Cancel has been emitted
};

// A request that has arrived and is not finished.
struct Request {
  RequestId id{};
  int job_class = 0;                   // index into Settings::classes
  int tenant = 0;                      // index into the throttle's tenants
  int slots = 1;                       // slots of a worker that it takes while it runs
  int price = 1;                       // in tokens; k in Berger and Whitt's paper (throttle.h)
  int owed = 0;                        // tokens of the price that are still unpaid while it is buffered
  Micros arrived = 0;                  // time of the arrival
  Micros deadline = 0;                 // time at which the client stops waiting
  std::optional<std::uint64_t> key{};  // identifies data that the job needs
  std::vector<Attempt> attempts{};     // in the order of their sends
  bool ended = false;                  // whether it has its final answer, or its client is gone
  bool streaming = false;              // whether a part of the answer has been forwarded

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
  // The request of this id, or null.
  Request* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // The request of this id; throws std::out_of_range if there is none.
  Request& At(RequestId id) { return requests_.at(id); }
  Request& Add(RequestId id) {
    Request& request = requests_[id];
    request.id = id;
    return request;
  }
  void Erase(RequestId id) { requests_.erase(id); }
  // The attempt of this number if it is open, else null.
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
