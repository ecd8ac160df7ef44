// Group membership: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey
// 2018). A pure state machine without sockets, clocks or encodings: (now, event) -> effects. The same
// settings, seed, events and times always produce the same effects.
#ifndef ALDERSILL_SRC_MEMBERSHIP_MEMBERSHIP_H_
#define ALDERSILL_SRC_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/dissemination.h"
#include "membership/events.h"
#include "membership/failure_detector.h"
#include "membership/member_table.h"
#include "membership/peer_selector.h"
#include "membership/protocol_state.h"
#include "membership/settings.h"
#include "membership/suspicion.h"
#include "membership/types.h"

namespace aldersill::membership {

// One member's view of the group, and its part in the protocol.
class Membership {
 public:
  Membership(Settings settings, std::uint64_t seed);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Applies an event and appends the resulting effects. `now` is Unix time in microseconds; a value below
  // that of the previous event is raised to it.
  void Handle(Micros now, Event event, std::vector<Effect>* effects);
  // When TimerExpired is next due; INT64_MAX before Started.
  Micros next_due() const;

  const Settings& settings() const { return state_.settings; }
  const Counters& counters() const { return state_.counters; }
  Update self() const { return state_.Self(); }
  // The states of all remembered members, including this one, by name.
  std::map<std::string, Update> View() const { return table_.View(); }
  // The state of a member; none if it is unknown.
  std::optional<State> StateOf(const std::string& name) const;
  // Lifeguard's local health score: 0 (healthy) to Settings::max_health_score.
  int health() const { return state_.health.score(); }
  // Number of alive or suspect members, including this one.
  std::size_t living() const { return table_.living(); }

 private:
  using Kind = MembershipChange::Kind;

  void Apply(const Started& started);
  void Apply(PacketReceived&& received);
  void Apply(const TimerExpired&);
  void Apply(BroadcastRequested&& request);
  void Apply(DirectMessageRequested&& request);
  void Apply(const LeaveRequested&);

  void ApplyMessage(const std::string& address, const Packet& packet, const Ping& ping);
  void ApplyMessage(const std::string& address, const Packet& packet, const IndirectPing& ping);
  void ApplyMessage(const std::string& address, const Packet& packet, const Ack& ack);
  void ApplyMessage(const std::string& address, const Packet& packet, const NegativeAck& ack);
  void ApplyMessage(const std::string& address, const Packet& packet, const Gossip& gossip);
  void ApplyMessage(const std::string& address, const Packet& packet, const ViewDigest& digest);
  void ApplyMessage(const std::string& address, const Packet& packet, const FullState& state);
  void ApplyMessage(const std::string& address, const Packet& packet, const DirectMessage& message);
  // If the sender of the packet is dead in this member's view, informs it, so that it can refute this.
  void NotifyIfReportedDead(const std::string& address, const Packet& packet);

  // Applies a reported state if it supersedes the known one in SWIM's order of updates.
  void ApplyUpdate(const Update& reported);
  void AddMember(const Update& reported);
  void ApplyAlive(MemberRecord* record, const Update& reported);
  void ApplySuspect(MemberRecord* record, const Update& reported);
  void ApplyDeadOrLeft(MemberRecord* record, const Update& reported);
  void HandleUpdateAboutSelf(const Update& reported);
  // Raises this member's incarnation above `reported` and disseminates that it is alive.
  void Refute(const Incarnation& reported);
  // Begins a suspicion of an alive member, or counts a confirmation of an existing one.
  void RecordSuspicion(MemberRecord* record, const Update& accusation);
  void ChangeState(MemberRecord* record, const Update& update, Kind kind);
  void DeclareDead(const std::string& name);

  // Handles a pause of this process of length `gap`. The other members are not at fault for what is overdue,
  // so this drops the current probe and postpones the suspicions' deadlines and the other timers.
  void CompensateForPause(Micros gap);
  void ForgetExpiredMembers();

  ProtocolState state_;
  MemberTable table_;
  PeerSelector peers_;
  SuspicionTable suspicions_;
  Dissemination dissemination_;
  FailureDetector detector_;
  AntiEntropy anti_entropy_;
  bool started_ = false;
  Micros next_forget_ = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_MEMBERSHIP_H_
