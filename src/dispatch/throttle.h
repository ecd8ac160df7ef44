// Admission: Berger and Whitt's token-bank throttle with job buffer for each tenant. One stream of tokens is
// divided among the tenants' banks by stride scheduling over their shares; a job is dispatched once its price
// is paid.
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
  enum class Admission { kPaid, kBuffered, kRejected };

  Throttle(Context& context, RequestTable& requests, const RateControl& rate, const JobPricing& pricing);

  // Fills the banks by half and starts the token stream at a random phase.
  void Begin();

  // The bank of a tenant of this name; unlisted names share one.
  int TenantOf(const std::string& name) const {
    return IndexOf(tenant_names_, name, static_cast<int>(banks_.size()) - 1);
  }
  int tenants() const { return static_cast<int>(banks_.size()); }

  // Charges the bank for a job that has just arrived. A buffered job is returned later by AddToken or
  // IssueToken.
  Admission Admit(Request* request);

  // To be called before issuing tokens: bounds how many are owed after a long pause.
  void ForgetOldTokens();
  bool IsTokenDue() const { return next_token_ <= context_.now(); }
  // Issues the next token of the stream; returns the job that it finished paying for, or null.
  Request* IssueToken();
  // Adds a token to one tenant's bank or, where jobs are buffered, pays with it for the first; returns the
  // job that it finished paying for, or null.
  Request* AddToken(int tenant);

  const std::deque<RequestId>& buffered(int tenant) const { return banks_[tenant].buffered; }
  // Whether a buffered job should be rejected now, while there is time left to run it elsewhere.
  bool IsOverdue(const Request& request) const;
  // Removes a job from the buffer, if it is there; returns how many tokens were paid for it.
  int RemoveFromBuffer(const Request& request);

  bool CanPay(const Request& request) const { return banks_[request.tenant].tokens >= request.price; }
  void Pay(const Request& request) { banks_[request.tenant].tokens -= request.price; }

  // Advice for a rejected client: when its tenant's tokens will have paid for the job, with jitter so that
  // clients rejected together do not return together. 0 if the settings ask for no advice.
  Micros RetryAfter(const Request& request);

  // Starts a timer for the next token while jobs are buffered.
  void ScheduleWakeUp();

 private:
  TokenStream Stream() const { return {rate_.rate(), pricing_.mean_price(), shortest_target_}; }

  Context& context_;
  RequestTable& requests_;
  const RateControl& rate_;
  const JobPricing& pricing_;
  std::vector<TokenBank> banks_;  // by tenant; the last is that of unlisted ones
  NameIndex tenant_names_;
  Micros shortest_target_ = std::numeric_limits<Micros>::max();  // of all classes
  Micros next_token_ = std::numeric_limits<Micros>::max();
  Micros wake_up_at_ = 0;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_THROTTLE_H_
