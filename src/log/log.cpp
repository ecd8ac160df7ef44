#include "log/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace aldersill {
namespace {

constexpr std::size_t kMostOfField = 400;

// Lines allowed: a bucket that fills with time.
class Rate {
 public:
  void Set(const LogSettings& s) {
    per_second_ = s.lines_per_second;
    allowed_ = std::min<double>(s.burst, allowed_ + std::max(0.0, s.burst - burst_));
    burst_ = s.burst;
  }
  bool Allows() {
    const Clock::time_point now = Clock::now();
    allowed_ = std::min(burst_, allowed_ + per_second_ * std::chrono::duration<double>(now - last_).count());
    last_ = now;
    if (allowed_ < 1.0)
      return false;
    allowed_ -= 1.0;
    return true;
  }

 private:
  using Clock = std::chrono::steady_clock;
  double per_second_ = LogSettings{}.lines_per_second;
  double burst_ = LogSettings{}.burst;
  double allowed_ = burst_;
  Clock::time_point last_ = Clock::now();
};

struct State {
  State() {
    logger.set_pattern("%v");  // lines are whole as we make them
    logger.set_level(spdlog::level::trace);
    logger.flush_on(spdlog::level::trace);
  }
  // One thread writes: the unlocked sink does.
  spdlog::logger logger{"aldersill", std::make_shared<spdlog::sinks::stderr_sink_st>()};
  LogSettings settings;
  Rate rate;
  std::uint64_t dropped = 0;
};
State& TheState() {
  static State state;
  return state;
}

constexpr const char* kNames[] = {"debug", "info", "warning", "error"};

// Bare where it reads as one word, else quoted; control characters never get through, whatever a peer sent.
std::string Quoted(std::string_view text) {
  const auto plain = [](unsigned char c) { return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\'; };
  if (!text.empty() && std::all_of(text.begin(), text.end(), plain))
    return std::string(text);
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += static_cast<unsigned char>(c) < ' ' || c == 0x7f ? ' ' : c;
  }
  return out + "\"";
}

std::string AsText(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = fmt::format("aldersill: {} {}", kNames[static_cast<int>(level)], event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}=", field.name);
    if (const auto* text = std::get_if<std::string>(&field.value)) {
      line += Quoted(std::string_view(*text).substr(0, kMostOfField));
    } else {
      std::visit(
          [&]<typename T>(const T& value) {
            if constexpr (!std::is_same_v<T, std::string>)
              line += fmt::format("{}", value);
          },
          field.value);
    }
  }
  return line;
}

std::string AsJson(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const auto now = std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
  const auto micros = now.time_since_epoch().count();
  nlohmann::ordered_json line = {{"time", fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                                                      fmt::gmtime(micros / 1'000'000), micros % 1'000'000)},
                                 {"level", kNames[static_cast<int>(level)]},
                                 {"event", event}};
  for (const LogField& field : fields) {
    std::visit(
        [&]<typename T>(const T& value) {
          if constexpr (std::is_same_v<T, std::string>) {
            line[std::string(field.name)] = value.substr(0, kMostOfField);
          } else {
            line[std::string(field.name)] = value;
          }
        },
        field.value);
  }
  return line.dump(-1, ' ', /*ensure_ascii=*/true, nlohmann::json::error_handler_t::replace);
}

void Write(State* s, LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const bool json = s->settings.format == LogSettings::Format::kJson;
  s->logger.info("{}", json ? AsJson(level, event, fields) : AsText(level, event, fields));
}

}  // namespace

void SetUpLog(const LogSettings& settings) {
  State& s = TheState();
  s.settings = settings;
  s.rate.Set(settings);
}

bool LogsAt(LogLevel level) { return level >= TheState().settings.level; }

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  State& s = TheState();
  if (!LogsAt(level))
    return;
  if (!s.rate.Allows()) {
    ++s.dropped;
    return;
  }
  if (s.dropped > 0)
    Write(&s, LogLevel::kWarning, "log_lines_dropped", {{"lines", s.dropped}});
  s.dropped = 0;
  Write(&s, level, event, fields);
}

}  // namespace aldersill
