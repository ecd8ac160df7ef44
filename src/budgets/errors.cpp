#include "budgets/errors.h"

namespace aldersill::budgets {
namespace {

struct Description {
  const char* name;
  const char* remedy;
};

Description Describe(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnknown:
      return {"budget.unknown",
              "no budget of this name is configured; compare the name with `budgets` in the settings"};
    case ErrorCode::kUsedUp:
      return {"budget.used_up",
              "this instance's share is in use; raise `whole` if that is so at all instances"};
    // The remedies of kNoGrant and kNoSeat are part of the recorded digests (tests/recorded).
    case ErrorCode::kNoGrant:
      return {"budget.no_grant",
              "no grant reaches this instance, so only its careful share is left; see who holds the duty "
              "`budgets` and whether a majority of the voters is up"};
    case ErrorCode::kNoSeat:
      return {"budget.no_seat",
              "this instance's seat is above `instances`, so it has no careful share; raise `instances` "
              "everywhere or give it a free seat"};
    case ErrorCode::kLeaving:
      return {"budget.leaving", "this instance is shutting down; send the request to another instance"};
    case ErrorCode::kBadTotal:
      return {"budget.bad_whole", "`whole` must be above 0"};
    case ErrorCode::kBadBurst:
      return {"budget.bad_burst",
              "`burst` must be at least `instances`, because each instance may have one start in its bucket"};
    case ErrorCode::kBadWindow:
      return {"budget.bad_window", "`window_ms` must be longer than `grant_ms`"};
    case ErrorCode::kBadLongestUse:
      return {"budget.bad_longest_use",
              "a level budget needs the longest time for which a slot can be in use, which is the jobs' time "
              "limit"};
    case ErrorCode::kBadReserve:
      return {"budget.bad_aside", "the fraction reserved for fallback quotas must be from 0 to 1"};
    case ErrorCode::kBadInstances:
      return {"budget.bad_instances", "the number of instances must be from 1 to 1,024"};
    case ErrorCode::kBadSeat:
      return {"budget.bad_seat", "seats are numbered from 1, and each instance needs a seat of its own"};
    case ErrorCode::kBadGrant:
      return {"budget.bad_grant", "a grant must last from 1 s to 600 s"};
    case ErrorCode::kBadDrift:
      return {"budget.bad_drift", "the maximum clock drift must be from 0 to 0.2"};
    case ErrorCode::kSameName:
      return {"budget.same_name", "two budgets have the same name"};
    case ErrorCode::kSettingsDiffer:
      return {
          "budget.settings_differ",
          "the budget settings of that instance differ from the lease holder's, so it is granted nothing; "
          "give all instances the same `budgets`, restarting one after another"};
  }
  return {"budget.unknown", ""};
}

}  // namespace

const char* Name(ErrorCode code) { return Describe(code).name; }
const char* Remedy(ErrorCode code) { return Describe(code).remedy; }

}  // namespace aldersill::budgets
