// Structured logging: an event with typed fields is one line on standard error, under a rate limit. For the
// thread of the event loop only.
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

// Lines share a rate limit with those of their own budget only: many requests that fail must not crowd out
// the lines that say why.
enum class LogBudget {
  kProcess,   // the process, its configuration and the endpoint list
  kRequests,  // single requests, attempts and connections
};

struct LogSettings {
  enum class Format { kText, kJson } format = Format::kText;
  LogLevel level = LogLevel::kInfo;  // the lowest that is written
  // Of each budget.
  int lines_per_second = 20;
  int burst = 100;
};

// A named value. Implicit constructors let callers write {{"name", value}}.
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

// Writes a line. Text: `aldersill: info listening name=http address=127.0.0.1:8000`. JSON: one object a line,
// with "time" (RFC 3339, UTC), "level", "event" and the fields. A field longer than 400 bytes is cut. Lines
// beyond the rate limit are dropped, and counted by a line `log_lines_dropped` before the next that is
// written.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {},
         LogBudget budget = LogBudget::kProcess);

// Whether lines of this level are written, to spare the cost of building those that are not.
bool LogsAt(LogLevel level);

// Applies from the next line on.
void SetUpLog(const LogSettings& settings);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_LOG_LOG_H_
