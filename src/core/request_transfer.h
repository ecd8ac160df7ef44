// The transfer of in-flight jobs between the processes of one dispatcher, as in an upgrade.
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

// The final answer for a received job whose attempt was not served. No decision module knows of the job, so
// it is not retried here.
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

  // Jobs of HTTP clients that were not attempted yet, or whose only attempt was sent to a worker of
  // discovery's list.
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
