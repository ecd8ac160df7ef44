#include "admin/figures.h"

#include <cstdint>
#include <string_view>

namespace aldersill::admin {
namespace {

// Collects figures under their published names.
class FigureWriter {
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

std::string EncodeFigures(const Counters& counters, std::size_t avoided_workers) {
  FigureWriter figures;
  for (const ClassCounters& job_class : counters.classes) {
    figures.AddCounter("success." + job_class.name, job_class.served);
    figures.AddCounter("busy." + job_class.name, job_class.rejected);
    figures.AddCounter("failure." + job_class.name, job_class.failed);
  }
  figures.AddCounter("backend_calls", counters.attempts_sent);
  figures.AddGauge("inflight", counters.waiting_clients);
  figures.AddGauge("hosts_listed", counters.ready_workers + counters.draining_workers);
  figures.AddGauge("hosts_down", avoided_workers);
  figures.AddCounter("reconfig_ok", counters.reconfigurations);
  figures.AddCounter("reconfig_failed", counters.reconfigurations_refused);
  return figures.text();
}

}  // namespace aldersill::admin
