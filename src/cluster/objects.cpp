#include "cluster/objects.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace aldersill::cluster {

using membership::State;

const char* Name(State state) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

const char* Name(membership::MembershipChange::Kind kind) {
  constexpr const char* kNames[] = {"joined", "restarted", "suspect", "alive", "dead", "left"};
  return kNames[static_cast<std::size_t>(kind)];
}

nlohmann::json MembersAsJson(const Cluster* core) {
  if (core == nullptr)
    return {{"enabled", false}};
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, member] : core->members().View()) {
    members.push_back({{"name", name},
                       {"address", member.address},
                       {"state", Name(member.state)},
                       {"epoch", member.incarnation.epoch},
                       {"turn", member.incarnation.number},
                       {"weight", member.weight},
                       {"self", name == core->members().settings().name}});
  }
  return {{"enabled", true}, {"health", core->members().health()}, {"members", std::move(members)}};
}

nlohmann::json DutiesAsJson(const Cluster* core, Micros now) {
  if (core == nullptr)
    return {{"enabled", false}};
  nlohmann::json json = {{"enabled", true}, {"probing", nullptr}, {"exclusive", nlohmann::json::array()}};
  if (const duties::ProbeSharing* probing = core->probing()) {
    const duties::ProbeCounters& counters = probing->counters();
    json["probing"] = {{"owned", probing->owned()},
                       {"workers", probing->workers()},
                       {"started", counters.started},
                       {"takeovers", counters.takeovers},
                       {"heard", counters.results_received},
                       {"overdue", counters.overdue},
                       {"slept_through", counters.ended_while_paused}};
  }
  for (const auto& [duty, lease] : core->leases()) {
    const auto term = lease.HeldTerm(now);
    const auto holder = lease.KnownHolder(now);
    json["exclusive"].push_back({{"duty", duty},
                                 {"held", term.has_value()},
                                 {"term", term.value_or(0)},
                                 {"holder", holder ? holder->name : ""}});
  }
  return json;
}

void AddObjects(const Cluster& core, const membership::TransportCounters& transport,
                const membership::Sealer& sealer, Micros now, snmp::ObjectMap* objects) {
  std::array<std::uint32_t, 4> by_state{};
  for (const auto& [name, member] : core.members().View())
    ++by_state[static_cast<std::size_t>(member.state)];
  std::uint64_t column = 0;
  const auto scalar = [&](snmp::Value value) { (*objects)[{5, ++column, 0}] = std::move(value); };
  for (const std::uint32_t members : by_state)
    scalar(snmp::Gauge{members});
  const membership::Counters& member_counters = core.members().counters();
  scalar(snmp::Gauge{static_cast<std::uint32_t>(core.members().health())});
  for (const std::uint64_t count :
       {member_counters.probes, member_counters.probes_failed, member_counters.suspicions,
        member_counters.refutations, member_counters.deaths, member_counters.deaths_refuted,
        member_counters.pauses})
    scalar(snmp::Counter{count});
  const duties::ProbeSharing* probing = core.probing();
  const duties::ProbeCounters probe_counters =
      probing != nullptr ? probing->counters() : duties::ProbeCounters{};
  scalar(snmp::Gauge{static_cast<std::uint32_t>(probing != nullptr ? probing->owned() : 0)});
  scalar(snmp::Gauge{static_cast<std::uint32_t>(probing != nullptr ? probing->workers() : 0)});
  for (const std::uint64_t count :
       {probe_counters.started, probe_counters.takeovers, probe_counters.results_received})
    scalar(snmp::Counter{count});
  std::uint32_t held = 0;
  std::uint64_t acquired = 0, lost = 0;
  for (const auto& [duty, lease] : core.leases()) {
    held += lease.HeldTerm(now).has_value();
    acquired += lease.counters().acquired;
    lost += lease.counters().lost;
  }
  scalar(snmp::Gauge{held});
  scalar(snmp::Counter{acquired});
  scalar(snmp::Counter{lost});
  for (const std::uint64_t count :
       {transport.sent, transport.sent_bytes, transport.received, transport.received_bytes, transport.unsent})
    scalar(snmp::Counter{count});
  // Dropped datagrams by reason.
  const auto& dropped = sealer.dropped();
  for (std::size_t i = 0; i < dropped.size(); ++i) {
    (*objects)[{6, 1, 2, i + 1}] = std::string(membership::Name(static_cast<membership::DropReason>(i)));
    (*objects)[{6, 1, 3, i + 1}] = snmp::Counter{dropped[i]};
  }
}

}  // namespace aldersill::cluster
