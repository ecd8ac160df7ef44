// Admits requests, and ends those that no attempt ends: repeats, rejections, failures and clients that leave.
#ifndef ALDERSILL_SRC_CORE_REQUEST_LIFECYCLE_H_
#define ALDERSILL_SRC_CORE_REQUEST_LIFECYCLE_H_

#include "core/attempt_controller.h"
#include "core/dispatcher_instances.h"
#include "core/events.h"
#include "core/idempotency_tracker.h"
#include "core/job_classes.h"
#include "core/reduction_context.h"
#include "core/request_table.h"

namespace aldersill {

class RequestLifecycle {
 public:
  explicit RequestLifecycle(const AttemptController::Environment& environment, AttemptController& attempts)
      : env_(environment), attempts_(attempts) {}

  void Apply(RequestReceived&& received);
  void Apply(const RequestRejectedByFrontend& rejected);
  void Apply(const ClientLeft& left);

  // The decision module's final answers. Both ignore a request that has ended.
  void Reject(const dispatch::Reject& rejection);
  void Fail(const dispatch::Fail& failure);

 private:
  using Verdict = IdempotencyTracker::Verdict;

  // Decides whether a request with a known id may be admitted.
  Verdict CheckRepeat(const Job& job, const dispatch::ClassSettings& job_class);
  void AnswerRepeat(const RequestReceived& received, Verdict verdict, ClassCounters& counters);
  void Admit(RequestReceived&& received, const JobClasses::JobClass& job_class);

  AttemptController::Environment env_;
  AttemptController& attempts_;
  RecentRequestIds recent_ids_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REQUEST_LIFECYCLE_H_
