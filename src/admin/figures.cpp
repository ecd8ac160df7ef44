#include "admin/figures.h"

#include <cstdint>

namespace aldersill::admin {
namespace {

void AddCounter(const std::string& name, std::uint64_t value, std::string* text) {
  *text += "app." + name + ":" + std::to_string(value) + "|c\n";
}

void AddGauge(const std::string& name, std::uint64_t value, std::string* text) {
  *text += "app." + name + ":" + std::to_string(value) + "|g\n";
}

}  // namespace

std::string EncodeFigures(const Counters& counters, std::size_t avoided_workers) {
  std::string text;
  for (const ClassCounters& c : counters.classes) {
    AddCounter("success." + c.name, c.served, &text);
    AddCounter("busy." + c.name, c.rejected, &text);
    AddCounter("failure." + c.name, c.failed, &text);
  }
  AddCounter("backend_calls", counters.attempts_sent, &text);
  AddGauge("inflight", counters.waiting_clients, &text);
  AddGauge("hosts_listed", counters.ready_workers + counters.draining_workers, &text);
  AddGauge("hosts_down", avoided_workers, &text);
  AddCounter("reconfig_ok", counters.reconfigurations, &text);
  AddCounter("reconfig_failed", counters.reconfigurations_refused, &text);
  return text;
}

}  // namespace aldersill::admin
