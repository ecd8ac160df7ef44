// The time until which the endpoint list may be used for new jobs, and the rule that sets it.
#ifndef ALDERSILL_SRC_HTTP_LIST_VALIDITY_H_
#define ALDERSILL_SRC_HTTP_LIST_VALIDITY_H_

#include <string_view>

#include "core/micros.h"

namespace aldersill {

// The rule that ends the list's validity: why a change that is not in the list may count as notified.
enum class ValidityBound {
  kInitialList,      // no poll has been sent since the start or the move
  kOpenWatch,        // the watch may have fallen silent as soon as its last poll was sent
  kPollInterval,     // no watch is open, and the poll interval has passed since the last poll
  kAgentPoll,        // the agent on this machine has to be polled again
  kAgentFailure,     // the agent has not answered since a failed poll
  kCachedList,       // the list is from an earlier process
  kPreviousAddress,  // discovery has moved, and the list from its previous address was valid until then
  kReload,           // a reload, a fixed time after which all changes that discovery holds count as notified
  kFailedPoll,       // a poll has failed, was refused or was abandoned since the last answer
};

struct ListValidity {
  Micros until = 0;
  ValidityBound bound = ValidityBound::kInitialList;
};

// The validity that ends first.
constexpr ListValidity Earlier(const ListValidity& a, const ListValidity& b) {
  return b.until < a.until ? b : a;
}

// The rule's name in the log.
constexpr std::string_view NameOf(ValidityBound bound) {
  switch (bound) {
    case ValidityBound::kInitialList:
      return "initial_list";
    case ValidityBound::kOpenWatch:
      return "open_watch";
    case ValidityBound::kPollInterval:
      return "poll_interval";
    case ValidityBound::kAgentPoll:
      return "agent_poll";
    case ValidityBound::kAgentFailure:
      return "agent_failure";
    case ValidityBound::kCachedList:
      return "cached_list";
    case ValidityBound::kPreviousAddress:
      return "previous_address";
    case ValidityBound::kReload:
      return "reload";
    case ValidityBound::kFailedPoll:
      return "failed_poll";
  }
  return "unknown";
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_LIST_VALIDITY_H_
