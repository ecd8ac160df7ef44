// What can be wrong with a budget, each with a code that stays and what an operator can do about it.
#ifndef ALDERSILL_SRC_BUDGETS_ERRORS_H_
#define ALDERSILL_SRC_BUDGETS_ERRORS_H_

#include <cstdint>
#include <string>

namespace aldersill::budgets {

enum class ErrorCode : std::uint8_t {
  // A refusal of one act.
  kUnknown,  // no budget of that name
  kUsedUp,   // what is granted is in use
  kNoGrant,  // only the careful share is left, and it is in use
  kNoSeat,   // no grant, and above the stated number of instances: nothing at all
  kLeaving,  // this instance gave everything back
  // Settings.
  kBadTotal,
  kBadBurst,
  kBadWindow,
  kBadLongestUse,
  kBadReserve,
  kBadInstances,
  kBadSeat,
  kBadGrant,
  kBadDrift,
  kSameName,
  // Between instances.
  kSettingsDiffer,
};

// Short, stable, for logs and alarms: "budget.no_grant".
const char* Name(ErrorCode code);
// One sentence for who has to deal with it.
const char* Remedy(ErrorCode code);

struct Error {
  ErrorCode code = ErrorCode::kUnknown;
  std::string subject;  // a budget, a field ("budgets.mail.burst") or an instance
  std::string text() const { return std::string(Name(code)) + ": " + subject + ": " + Remedy(code); }
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_ERRORS_H_
