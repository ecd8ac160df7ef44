// Logs the core's events and effects (docs/trace.md). tools/fleet_table counts these lines over many
// dispatchers. Level debug includes all of them; level info includes each failure, retry, rejection and stop,
// with its reason. The lines count against LogBudget::kRequests.
#ifndef ALDERSILL_SRC_LOG_TRACE_H_
#define ALDERSILL_SRC_LOG_TRACE_H_

#include "core/types.h"

namespace aldersill {

void Trace(const Event& event);
void Trace(const Effect& effect);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_LOG_TRACE_H_
