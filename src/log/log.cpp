#include "log/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

namespace aldersill {
namespace {

constexpr std::size_t kMaxFieldBytes = 400;

// A token bucket. Each line takes one token.
class RateLimiter {
 public:
  void Configure(const LogSettings& settings) {
    lines_per_second_ = settings.lines_per_second;
    // An increase of the burst is available immediately. A decrease removes the tokens above the new burst.
    const double growth = std::max(0.0, settings.burst - burst_);
    tokens_ = std::min<double>(settings.burst, tokens_ + growth);
    burst_ = settings.burst;
  }

  // Takes a token. Returns false if there is none.
  bool TryAcquire() {
    const Clock::time_point now = Clock::now();
    const double elapsed_seconds = std::chrono::duration<double>(now - last_refill_).count();
    tokens_ = std::min(burst_, tokens_ + lines_per_second_ * elapsed_seconds);
    last_refill_ = now;
    if (tokens_ < 1.0)
      return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  using Clock = std::chrono::steady_clock;
  double lines_per_second_ = LogSettings{}.lines_per_second;
  double burst_ = LogSettings{}.burst;
  double tokens_ = burst_;
  Clock::time_point last_refill_ = Clock::now();
};

// The state of the process-wide log.
struct LogState {
  LogState() {
    logger.set_pattern("%v");  // Write() passes complete lines.
    logger.set_level(spdlog::level::trace);
    logger.flush_on(spdlog::level::trace);
  }
  // The sink needs no lock, because only one thread writes.
  spdlog::logger logger{"aldersill", std::make_shared<spdlog::sinks::stderr_sink_st>()};
  RateLimiter& RateLimiterOf(LogBudget budget) { return rate_limiters[static_cast<std::size_t>(budget)]; }

  LogSettings settings;
  std::array<RateLimiter, 2> rate_limiters;  // indexed by LogBudget
  std::uint64_t dropped = 0;                 // number of lines dropped since the last written line
};

LogState& GlobalState() {
  static LogState state;
  return state;
}

// Indexed by LogLevel.
constexpr const char* kLevelNames[] = {"debug", "info", "warning", "error"};

// Returns the value unchanged if it is a single plain word, else in double quotes. Control characters are
// replaced by spaces, because values may come from peers.
std::string QuoteIfNeeded(std::string_view text) {
  const auto is_plain = [](unsigned char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  };
  if (!text.empty() && std::all_of(text.begin(), text.end(), is_plain))
    return std::string(text);
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += static_cast<unsigned char>(c) < ' ' || c == 0x7f ? ' ' : c;
  }
  return quoted + "\"";
}

std::string FormatText(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = fmt::format("aldersill: {} {}", kLevelNames[static_cast<int>(level)], event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}=", field.name);
    if (const auto* text = std::get_if<std::string>(&field.value)) {
      line += QuoteIfNeeded(std::string_view(*text).substr(0, kMaxFieldBytes));
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

std::string FormatJson(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const auto now = std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
  const auto micros = now.time_since_epoch().count();
  nlohmann::ordered_json line = {{"time", fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                                                      fmt::gmtime(micros / 1'000'000), micros % 1'000'000)},
                                 {"level", kLevelNames[static_cast<int>(level)]},
                                 {"event", event}};
  for (const LogField& field : fields) {
    std::visit(
        [&]<typename T>(const T& value) {
          if constexpr (std::is_same_v<T, std::string>) {
            line[std::string(field.name)] = value.substr(0, kMaxFieldBytes);
          } else {
            line[std::string(field.name)] = value;
          }
        },
        field.value);
  }
  return line.dump(-1, ' ', /*ensure_ascii=*/true, nlohmann::json::error_handler_t::replace);
}

void Write(LogState* state, LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const bool as_json = state->settings.format == LogSettings::Format::kJson;
  state->logger.info("{}", as_json ? FormatJson(level, event, fields) : FormatText(level, event, fields));
}

}  // namespace

void SetUpLog(const LogSettings& settings) {
  LogState& state = GlobalState();
  state.settings = settings;
  for (RateLimiter& limiter : state.rate_limiters)
    limiter.Configure(settings);
}

bool LogsAt(LogLevel level) { return level >= GlobalState().settings.level; }

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields, LogBudget budget) {
  LogState& state = GlobalState();
  if (!LogsAt(level))
    return;
  if (!state.RateLimiterOf(budget).TryAcquire()) {
    ++state.dropped;
    return;
  }
  if (state.dropped > 0)
    Write(&state, LogLevel::kWarning, "log_lines_dropped", {{"lines", state.dropped}});
  state.dropped = 0;
  Write(&state, level, event, fields);
}

}  // namespace aldersill
