// The schema of the operator's file. It lists every field once, with its limits, and serves both reading and
// printing.
//
// Describe(visitor, settings) calls one function of the visitor for each field, in the order of the file. A
// visitor is a YamlSectionReader or a YamlSectionPrinter.
#ifndef ALDERSILL_SRC_CONFIG_OPERATOR_SCHEMA_H_
#define ALDERSILL_SRC_CONFIG_OPERATOR_SCHEMA_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "config/operator_settings.h"
#include "net/endpoint.h"

namespace aldersill {

// The addresses that a field accepts.
enum class AddressScope { kLoopback, kAny };

// A keyword in the file and the value that it stands for.
template <typename T>
struct NamedValue {
  const char* name;
  T value;
};

template <typename Visitor>
void Describe(Visitor& visitor, FaktorySettings& settings) {
  visitor.Bool("enabled", settings.enabled);
  // Faktory and SNMP accept only loopback addresses, because neither protocol authenticates its peers.
  visitor.Address("listen", settings.listen, AddressScope::kLoopback);
  visitor.Milliseconds("fetch_wait_ms", settings.fetch_wait, 1, 600'000);
  visitor.Milliseconds("fetch_patience_ms", settings.fetch_timeout, 1, 600'000);
  visitor.Milliseconds("worker_silence_ms", settings.worker_heartbeat_timeout, 1, 86'400'000);
  visitor.Milliseconds("worker_return_ms", settings.worker_reconnect_timeout, 1, 600'000);
}

template <typename Visitor>
void Describe(Visitor& visitor, SnmpSettings& settings) {
  visitor.Bool("enabled", settings.enabled);
  visitor.Address("listen", settings.listen, AddressScope::kLoopback);
}

template <typename Visitor>
void Describe(Visitor& visitor, LogSettings& settings) {
  visitor.Choice("format", settings.format,
                 std::vector<NamedValue<LogSettings::Format>>{{"text", LogSettings::Format::kText},
                                                              {"json", LogSettings::Format::kJson}});
  visitor.Choice("level", settings.level,
                 std::vector<NamedValue<LogLevel>>{{"debug", LogLevel::kDebug},
                                                   {"info", LogLevel::kInfo},
                                                   {"warning", LogLevel::kWarning},
                                                   {"error", LogLevel::kError}});
  visitor.Int("lines_per_second", settings.lines_per_second, 1, 10'000);
  visitor.Int("burst", settings.burst, 1, 100'000);
}

template <typename Visitor>
void Describe(Visitor& visitor, ControlSettings& settings) {
  visitor.Text("socket", settings.socket);
}

// The periods and limits of the membership protocol.
template <typename Visitor>
void DescribeProtocol(Visitor& visitor, membership::Settings& core) {
  visitor.Milliseconds("probe_interval_ms", core.probe_interval, 50, 60'000);
  visitor.Milliseconds("probe_timeout_ms", core.probe_timeout, 10, 60'000);
  visitor.Check(core.probe_timeout < core.probe_interval, "probe_timeout_ms",
                "must be less than probe_interval_ms");
  visitor.Int("indirect_probes", core.indirect_probes, 0, 16);
  visitor.Int("suspicion_rounds", core.suspicion_min_periods, 1, 100);
  visitor.Int("suspicion_most", core.suspicion_max_multiplier, 1, 100);
  visitor.Int("confirmations", core.confirmations, 0, 16);
  visitor.Milliseconds("gossip_interval_ms", core.gossip_interval, 10, 60'000);
  visitor.Int("gossip_fanout", core.gossip_fanout, 1, 16);
  visitor.Int("gossip_burst", core.gossip_burst, 0, 256);
  visitor.Int("retransmissions", core.retransmissions, 1, 32);
  visitor.Int("rumor_times", core.gossip_transmissions, 1, 32);
  visitor.Milliseconds("compare_interval_ms", core.anti_entropy_interval, 100, 3'600'000);
  visitor.Milliseconds("dead_kept_ms", core.dead_retention, 1'000, 604'800'000);
  visitor.Int("health_most", core.max_health_score, 0, 32);
  int packet_bytes = static_cast<int>(core.max_packet_bytes);
  int members = static_cast<int>(core.max_members);
  visitor.Int("datagram_bytes", packet_bytes, 512, 8'000);
  visitor.Int("most_members", members, 2, 100'000);
  core.max_packet_bytes = static_cast<std::size_t>(packet_bytes);
  core.max_members = static_cast<std::size_t>(members);
}

template <typename Visitor>
void Describe(Visitor& visitor, MembershipSettings& settings) {
  membership::Settings& core = settings.core;
  visitor.Bool("enabled", settings.enabled);
  visitor.Address("listen", settings.listen, AddressScope::kAny);  // Each datagram is authenticated.
  visitor.Text("advertise", settings.advertise);
  visitor.Check(settings.advertise.empty() || ParseEndpoint(settings.advertise).has_value(), "advertise",
                "must be address:port, not '" + settings.advertise + "'");
  visitor.Require(!settings.advertise.empty() || settings.listen.host != "0.0.0.0", "advertise",
                  "is missing: others cannot reach 0.0.0.0");
  visitor.Text("key_file", settings.key_file);
  visitor.Require(!settings.enabled || !settings.key_file.empty(), "key_file",
                  "is missing: membership needs a key");
  visitor.Texts("join", core.join, 16);
  for (const std::string& address : core.join)
    visitor.Check(ParseEndpoint(address).has_value(), "join",
                  "must hold address:port, not '" + address + "'");
  int weight = static_cast<int>(core.weight);
  visitor.Int("weight", weight, 0, 10'000);
  core.weight = static_cast<std::uint32_t>(weight);
  DescribeProtocol(visitor, core);
}

template <typename Visitor>
void Describe(Visitor& visitor, duties::ProbeSettings& settings) {
  visitor.Milliseconds("interval_ms", settings.interval, 100, 3'600'000);
  visitor.Milliseconds("timeout_ms", settings.timeout, 10, 600'000);
  visitor.Check(2 * settings.timeout <= settings.interval, "timeout_ms",
                "must be at most half of interval_ms");
  visitor.Int("most_out", settings.max_in_flight, 1, 10'000);
}

template <typename Visitor>
void Describe(Visitor& visitor, DutiesSettings& settings) {
  visitor.Bool("probing", settings.probing);
  visitor.Section("probes", settings.probes);
  visitor.Texts("exclusive", settings.exclusive, 64);
  visitor.Texts("voters", settings.voters, 15);
  visitor.Check(settings.exclusive.empty() || settings.voters.size() >= 3, "voters",
                "must name at least three instances where a duty is exclusive");
  visitor.Check(
      std::set<std::string>(settings.voters.begin(), settings.voters.end()).size() == settings.voters.size(),
      "voters", "must name each instance once");
  visitor.Check(std::set<std::string>(settings.exclusive.begin(), settings.exclusive.end()).size() ==
                    settings.exclusive.size(),
                "exclusive", "must name each duty once");
  visitor.Milliseconds("lease_ms", settings.lease, 1'000, 3'600'000);
  visitor.Double("most_drift", settings.max_clock_drift, 0.0, 0.2);
}

template <typename Visitor>
void Describe(Visitor& visitor, OperatorSettings& settings) {
  visitor.Section("faktory", settings.faktory);
  visitor.Section("snmp", settings.snmp);
  visitor.Section("logging", settings.logging);
  visitor.Section("control", settings.control);
  visitor.Section("membership", settings.membership);
  visitor.Section("duties", settings.duties);
  visitor.Check(
      settings.membership.enabled || (!settings.duties.probing && settings.duties.exclusive.empty()),
      "duties", "need membership.enabled");
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_OPERATOR_SCHEMA_H_
