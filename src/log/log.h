// Structured logging. Each event with its typed fields is one line on standard error, subject to a rate
// limit. Only the event loop's thread may log.
#ifndef ALDERSILL_SRC_LOG_LOG_H_
#define ALDERSILL_SRC_LOG_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace aldersill {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// A group of log lines with a rate limit of its own. Separate limits keep lines about many failing requests
// from displacing the lines that give the cause.
enum class LogBudget {
  kProcess,   // lines about the process, its configuration and the endpoint list
  kRequests,  // lines about single requests, attempts and connections
};

struct LogSettings {
  enum class Format { kText, kJson } format = Format::kText;
  LogLevel level = LogLevel::kInfo;  // lowest level that is written
  // Rate limit of each budget.
  int lines_per_second = 20;
  int burst = 100;
};

// A named value. Its constructors are implicit, so that callers can write {{"name", value}}.
struct LogField {
  using Value = std::variant<std::int64_t, double, bool, std::string>;
  template <std::integral T>
  LogField(std::string_view field, T number) : name(field), value(static_cast<std::int64_t>(number)) {}
  LogField(std::string_view field, bool content) : name(field), value(content) {}
  LogField(std::string_view field, double content) : name(field), value(content) {}
  LogField(std::string_view field, std::string text) : name(field), value(std::move(text)) {}
  LogField(std::string_view field, const char* text) : name(field), value(std::string(text)) {}
  std::string_view name;
  Value value;
};

// Writes one line. An example of the text format is
//   aldersill: info listening name=http address=127.0.0.1:8000
// In JSON format a line is an object with "time" (RFC 3339, UTC), "level", "event" and the fields. Text
// values are truncated to 400 bytes. Lines beyond the rate limit are dropped; a line `log_lines_dropped`
// before the next written line gives their number.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {},
         LogBudget budget = LogBudget::kProcess);

// Returns whether lines of this level are written. Callers can skip building lines that are not.
bool LogsAt(LogLevel level);

// Applies the settings from the next line on.
void SetUpLog(const LogSettings& settings);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_LOG_LOG_H_
