// Membership and the duties that build on it as one pure core: (now, event) -> effects, without sockets and
// clocks. The daemon's component and the tests' virtual cluster drive the same class.
#ifndef ALDERSILL_SRC_CLUSTER_CLUSTER_H_
#define ALDERSILL_SRC_CLUSTER_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "duties/lease.h"
#include "duties/probe_sharing.h"
#include "membership/membership.h"

namespace aldersill::cluster {

struct Settings {
  membership::Settings membership;
  std::optional<duties::ProbeSettings> probing;  // none: probing is not shared
  std::vector<std::string> exclusive;            // duties that one member at a time holds
  std::vector<std::string> voters;               // members that vote on their leases, the same at all
  Micros lease = 10 * kSecond;                   // the leases' timespan
  double max_clock_drift = 0.01;                 // of a clock's rate, either way
};

// ---- Events ----

struct Started {
  std::uint64_t epoch = 0;  // Unix milliseconds at which this process started
};
struct PacketReceived {
  std::string address;
  membership::Packet packet;
};
struct TimerExpired {};  // next_due() is reached
struct WorkersChanged {
  std::vector<std::pair<std::string, std::string>> workers;  // the complete list, as (name, address)
};
struct ProbeCompleted {
  std::uint64_t number = 0;
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};
struct LeaveRequested {};  // for good: leases are released, and other members take over shared duties at once
using Event =
    std::variant<Started, PacketReceived, TimerExpired, WorkersChanged, ProbeCompleted, LeaveRequested>;

// ---- Effects ----

struct SendPacket {
  std::string address;
  membership::Packet packet;
};
struct StartProbe {
  std::uint64_t number = 0;
  std::string worker;
  std::string address;
};
struct DeliverResult {  // to this member's decision module
  duties::ProbeResult result;
};
struct LeaseChange {
  std::string duty;
  bool acquired = false;  // else lost
  std::uint64_t term = 0;
};
using Effect = std::variant<SendPacket, StartProbe, DeliverResult, membership::MembershipChange, LeaseChange>;

class Cluster {
 public:
  Cluster(Settings settings, std::uint64_t seed);

  void Handle(Micros now, Event event, std::vector<Effect>* effects);
  Micros next_due() const;

  const membership::Membership& members() const { return membership_; }
  // Null if probing is not shared.
  const duties::ProbeSharing* probing() const { return probing_ ? &*probing_ : nullptr; }
  const std::map<std::string, duties::Lease>& leases() const { return leases_; }
  std::uint64_t malformed() const {
    return malformed_;
  }  // duty messages and probe results in authentic packets

 private:
  void Apply(Started&& e);
  void Apply(PacketReceived&& e);
  void Apply(TimerExpired&& e);
  void Apply(WorkersChanged&& e);
  void Apply(ProbeCompleted&& e);
  void Apply(LeaveRequested&& e);

  void Perform(membership::SendPacket&& e);
  void Perform(membership::MembershipChange&& e);
  void Perform(membership::GossipReceived&& e);
  void Perform(membership::DirectMessageReceived&& e);
  void Perform(duties::StartProbe&& e);
  void Perform(duties::BroadcastResult&& e);
  void Perform(duties::DeliverResult&& e);

  // Hand an event to one part and carry out its effects.
  void HandleInMembership(membership::Event event);
  void HandleInProbing(duties::ProbeEvent event);
  void HandleInLease(duties::Lease* lease, duties::LeaseEvent event);

  const Settings settings_;
  const std::uint64_t seed_;
  Micros now_ = 0;
  std::vector<Effect>* effects_ = nullptr;
  membership::Membership membership_;
  std::optional<duties::ProbeSharing> probing_;
  std::map<std::string, duties::Lease> leases_;
  std::uint64_t malformed_ = 0;
};

}  // namespace aldersill::cluster

#endif  // ALDERSILL_SRC_CLUSTER_CLUSTER_H_
