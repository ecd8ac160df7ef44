#include "log/trace.h"

#include <string>

#include "log/log.h"

namespace aldersill {
namespace {

// Indexed by Outcome.
constexpr const char* kOutcomes[] = {"served",         "error", "full",      "timeout",
                                     "connect_failed", "lost",  "cancelled", "not_sent"};

// Indexed by Rejection::Reason.
constexpr const char* kRejectionReasons[] = {"nothing_sent",        "no_ready_worker", "after_attempts",
                                             "duplicate_in_flight", "draining",        "read_too_late"};

const char* NameOf(Outcome outcome) { return kOutcomes[static_cast<std::size_t>(outcome)]; }

const char* NameOf(WorkerEndpoint::State state) {
  switch (state) {
    case WorkerEndpoint::State::kReady:
      return "ready";
    case WorkerEndpoint::State::kDraining:
      return "draining";
    default:
      return "gone";
  }
}

const char* NameOf(Failure::Reason reason) {
  switch (reason) {
    case Failure::Reason::kTooLate:
      return "deadline_exceeded";
    case Failure::Reason::kRepeat:
      return "duplicate";
    default:
      return "failed";
  }
}

const char* NameOf(StopAttempt::Reason reason) {
  using Reason = StopAttempt::Reason;
  switch (reason) {
    case Reason::kRequestAnswered:
      return "request_answered_or_left";
    case Reason::kWorkerUnavailable:
      return "worker_unavailable";
    case Reason::kListExpired:
      return "endpoint_list_expired";
    case Reason::kNotConnectedInTime:
      return "not_connected_in_time";
    case Reason::kStartWindowOver:
      return "start_window_over";
    case Reason::kDeadline:
      return "deadline_exceeded";
    case Reason::kDispatchModule:
      return "dispatch_module";
  }
  return "unknown";
}

std::uint64_t NumberOf(AttemptId attempt) { return static_cast<std::uint64_t>(attempt); }

// A value that the worker did not report is logged as -1.
double ValueOrUnknown(const std::optional<double>& value) { return value.value_or(-1.0); }

// Retries, failures, rejections and stops are logged at level info, everything else at level debug.
LogLevel LevelOf(const AttemptEnded& event) {
  return event.outcome == Outcome::kServed ? LogLevel::kDebug : LogLevel::kInfo;
}
LogLevel LevelOf(const StartAttempt& effect) {
  return effect.attempt_number == 0 ? LogLevel::kDebug : LogLevel::kInfo;
}
LogLevel LevelOf(const StopAttempt& /*effect*/) { return LogLevel::kInfo; }
LogLevel LevelOf(const Answer& effect) {
  return std::holds_alternative<Served>(effect.answer) ? LogLevel::kDebug : LogLevel::kInfo;
}
LogLevel LevelOf(const auto& /*event_or_effect*/) { return LogLevel::kDebug; }

void LogTrace(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  Log(level, event, fields, LogBudget::kRequests);
}

// Logs an event of the core. Events that are not logged match the last overload.
struct EventTracer {
  void operator()(const RequestReceived& event) const {
    LogTrace(LogLevel::kDebug, "request_received",
             {{"client", event.client.number},
              {"id", event.job.id},
              {"class", event.job.job_class},
              {"tenant", event.job.tenant},
              {"retry", event.job.is_retry},
              {"time_left_ms", event.job.time_left / kMillisecond}});
  }
  void operator()(const RequestRejectedByFrontend& event) const {
    LogTrace(LogLevel::kDebug, "request_rejected",
             {{"frontend", event.frontend == ClientRef::Frontend::kHttp ? "http" : "faktory"},
              {"id", event.id},
              {"status", event.status},
              {"why", event.reason}});
  }
  void operator()(const ClientLeft& event) const {
    LogTrace(LogLevel::kDebug, "client_disconnected", {{"client", event.client.number}});
  }
  void operator()(const AttemptEnded& event) const {
    LogTrace(LevelOf(event), "attempt_ended",
             {{"attempt", NumberOf(event.attempt)},
              {"outcome", NameOf(event.outcome)},
              {"why", event.reason},
              {"free", ValueOrUnknown(event.report.free_slots)},
              {"cpu", ValueOrUnknown(event.report.cpu_share)},
              {"service_ms", ValueOrUnknown(event.report.service_ms)},
              {"served_per_s", ValueOrUnknown(event.report.served_per_s)}});
  }
  void operator()(const ProbeCompleted& event) const {
    LogTrace(LogLevel::kDebug, "probe_completed",
             {{"worker", event.worker},
              {"outcome", NameOf(event.outcome)},
              {"elapsed_ms", event.elapsed / kMillisecond},
              {"free", ValueOrUnknown(event.report.free_slots)},
              {"cpu", ValueOrUnknown(event.report.cpu_share)},
              {"service_ms", ValueOrUnknown(event.report.service_ms)},
              {"served_per_s", ValueOrUnknown(event.report.served_per_s)}});
  }
  void operator()(const EndpointListUpdate& event) const {
    for (const WorkerEndpoint& worker : event.workers) {
      LogTrace(LogLevel::kDebug, "endpoint_list_entry",
               {{"worker", worker.name},
                {"state", NameOf(worker.state)},
                {"zone", worker.zone},
                {"kind", worker.kind},
                {"weight", worker.weight},
                {"started_ms", worker.started / kMillisecond}});
    }
  }
  void operator()(const auto& /*event*/) const {}
};

// Logs an effect of the core. Effects that are not logged match the last overload.
struct EffectTracer {
  void operator()(const StartAttempt& effect) const {
    LogTrace(LevelOf(effect), "attempt_started",
             {{"attempt", NumberOf(effect.attempt)},
              {"number", effect.attempt_number},
              {"id", effect.job->id},
              {"worker", effect.worker}});
  }
  void operator()(const StopAttempt& effect) const {
    LogTrace(LevelOf(effect), "attempt_stopped",
             {{"attempt", NumberOf(effect.attempt)}, {"why", NameOf(effect.reason)}});
  }
  void operator()(const ProbeWorker& effect) const {
    LogTrace(LogLevel::kDebug, "probe_sent", {{"worker", effect.worker}});
  }
  void operator()(const Answer& effect) const {
    const char* result = "served";
    const char* reason = "";
    Micros retry_after = 0;
    if (const auto* rejection = std::get_if<Rejection>(&effect.answer)) {
      result = "rejected";
      reason = kRejectionReasons[static_cast<std::size_t>(rejection->reason)];
      retry_after = rejection->retry_after;
    } else if (const auto* failure = std::get_if<Failure>(&effect.answer)) {
      result = NameOf(failure->reason);
    }
    LogTrace(LevelOf(effect), "request_answered",
             {{"client", effect.client.number},
              {"id", effect.request_id},
              {"result", result},
              {"retry_after_ms", retry_after / kMillisecond},
              {"why", reason}});
  }
  void operator()(const auto& /*effect*/) const {}
};

}  // namespace

void Trace(const Event& event) {
  std::visit(
      [](const auto& typed) {
        if (LogsAt(LevelOf(typed)))
          EventTracer{}(typed);
      },
      event);
}

void Trace(const Effect& effect) {
  std::visit(
      [](const auto& typed) {
        if (LogsAt(LevelOf(typed)))
          EffectTracer{}(typed);
      },
      effect);
}

}  // namespace aldersill
