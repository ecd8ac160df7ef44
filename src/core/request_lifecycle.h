// Admits requests, and ends those that no attempt ends: repeats, rejections, failures and clients that leave.
#ifndef ALDERSILL_SRC_CORE_REQUEST_LIFECYCLE_H_
#define ALDERSILL_SRC_CORE_REQUEST_LIFECYCLE_H_

#include "core/attempt_controller.h"
#include "core/dispatcher_instances.h"
#include "core/events.h"
#include "core/job_classes.h"
#include "core/job_id_registry.h"
#include "core/reduction_context.h"
#include "core/request_table.h"

namespace aldersill {

class RequestLifecycle {
 public:
  explicit RequestLifecycle(const AttemptController::Environment& environment, AttemptController& attempts)
      : env_(environment), attempts_(attempts) {}

  // Admits the request or answers it.
  void Apply(RequestReceived&& received);
  void Apply(const RequestRejectedByFrontend& rejected);
  void Apply(const ClientLeft& left);

  // The decision module's final answers. Both ignore a request that has ended.
  void Reject(const dispatch::Reject& rejection);
  void Fail(const dispatch::Fail& failure);

 private:
  void AdmitOrAnswer(RequestReceived&& received);

  using Verdict = JobIdRegistry::Verdict;

  void AnswerRepeat(const RequestReceived& received, Verdict verdict, ClassCounters& counters);
  void RejectUnadmitted(const RequestReceived& received, const Rejection& rejection, ClassCounters& counters);
  void Admit(RequestReceived&& received, const JobClasses::JobClass& job_class);

  AttemptController::Environment env_;
  AttemptController& attempts_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REQUEST_LIFECYCLE_H_
