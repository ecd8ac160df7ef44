// Combines membership, probe sharing and the leases of exclusive duties into one pure state machine without
// sockets and clocks: (now, event) -> effects. The daemon's cluster component and the tests' virtual cluster
// both run it.
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
  std::optional<duties::ProbeSettings> probing;  // none if probing is not shared
  std::vector<std::string> exclusive;            // duties that only one member holds at a time
  std::vector<std::string> voters;               // members that vote on the leases; equal at every member
  Micros lease = 10 * kSecond;                   // duration of a lease
  double max_clock_drift = 0.01;                 // relative error of a clock's rate, in either direction
};

// ---- Events ----

struct Started {
  std::uint64_t epoch = 0;  // start of this process, Unix milliseconds
};
struct PacketReceived {
  std::string address;  // of the sender
  membership::Packet packet;
};
struct TimerExpired {};  // the time next_due() has been reached
struct WorkersChanged {
  std::vector<std::pair<std::string, std::string>> workers;  // the complete list, as (name, address)
};
struct ProbeCompleted {
  std::uint64_t number = 0;  // of StartProbe
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};
// This member leaves permanently: it releases its leases, and others take over its shared duties at once.
struct LeaveRequested {};
using Event =
    std::variant<Started, PacketReceived, TimerExpired, WorkersChanged, ProbeCompleted, LeaveRequested>;

// ---- Effects ----

struct SendPacket {
  std::string address;  // of the receiver
  membership::Packet packet;
};
struct StartProbe {
  std::uint64_t number = 0;  // identifies the probe; ProbeCompleted returns it
  std::string worker;
  std::string address;
};
// Pass a probe result, of this or of another member, to this member's dispatcher.
struct DeliverResult {
  duties::ProbeResult result;
};
// This member has acquired or lost the lease of a duty.
struct LeaseChange {
  std::string duty;
  bool acquired = false;  // false if the lease was lost
  std::uint64_t term = 0;
};
using Effect = std::variant<SendPacket, StartProbe, DeliverResult, membership::MembershipChange, LeaseChange>;

// One member of the cluster.
class Cluster {
 public:
  Cluster(Settings settings, std::uint64_t seed);

  // Applies an event and appends the resulting effects.
  void Handle(Micros now, Event event, std::vector<Effect>* effects);
  // When TimerExpired is next due.
  Micros next_due() const;

  const membership::Membership& members() const { return membership_; }
  // Null if probing is not shared.
  const duties::ProbeSharing* probing() const { return probing_ ? &*probing_ : nullptr; }
  const std::map<std::string, duties::Lease>& leases() const { return leases_; }
  // Number of received probe results and duty messages that were undecodable or concern an unknown duty.
  std::uint64_t malformed() const { return malformed_; }

 private:
  void Apply(Started&& event);
  void Apply(PacketReceived&& event);
  void Apply(TimerExpired&& event);
  void Apply(WorkersChanged&& event);
  void Apply(ProbeCompleted&& event);
  void Apply(LeaveRequested&& event);

  void Perform(membership::SendPacket&& effect);
  void Perform(membership::MembershipChange&& effect);
  void Perform(membership::GossipReceived&& effect);
  void Perform(membership::DirectMessageReceived&& effect);
  void Perform(duties::StartProbe&& effect);
  void Perform(duties::BroadcastResult&& effect);
  void Perform(duties::DeliverResult&& effect);

  // Each of these passes an event to one component and performs the resulting effects.
  void HandleInMembership(membership::Event event);
  void HandleInProbing(duties::ProbeEvent event);
  void HandleInLease(duties::Lease* lease, duties::LeaseEvent event);

  const Settings settings_;
  const std::uint64_t seed_;
  Micros now_ = 0;
  std::vector<Effect>* effects_ = nullptr;
  membership::Membership membership_;
  std::optional<duties::ProbeSharing> probing_;
  std::map<std::string, duties::Lease> leases_;  // by duty
  std::uint64_t malformed_ = 0;
};

}  // namespace aldersill::cluster

#endif  // ALDERSILL_SRC_CLUSTER_CLUSTER_H_
