// The report that fleet_table prints.
#ifndef ALDERSILL_TOOLS_FLEET_TABLE_REPORT_H_
#define ALDERSILL_TOOLS_FLEET_TABLE_REPORT_H_

#include <cstddef>

#include "fleet_table/totals.h"

namespace aldersill::fleet_table {

// Prints the table to standard output. `max_items` limits the list of cold workers and that of unanswered
// requests.
void PrintReport(const Table& table, const Settings& settings, std::size_t max_items);

}  // namespace aldersill::fleet_table

#endif  // ALDERSILL_TOOLS_FLEET_TABLE_REPORT_H_
