#include "log/trace.h"

#include <string>

#include "log/log.h"

namespace aldersill {
namespace {

constexpr const char* kOutcomes[] = {"served",         "error", "full",      "timeout",
                                     "connect_failed", "lost",  "cancelled", "not_sent"};

// In the order of Nack::Why.
constexpr const char* kRefusals[] = {"nothing_sent", "no_ready_worker", "after_attempts",
                                     "duplicate_in_flight"};

const char* Name(Outcome outcome) { return kOutcomes[static_cast<std::size_t>(outcome)]; }

// A figure that was not told is -1.
double Told(const std::optional<double>& figure) { return figure.value_or(-1.0); }

struct EventLines {
  void operator()(const RequestReceived& e) const {
    Log(LogLevel::kDebug, "request_received",
        {{"client", e.client.number},
         {"id", e.job.id},
         {"class", e.job.job_class},
         {"tenant", e.job.tenant},
         {"retry", e.job.is_retry},
         {"time_left_ms", e.job.time_left / kMillisecond}});
  }
  void operator()(const RequestRejectedByFrontend& e) const {
    Log(LogLevel::kDebug, "request_rejected",
        {{"frontend", e.frontend == ClientRef::Frontend::kHttp ? "http" : "faktory"},
         {"id", e.id},
         {"status", e.status},
         {"why", e.why}});
  }
  void operator()(const ClientLeft& e) const {
    Log(LogLevel::kDebug, "client_disconnected", {{"client", e.client.number}});
  }
  void operator()(const AttemptEnded& e) const {
    Log(LogLevel::kDebug, "attempt_ended",
        {{"attempt", static_cast<std::uint64_t>(e.attempt)},
         {"outcome", Name(e.outcome)},
         {"free", Told(e.report.free_slots)},
         {"cpu", Told(e.report.cpu_share)},
         {"service_ms", Told(e.report.service_ms)},
         {"served_per_s", Told(e.report.served_per_s)}});
  }
  void operator()(const ProbeCompleted& e) const {
    Log(LogLevel::kDebug, "probe_completed",
        {{"worker", e.worker},
         {"outcome", Name(e.outcome)},
         {"elapsed_ms", e.elapsed / kMillisecond},
         {"free", Told(e.report.free_slots)},
         {"cpu", Told(e.report.cpu_share)},
         {"service_ms", Told(e.report.service_ms)},
         {"served_per_s", Told(e.report.served_per_s)}});
  }
  void operator()(const EndpointListUpdate& e) const {
    for (const WorkerEndpoint& i : e.workers) {
      Log(LogLevel::kDebug, "endpoint_list_entry",
          {{"worker", i.name},
           {"state", i.state == WorkerEndpoint::State::kReady      ? "ready"
                     : i.state == WorkerEndpoint::State::kDraining ? "draining"
                                                                   : "gone"},
           {"zone", i.zone},
           {"kind", i.kind},
           {"weight", i.weight},
           {"started_ms", i.started / kMillisecond}});
    }
  }
  void operator()(const auto&) const {}
};

struct EffectLines {
  void operator()(const StartAttempt& e) const {
    Log(LogLevel::kDebug, "attempt_started",
        {{"attempt", static_cast<std::uint64_t>(e.attempt)}, {"id", e.job->id}, {"worker", e.worker}});
  }
  void operator()(const StopAttempt& e) const {
    Log(LogLevel::kDebug, "attempt_stopped", {{"attempt", static_cast<std::uint64_t>(e.attempt)}});
  }
  void operator()(const ProbeWorker& e) const { Log(LogLevel::kDebug, "probe_sent", {{"worker", e.worker}}); }
  void operator()(const Answer& e) const {
    const auto* rejection = std::get_if<Rejection>(&e.answer);
    const auto* failure = std::get_if<Failure>(&e.answer);
    const char* what = rejection != nullptr                     ? "rejected"
                       : failure == nullptr                     ? "served"
                       : failure->why == Failure::Why::kTooLate ? "deadline_exceeded"
                       : failure->why == Failure::Why::kRepeat  ? "duplicate"
                                                                : "failed";
    Log(LogLevel::kDebug, "request_answered",
        {{"client", e.client.number},
         {"result", what},
         {"retry_after_ms", rejection != nullptr ? rejection->retry_after / kMillisecond : 0},
         {"why", rejection != nullptr ? kRefusals[static_cast<std::size_t>(rejection->why)] : ""}});
  }
  void operator()(const auto&) const {}
};

}  // namespace

void Trace(const Event& event) {
  if (LogsAt(LogLevel::kDebug))
    std::visit(EventLines{}, event);
}
void Trace(const Effect& effect) {
  if (LogsAt(LogLevel::kDebug))
    std::visit(EffectLines{}, effect);
}

}  // namespace aldersill
