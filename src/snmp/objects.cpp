#include "snmp/objects.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace aldersill::snmp {
namespace {

// The subtrees below the MIB's root (mibs/ALDERSILL-MIB.txt).
constexpr std::uint64_t kScalars = 1;
constexpr std::uint64_t kClassTable = 2;
constexpr std::uint64_t kOutcomeTable = 3;
constexpr std::uint64_t kRejectionTable = 7;
constexpr std::uint64_t kEntry = 1;
// Column 1 of each table is its index, which is not accessible.
constexpr std::uint64_t kFirstColumn = 2;

// Indexed by Outcome.
constexpr const char* kOutcomes[] = {"served",        "error", "full",      "timeout",
                                     "connectFailed", "lost",  "cancelled", "notSent"};

// Limits the value to the maximum of a Gauge32.
Gauge ToGauge(std::uint64_t value) {
  constexpr std::uint64_t max_gauge = std::numeric_limits<std::uint32_t>::max();
  return {static_cast<std::uint32_t>(std::min(value, max_gauge))};
}

// Adds the cells of one row of a table, from its first readable column on.
void AddRow(std::uint64_t table, std::uint64_t index, std::vector<Value> cells, ObjectMap* objects) {
  std::uint64_t column = kFirstColumn;
  for (Value& cell : cells)
    (*objects)[{table, kEntry, column++, index}] = std::move(cell);
}

void AddScalars(const Counters& counters, ObjectMap* objects) {
  const Value scalars[] = {ToGauge(counters.open_requests),         ToGauge(counters.open_attempts),
                           ToGauge(counters.ready_workers),         ToGauge(counters.draining_workers),
                           Counter{counters.attempts_started},      Counter{counters.repeats_rejected},
                           Counter{counters.endpoint_list_updates}, Counter{counters.endpoint_list_failures},
                           Counter{counters.cancellations_refused}, Counter{counters.late_acknowledgements}};
  std::uint64_t number = 0;
  for (const Value& scalar : scalars)
    (*objects)[{kScalars, ++number, 0}] = scalar;
}

void AddClassTable(const Counters& counters, ObjectMap* objects) {
  std::uint64_t index = 0;
  for (const ClassCounters& job_class : counters.classes) {
    AddRow(
        kClassTable, ++index,
        {job_class.name, Counter{job_class.received}, Counter{job_class.served}, Counter{job_class.rejected},
         Counter{job_class.failed}, Counter{job_class.clients_left}, Counter{job_class.served_ms}},
        objects);
  }
}

void AddOutcomeTable(const Counters& counters, ObjectMap* objects) {
  for (std::size_t i = 0; i < counters.attempts.size(); ++i)
    AddRow(kOutcomeTable, i + 1, {std::string(kOutcomes[i]), Counter{counters.attempts[i]}}, objects);
}

// The table is indexed by HTTP status.
void AddRejectionTable(const Counters& counters, ObjectMap* objects) {
  for (const auto& [status, count] : counters.rejected_by_frontend)
    AddRow(kRejectionTable, static_cast<std::uint64_t>(status), {Counter{count}}, objects);
}

}  // namespace

ObjectMap Objects(const Counters& counters) {
  ObjectMap objects;
  AddScalars(counters, &objects);
  AddClassTable(counters, &objects);
  AddOutcomeTable(counters, &objects);
  AddRejectionTable(counters, &objects);
  return objects;
}

}  // namespace aldersill::snmp
