// Tells from an attempt's outcome whether the job may have run.
#ifndef ALDERSILL_SRC_CORE_OUTCOME_H_
#define ALDERSILL_SRC_CORE_OUTCOME_H_

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill {

inline bool MayHaveRun(dispatch::Outcome outcome) {
  return outcome != dispatch::Outcome::kRejected && outcome != dispatch::Outcome::kConnectFailed &&
         outcome != dispatch::Outcome::kNotSent;
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_OUTCOME_H_
