// Admission control: Berger and Whitt's throttle, with a token bank and a job buffer for each tenant. One
// stream of tokens is divided among the tenants' banks by stride scheduling over their shares. A job is
// dispatched once its price is paid.
#ifndef ALDERSILL_SRC_DISPATCH_THROTTLE_H_
#define ALDERSILL_SRC_DISPATCH_THROTTLE_H_

#include <deque>
#include <limits>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/job_pricing.h"
#include "dispatch/rate_control.h"
#include "dispatch/request.h"
#include "dispatch/token_bank.h"

namespace aldersill::dispatch {

class Throttle {
 public:
  // What happens to a job that has just arrived: its price is paid in full; or it waits in the buffer for
  // more tokens; or it must be rejected because its price exceeds the counter of its tenant's bank.
  enum class Admission { kPaid, kBuffered, kRejected };

  Throttle(Context& context, RequestTable& requests, const RateControl& rate, const JobPricing& pricing);

  // Fills the banks to half of their capacity and starts the token stream at a random phase.
  void Begin();

  // The index of the tenant of this name; all names that the settings do not list share one.
  int TenantOf(const std::string& name) const {
    return IndexOf(tenant_names_, name, static_cast<int>(banks_.size()) - 1);
  }
  // The number of tenants, including the one for unlisted names.
  int tenants() const { return static_cast<int>(banks_.size()); }

  // Charges the tenant's bank for a job that has just arrived and buffers the job if the bank holds too few
  // tokens. AddToken or IssueToken returns a buffered job when the rest of its price is paid.
  Admission Admit(Request* request);

  // Limits how many tokens are due after a long pause. To be called before tokens are issued.
  void ForgetOldTokens();
  bool IsTokenDue() const { return next_token_ <= context_.now(); }
  // Issues the next token of the stream. Returns the job whose price it completes, which then leaves the
  // buffer, or null.
  Request* IssueToken();
  // Uses a token to pay for the tenant's first buffered job or, if none is buffered, adds it to the tenant's
  // bank. Returns the job whose price it completes, which then leaves the buffer, or null.
  Request* AddToken(int tenant);

  // The tenant's buffered jobs in the order of their arrivals.
  const std::deque<RequestId>& buffered(int tenant) const { return banks_[tenant].buffered; }
  // Whether a buffered job should be rejected now, while there is time left to run it elsewhere.
  bool IsOverdue(const Request& request) const;
  // Removes a job from the buffer if it is there. Returns the number of tokens that were paid for it.
  int RemoveFromBuffer(const Request& request);

  // Whether the tenant's bank holds the price of a further attempt.
  bool CanPay(const Request& request) const { return banks_[request.tenant].tokens >= request.price; }
  void Pay(const Request& request) { banks_[request.tenant].tokens -= request.price; }

  // The retry delay to advise to a rejected client: the time until its tenant's tokens would have paid for
  // the job, at most max_retry_after, with jitter so that clients rejected together do not return together. 0
  // if the settings do not allow advice.
  Micros RetryAfter(const Request& request);

  // Starts a timer for the next token if jobs are buffered and no such timer is running.
  void ScheduleWakeUp();

 private:
  TokenStream Stream() const { return {rate_.rate(), pricing_.mean_price(), shortest_target_}; }

  Context& context_;
  RequestTable& requests_;
  const RateControl& rate_;
  const JobPricing& pricing_;
  std::vector<TokenBank> banks_;  // by tenant; the last one is for unlisted tenants
  NameIndex tenant_names_;
  Micros shortest_target_ = std::numeric_limits<Micros>::max();  // shortest target of all classes
  Micros next_token_ = std::numeric_limits<Micros>::max();       // time at which the next token is due
  Micros wake_up_at_ = 0;                                        // time for which the last timer was started
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_THROTTLE_H_
