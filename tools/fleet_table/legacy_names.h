// Compatibility with logs written before events and fields were renamed (docs/operations.md, "Log events").
#ifndef ALDERSILL_TOOLS_FLEET_TABLE_LEGACY_NAMES_H_
#define ALDERSILL_TOOLS_FLEET_TABLE_LEGACY_NAMES_H_

#include "fleet_table/log_line.h"

namespace aldersill::fleet_table {

// Replaces the former names of the trace's events, fields and results by the current ones. A line that has
// the current names is left as it is.
void ReplaceLegacyNames(LogLine* line);

}  // namespace aldersill::fleet_table

#endif  // ALDERSILL_TOOLS_FLEET_TABLE_LEGACY_NAMES_H_
