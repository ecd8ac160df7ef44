#include "admin/figures.h"

#include <cstdint>
#include <string_view>

namespace aldersill::admin {
namespace {

// Collects metrics under their published names, in statsd's text format.
class MetricWriter {
 public:
  void AddCounter(std::string_view name, std::uint64_t value) { AddLine(name, value, "c"); }
  void AddGauge(std::string_view name, std::uint64_t value) { AddLine(name, value, "g"); }
  const std::string& text() const { return text_; }

 private:
  void AddLine(std::string_view name, std::uint64_t value, std::string_view type) {
    text_.append("app.").append(name).append(":").append(std::to_string(value));
    text_.append("|").append(type).append("\n");
  }

  std::string text_;
};

}  // namespace

std::string EncodeMetrics(const Counters& counters, std::size_t avoided_workers) {
  MetricWriter metrics;
  for (const ClassCounters& job_class : counters.classes) {
    metrics.AddCounter("success." + job_class.name, job_class.served);
    metrics.AddCounter("busy." + job_class.name, job_class.rejected);
    metrics.AddCounter("failure." + job_class.name, job_class.failed);
  }
  metrics.AddCounter("backend_calls", counters.attempts_sent);
  metrics.AddGauge("inflight", counters.waiting_clients);
  metrics.AddGauge("hosts_listed", counters.ready_workers + counters.draining_workers);
  metrics.AddGauge("hosts_down", avoided_workers);
  metrics.AddCounter("reconfig_ok", counters.reconfigurations);
  metrics.AddCounter("reconfig_failed", counters.reconfigurations_refused);
  return metrics.text();
}

}  // namespace aldersill::admin
