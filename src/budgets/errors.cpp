#include "budgets/errors.h"

namespace aldersill::budgets {
namespace {

struct Words {
  const char* name;
  const char* remedy;
};

Words Of(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnknown:
      return {"budget.unknown", "no such budget here; compare the name with `budgets` in the settings"};
    case ErrorCode::kUsedUp:
      return {"budget.used_up", "this instance's part is in use; raise the whole if it is so everywhere"};
    case ErrorCode::kNoGrant:
      return {"budget.no_grant",
              "no grant reaches this instance, so only its careful share is left; see who holds the duty "
              "`budgets` and whether a majority of the voters is up"};
    case ErrorCode::kNoSeat:
      return {"budget.no_seat",
              "this instance's seat is above `instances`, so it has no careful share; raise `instances` "
              "everywhere or give it a free seat"};
    case ErrorCode::kLeaving:
      return {"budget.leaving", "this instance is about to end; send the request to another"};
    case ErrorCode::kBadTotal:
      return {"budget.bad_whole", "the whole must be above 0"};
    case ErrorCode::kBadBurst:
      return {"budget.bad_burst", "the burst must be at least `instances`: each may have one start in hand"};
    case ErrorCode::kBadWindow:
      return {"budget.bad_window", "the window must be longer than a grant"};
    case ErrorCode::kBadLongestUse:
      return {"budget.bad_longest_use",
              "a level needs the longest time for which a slot can be in use: the jobs' own time limit"};
    case ErrorCode::kBadReserve:
      return {"budget.bad_aside", "the part kept aside must be from 0 to 1"};
    case ErrorCode::kBadInstances:
      return {"budget.bad_instances", "the number of instances must be from 1 to 1,024"};
    case ErrorCode::kBadSeat:
      return {"budget.bad_seat", "seats are numbered from 1, each given to one instance"};
    case ErrorCode::kBadGrant:
      return {"budget.bad_grant", "a grant must last from 1 s to 600 s"};
    case ErrorCode::kBadDrift:
      return {"budget.bad_drift", "the drift of a clock must be from 0 to 0.2"};
    case ErrorCode::kSameName:
      return {"budget.same_name", "two budgets have one name"};
    case ErrorCode::kSettingsDiffer:
      return {"budget.settings_differ",
              "that instance's budgets are not the same as the holder's, so it is granted nothing; give all "
              "instances the same `budgets`, restarting one after another"};
  }
  return {"budget.unknown", ""};
}

}  // namespace

const char* Name(ErrorCode code) { return Of(code).name; }
const char* Remedy(ErrorCode code) { return Of(code).remedy; }

}  // namespace aldersill::budgets
