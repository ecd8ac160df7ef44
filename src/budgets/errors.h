// The errors of the budgets. Each has a stable name for logs and alarms, and a remedy for the operator.
#ifndef ALDERSILL_SRC_BUDGETS_ERRORS_H_
#define ALDERSILL_SRC_BUDGETS_ERRORS_H_

#include <cstdint>
#include <string>

namespace aldersill::budgets {

enum class ErrorCode : std::uint8_t {
  // Refusals by QuotaClient::Take.
  kUnknown,  // no budget of that name
  kUsedUp,   // the grant is in use
  kNoGrant,  // without a grant there is only the fallback quota, and it is in use
  kNoSeat,   // no grant, and no fallback quota because the seat is above `instances`
  kLeaving,  // this instance has released its quota
  // Invalid settings.
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
  // Differences between instances.
  kSettingsDiffer,
};

// The stable name for logs and alarms, such as "budget.no_grant".
const char* Name(ErrorCode code);
// A sentence that tells the operator what to do about the error.
const char* Remedy(ErrorCode code);

struct Error {
  ErrorCode code = ErrorCode::kUnknown;
  std::string subject;  // a budget, a field ("budgets.mail.burst") or an instance
  // "NAME: SUBJECT: REMEDY", for logs.
  std::string text() const { return std::string(Name(code)) + ": " + subject + ": " + Remedy(code); }
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_ERRORS_H_
