// Transfers in-flight jobs between the processes of one dispatcher, as in an upgrade.
#ifndef ALDERSILL_SRC_CORE_REQUEST_TRANSFER_H_
#define ALDERSILL_SRC_CORE_REQUEST_TRANSFER_H_

#include <optional>
#include <vector>

#include "core/attempt_controller.h"
#include "core/events.h"
#include "core/job.h"
#include "core/reduction_context.h"
#include "core/request_table.h"

namespace aldersill {

// Returns the final answer for a job from another process whose attempt was not served. No decision module
// knows the job, so this process does not retry it.
FinalAnswer AnswerToReceivedJob(const Request& request, const dispatch::ClassSettings& job_class,
                                const ReductionContext& context);

class RequestTransfer {
 public:
  RequestTransfer(const AttemptController::Environment& environment, AttemptController& attempts)
      : env_(environment), attempts_(attempts) {}

  // Returns the jobs of HTTP clients that were not attempted yet, or whose only open attempt was sent to a
  // worker of discovery's list.
  std::vector<InFlightJob> InFlightJobs() const;

  void Apply(const JobTransferred& transferred);
  void Apply(JobReceived&& received);

 private:
  std::optional<InFlightJob> ToInFlightJob(const Request& request) const;

  AttemptController::Environment env_;
  AttemptController& attempts_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REQUEST_TRANSFER_H_
