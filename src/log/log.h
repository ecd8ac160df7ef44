// The one way to write a log line: an event's name and typed fields, to standard error, at most so many lines
// a second. The loop's thread only.
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

struct LogSettings {
  enum class Format { kText, kJson } format = Format::kText;
  LogLevel level = LogLevel::kInfo;  // what is below it is left out
  int lines_per_second = 20;
  int burst = 100;
};

struct LogField {
  using Value = std::variant<std::int64_t, double, bool, std::string>;
  template <std::integral T>
  LogField(std::string_view n, T v) : name(n), value(static_cast<std::int64_t>(v)) {}
  LogField(std::string_view n, bool v) : name(n), value(v) {}
  LogField(std::string_view n, double v) : name(n), value(v) {}
  LogField(std::string_view n, std::string v) : name(n), value(std::move(v)) {}
  LogField(std::string_view n, const char* v) : name(n), value(std::string(v)) {}
  std::string_view name;
  Value value;
};

// Text: `aldersill: info listening name=http address=127.0.0.1:8000`. JSON: one object a line, with "time"
// (RFC 3339, UTC), "level", "event" and the fields. Lines beyond the rate are dropped; the next that gets
// through is preceded by one that tells how many were. A field longer than 400 bytes is cut.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// Whether a line of this level is written at all: spares the making of lines that nobody reads.
bool LogsAt(LogLevel level);

// Takes effect with the next line.
void SetUpLog(const LogSettings& settings);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_LOG_LOG_H_
