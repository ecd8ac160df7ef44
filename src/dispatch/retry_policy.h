// Decides whether a further attempt of a request may start, and what its final answer may promise.
#ifndef ALDERSILL_SRC_DISPATCH_RETRY_POLICY_H_
#define ALDERSILL_SRC_DISPATCH_RETRY_POLICY_H_

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/request.h"

namespace aldersill::dispatch {

// The time before which a further attempt of the request may safely start, whatever the outcomes of its open
// attempts; 0 if none may start. Before the first attempt it is the deadline.
Micros LatestAttemptStart(const Settings& settings, const Request& request);

inline bool MayStartAttempt(const Settings& settings, const Request& request, Micros now) {
  return now < LatestAttemptStart(settings, request);
}

// Whether the request may be answered with a rejection, which promises that it may be tried elsewhere,
// instead of a failure.
bool IsRejectionSafe(const Settings& settings, const Request& request);

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_RETRY_POLICY_H_
