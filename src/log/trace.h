// Tracing: log lines of the core's events and effects (docs/trace.md), to be counted over many dispatchers by
// tools/fleet_table. At level debug all of them; at level info each failure, retry, rejection and stop with
// its reason. The log's rate limit for single requests applies.
#ifndef ALDERSILL_SRC_LOG_TRACE_H_
#define ALDERSILL_SRC_LOG_TRACE_H_

#include "core/types.h"

namespace aldersill {

void Trace(const Event& event);
void Trace(const Effect& effect);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_LOG_TRACE_H_
