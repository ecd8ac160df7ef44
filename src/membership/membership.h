// Group membership: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey
// 2018). A pure core: (now, event) -> state change and effects, without sockets, clocks or encodings. The
// same settings, seed, events and times give the same effects.
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

class Membership {
 public:
  Membership(Settings settings, std::uint64_t seed);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Handle(Micros now, Event event, std::vector<Effect>* effects);
  // When TimerExpired is next due.
  Micros next_due() const;

  const Settings& settings() const { return state_.settings; }
  const Counters& counters() const { return state_.counters; }
  Update self() const { return state_.Self(); }
  // All members that are remembered, this one included, by name.
  std::map<std::string, Update> View() const { return table_.View(); }
  std::optional<State> StateOf(const std::string& name) const;
  int health() const { return state_.health.score(); }    // 0: healthy
  std::size_t living() const { return table_.living(); }  // alive or suspect, this member included

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
  // A sender that is reported dead learns of it at once, and can refute it.
  void NotifyIfReportedDead(const std::string& address, const Packet& packet);

  // SWIM's order of updates: a reported state is applied only if it supersedes the known one.
  void ApplyUpdate(const Update& reported);
  void AddMember(const Update& reported);
  void ApplyAlive(MemberRecord* record, const Update& reported);
  void ApplySuspect(MemberRecord* record, const Update& reported);
  void ApplyDeadOrLeft(MemberRecord* record, const Update& reported);
  void HandleUpdateAboutSelf(const Update& reported);
  void Refute(const Incarnation& reported);
  void RecordSuspicion(MemberRecord* record, const Update& accusation);
  void ChangeState(MemberRecord* record, const Update& update, Kind kind);
  void DeclareDead(const std::string& name);

  // This process was not scheduled for `gap`: the other members are not to blame for what is overdue.
  void CompensatePause(Micros gap);
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
