#include "snmp/objects.h"

#include <algorithm>
#include <limits>

namespace aldersill::snmp {
namespace {

Gauge ToGauge(std::uint64_t value) {
  return {
      static_cast<std::uint32_t>(std::min<std::uint64_t>(value, std::numeric_limits<std::uint32_t>::max()))};
}

// In the order of dispatch::Outcome.
constexpr const char* kOutcomes[] = {"served",        "error", "full",      "timeout",
                                     "connectFailed", "lost",  "cancelled", "notSent"};

}  // namespace

ObjectMap Objects(const Counters& c) {
  ObjectMap objects;
  std::uint64_t column = 0;
  const auto scalar = [&](Value value) { objects[{1, ++column, 0}] = std::move(value); };
  scalar(ToGauge(c.open_requests));
  scalar(ToGauge(c.open_attempts));
  scalar(ToGauge(c.ready_workers));
  scalar(ToGauge(c.draining_workers));
  scalar(Counter{c.attempts_started});
  scalar(Counter{c.repeats_rejected});
  scalar(Counter{c.endpoint_list_updates});
  scalar(Counter{c.endpoint_list_failures});
  // Tables: {table, entry, column, index}.
  for (std::uint64_t i = 0; i < c.classes.size(); ++i) {
    const ClassCounters& k = c.classes[i];
    objects[{2, 1, 2, i + 1}] = k.name;
    column = 2;
    for (const std::uint64_t count :
         {k.received, k.served, k.rejected, k.failed, k.clients_left, k.served_ms})
      objects[{2, 1, ++column, i + 1}] = Counter{count};
  }
  for (std::uint64_t i = 0; i < c.attempts.size(); ++i) {
    objects[{3, 1, 2, i + 1}] = std::string(kOutcomes[i]);
    objects[{3, 1, 3, i + 1}] = Counter{c.attempts[i]};
  }
  for (const auto& [status, count] : c.rejected_by_frontend)
    objects[{7, 1, 2, static_cast<std::uint64_t>(status)}] = Counter{count};
  return objects;
}

}  // namespace aldersill::snmp
