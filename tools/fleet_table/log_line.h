// Decoding of one line of a dispatcher's log (docs/trace.md). No I/O.
#ifndef ALDERSILL_TOOLS_FLEET_TABLE_LOG_LINE_H_
#define ALDERSILL_TOOLS_FLEET_TABLE_LOG_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace aldersill::fleet_table {

// A decoded log line: an event with its fields, all values as text.
struct LogLine {
  double time = 0.0;  // seconds: the number before a text line, or the Unix time of a JSON line
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;

  // The field's value; empty if the line has no such field.
  std::string_view Text(std::string_view name) const;
  // The field's value as a number; `fallback` if it is missing or not a number.
  double Number(std::string_view name, double fallback) const;
};

// Decodes a text line preceded by a time in seconds (`12.345 aldersill: debug probe_sent worker=s-1`), or a
// JSON line as the log writes it. Lines written with the former event names are returned with the current
// ones (legacy_names.h). Returns nullopt for any other line.
std::optional<LogLine> Decode(std::string_view line);

}  // namespace aldersill::fleet_table

#endif  // ALDERSILL_TOOLS_FLEET_TABLE_LOG_LINE_H_
