// One line of a dispatcher's trace (docs/trace.md), decoded once. Pure.
#ifndef ALDERSILL_TOOLS_FLEET_TABLE_LOG_LINE_H_
#define ALDERSILL_TOOLS_FLEET_TABLE_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace aldersill::fleet_table {

struct LogLine {
  double at = 0.0;  // seconds, by whatever clock stood before the line or in its "time"
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;

  std::string_view Text(std::string_view name) const;  // empty if it has no such field
  double Number(std::string_view name, double otherwise) const;
};

// A text line after a time in seconds (`12.345 aldersill: debug probe_sent instance=s-1`), or a JSON line as
// the log writes it. Nothing for any other line.
std::optional<LogLine> Decode(std::string_view line);

}  // namespace aldersill::fleet_table

#endif  // ALDERSILL_TOOLS_FLEET_TABLE_LOG_LINE_H_
