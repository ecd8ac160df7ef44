// Membership and the duties over it as one core: (now, event) -> effects, no socket, no clock. The daemon's
// part and the virtual cluster of the tests drive this same class.
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
  std::optional<duties::ProbeSettings> probing;  // none: not shared
  std::vector<std::string> exclusive;            // duties that one instance at a time holds
  std::vector<std::string> voters;               // who decides on them, the same at all instances
  Micros lease = 10 * kSecond;
  double most_drift = 0.01;
};

// ---- Events ----

struct Start {
  std::uint64_t epoch = 0;  // Unix milliseconds at which this life began
};
struct PacketReceived {
  std::string address;
  membership::Packet packet;
};
struct TimerExpired {};  // next_due() is reached
struct Workers {
  std::vector<std::pair<std::string, std::string>> all;  // (name, address)
};
struct ProbeCompleted {
  std::uint64_t number = 0;
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};
struct Leave {};  // for good: leases are released, shared duties pass on at once
using Event = std::variant<Start, PacketReceived, TimerExpired, Workers, ProbeCompleted, Leave>;

// ---- Effects ----

struct Send {
  std::string address;
  membership::Packet packet;
};
struct Probe {
  std::uint64_t number = 0;
  std::string worker;
  std::string address;
};
struct Result {  // for this instance's decision module
  duties::ProbeResult result;
};
struct LeaseChange {
  std::string duty;
  bool taken = false;  // else lost
  std::uint64_t term = 0;
};
using Effect = std::variant<Send, Probe, Result, membership::MembershipChange, LeaseChange>;

class Cluster {
 public:
  Cluster(Settings settings, std::uint64_t seed);

  void Handle(Micros now, Event event, std::vector<Effect>* effects);
  Micros next_due() const;

  const membership::Membership& members() const { return membership_; }
  // Null where probing is not shared.
  const duties::ProbeSharing* probing() const { return probing_ ? &*probing_ : nullptr; }
  const std::map<std::string, duties::Lease>& leases() const { return leases_; }
  std::uint64_t malformed() const { return malformed_; }  // of duties' messages in authentic packets

 private:
  void On(Start&& e);
  void On(PacketReceived&& e);
  void On(TimerExpired&& e);
  void On(Workers&& e);
  void On(ProbeCompleted&& e);
  void On(Leave&& e);

  void Do(membership::SendPacket&& e);
  void Do(membership::MembershipChange&& e);
  void Do(membership::GossipReceived&& e);
  void Do(membership::DirectMessageReceived&& e);
  void Do(duties::StartProbe&& e);
  void Do(duties::BroadcastResult&& e);
  void Do(duties::DeliverResult&& e);

  void ToMembership(membership::Event event);
  void ToProbing(duties::ProbeEvent event);
  void ToLease(duties::Lease* lease, duties::LeaseEvent event);

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
