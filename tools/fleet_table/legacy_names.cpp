#include "fleet_table/legacy_names.h"

#include <string>
#include <string_view>
#include <utility>

namespace aldersill::fleet_table {
namespace {

struct Renaming {
  std::string_view former;
  std::string_view current;
};

constexpr Renaming kEvents[] = {
    {"request_taken", "request_received"},  {"request_turned_away", "request_rejected"},
    {"client_left", "client_disconnected"}, {"execution_started", "attempt_started"},
    {"execution_ended", "attempt_ended"},   {"execution_stopped", "attempt_stopped"},
    {"probe_answered", "probe_completed"},  {"instance_told", "endpoint_list_entry"}};

constexpr Renaming kFields[] = {{"execution", "attempt"},
                                {"instance", "worker"},
                                {"left_ms", "time_left_ms"},
                                {"front", "frontend"},
                                {"what", "result"}};

constexpr Renaming kResults[] = {
    {"nack", "rejected"}, {"too_late", "deadline_exceeded"}, {"repeat", "duplicate"}};

template <std::size_t kCount>
void Replace(std::string* name, const Renaming (&renamings)[kCount]) {
  for (const Renaming& renaming : renamings) {
    if (*name == renaming.former) {
      *name = renaming.current;
      return;
    }
  }
}

void RenameField(LogLine* line, const Renaming& renaming) {
  const auto former = line->fields.find(renaming.former);
  if (former == line->fields.end() || line->fields.contains(renaming.current))
    return;
  auto node = line->fields.extract(former);
  node.key() = renaming.current;
  line->fields.insert(std::move(node));
}

}  // namespace

void ReplaceLegacyNames(LogLine* line) {
  Replace(&line->event, kEvents);
  for (const Renaming& renaming : kFields)
    RenameField(line, renaming);
  if (const auto result = line->fields.find("result"); result != line->fields.end())
    Replace(&result->second, kResults);
}

}  // namespace aldersill::fleet_table
