// State that the parts of the reducer share: settings, counters, and the time and effects of the current
// event.
#ifndef ALDERSILL_SRC_CORE_REDUCTION_CONTEXT_H_
#define ALDERSILL_SRC_CORE_REDUCTION_CONTEXT_H_

#include <utility>
#include <vector>

#include "core/counters.h"
#include "core/effects.h"
#include "core/settings.h"

namespace aldersill {

// Owned by the reducer, which outlives its parts.
struct ReductionContext {
  CoreSettings settings;
  Counters counters;
  Micros now = 0;                          // time of the current event; never decreases
  std::vector<Effect>* effects = nullptr;  // the caller's list for the current event

  void Emit(Effect effect) { effects->push_back(std::move(effect)); }
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_REDUCTION_CONTEXT_H_
