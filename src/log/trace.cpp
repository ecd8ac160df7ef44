#include "log/trace.h"

#include <string>

#include "log/log.h"

namespace aldersill {
namespace {

// By Outcome.
constexpr const char* kOutcomes[] = {"served",         "error", "full",      "timeout",
                                     "connect_failed", "lost",  "cancelled", "not_sent"};

// By Rejection::Why.
constexpr const char* kRejectionReasons[] = {"nothing_sent", "no_ready_worker", "after_attempts",
                                             "duplicate_in_flight"};

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

const char* NameOf(Failure::Why reason) {
  switch (reason) {
    case Failure::Why::kTooLate:
      return "deadline_exceeded";
    case Failure::Why::kRepeat:
      return "duplicate";
    default:
      return "failed";
  }
}

std::uint64_t NumberOf(AttemptId attempt) { return static_cast<std::uint64_t>(attempt); }

// A figure that the worker did not report is logged as -1.
double FigureOrUnknown(const std::optional<double>& figure) { return figure.value_or(-1.0); }

// Logs an event of the core; events that are not traced match the last overload.
struct EventTracer {
  void operator()(const RequestReceived& event) const {
    Log(LogLevel::kDebug, "request_received",
        {{"client", event.client.number},
         {"id", event.job.id},
         {"class", event.job.job_class},
         {"tenant", event.job.tenant},
         {"retry", event.job.is_retry},
         {"time_left_ms", event.job.time_left / kMillisecond}});
  }
  void operator()(const RequestRejectedByFrontend& event) const {
    Log(LogLevel::kDebug, "request_rejected",
        {{"frontend", event.frontend == ClientRef::Frontend::kHttp ? "http" : "faktory"},
         {"id", event.id},
         {"status", event.status},
         {"why", event.why}});
  }
  void operator()(const ClientLeft& event) const {
    Log(LogLevel::kDebug, "client_disconnected", {{"client", event.client.number}});
  }
  void operator()(const AttemptEnded& event) const {
    Log(LogLevel::kDebug, "attempt_ended",
        {{"attempt", NumberOf(event.attempt)},
         {"outcome", NameOf(event.outcome)},
         {"free", FigureOrUnknown(event.report.free_slots)},
         {"cpu", FigureOrUnknown(event.report.cpu_share)},
         {"service_ms", FigureOrUnknown(event.report.service_ms)},
         {"served_per_s", FigureOrUnknown(event.report.served_per_s)}});
  }
  void operator()(const ProbeCompleted& event) const {
    Log(LogLevel::kDebug, "probe_completed",
        {{"worker", event.worker},
         {"outcome", NameOf(event.outcome)},
         {"elapsed_ms", event.elapsed / kMillisecond},
         {"free", FigureOrUnknown(event.report.free_slots)},
         {"cpu", FigureOrUnknown(event.report.cpu_share)},
         {"service_ms", FigureOrUnknown(event.report.service_ms)},
         {"served_per_s", FigureOrUnknown(event.report.served_per_s)}});
  }
  void operator()(const EndpointListUpdate& event) const {
    for (const WorkerEndpoint& worker : event.workers) {
      Log(LogLevel::kDebug, "endpoint_list_entry",
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

// Logs an effect of the core; effects that are not traced match the last overload.
struct EffectTracer {
  void operator()(const StartAttempt& effect) const {
    Log(LogLevel::kDebug, "attempt_started",
        {{"attempt", NumberOf(effect.attempt)}, {"id", effect.job->id}, {"worker", effect.worker}});
  }
  void operator()(const StopAttempt& effect) const {
    Log(LogLevel::kDebug, "attempt_stopped", {{"attempt", NumberOf(effect.attempt)}});
  }
  void operator()(const ProbeWorker& effect) const {
    Log(LogLevel::kDebug, "probe_sent", {{"worker", effect.worker}});
  }
  void operator()(const Answer& effect) const {
    const char* result = "served";
    const char* reason = "";
    Micros retry_after = 0;
    if (const auto* rejection = std::get_if<Rejection>(&effect.answer)) {
      result = "rejected";
      reason = kRejectionReasons[static_cast<std::size_t>(rejection->why)];
      retry_after = rejection->retry_after;
    } else if (const auto* failure = std::get_if<Failure>(&effect.answer)) {
      result = NameOf(failure->why);
    }
    Log(LogLevel::kDebug, "request_answered",
        {{"client", effect.client.number},
         {"result", result},
         {"retry_after_ms", retry_after / kMillisecond},
         {"why", reason}});
  }
  void operator()(const auto& /*effect*/) const {}
};

}  // namespace

void Trace(const Event& event) {
  if (LogsAt(LogLevel::kDebug))
    std::visit(EventTracer{}, event);
}

void Trace(const Effect& effect) {
  if (LogsAt(LogLevel::kDebug))
    std::visit(EffectTracer{}, effect);
}

}  // namespace aldersill
