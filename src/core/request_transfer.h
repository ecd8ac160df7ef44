// Transfers in-flight jobs between the processes of one dispatcher, as in an upgrade.
#ifndef ALDERSILL_SRC_CORE_REQUEST_TRANSFER_H_
#define ALDERSILL_SRC_CORE_REQUEST_TRANSFER_H_

#include <optional>
#include <vector>

#include "core/events.h"
#include "core/job.h"
#include "core/job_classes.h"
#include "core/reduction_context.h"
#include "core/request_table.h"

namespace aldersill {

class AttemptController;
class DispatcherInstances;

// Returns the final answer for a job from another process whose attempt was not served. No decision module
// knows the job, so this process does not retry it.
FinalAnswer AnswerToReceivedJob(const Request& request, const dispatch::ClassSettings& job_class,
                                Outcome outcome, const ReductionContext& context);

class RequestTransfer {
 public:
  RequestTransfer(ReductionContext& context, const JobClasses& classes, DispatcherInstances& dispatchers,
                  RequestTable& requests, AttemptController& attempts)
      : context_(context),
        classes_(classes),
        dispatchers_(dispatchers),
        requests_(requests),
        attempts_(attempts) {}

  // Returns the jobs of HTTP clients that were not attempted yet, or whose only open attempt was sent to a
  // worker of discovery's list.
  std::vector<InFlightJob> InFlightJobs() const;

  void Apply(const JobTransferred& transferred);
  void Apply(JobReceived&& received);

 private:
  std::optional<InFlightJob> ToInFlightJob(const Request& request) const;

  ReductionContext& context_;
  const JobClasses& classes_;
  DispatcherInstances& dispatchers_;
  RequestTable& requests_;
  AttemptController& attempts_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REQUEST_TRANSFER_H_
