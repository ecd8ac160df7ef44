// What a dispatcher took, did and answered, one line each, for whoever counts over many of them
// (tools/fleet_table): written at level debug only, by the rate that holds for all lines.
#ifndef ALDERSILL_SRC_LOG_TRACE_H_
#define ALDERSILL_SRC_LOG_TRACE_H_

#include "core/types.h"

namespace aldersill {

void Trace(const Event& event);
void Trace(const Effect& effect);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_LOG_TRACE_H_
