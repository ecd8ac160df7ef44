// The events that Membership handles and the effects that it emits.
#ifndef ALDERSILL_SRC_MEMBERSHIP_EVENTS_H_
#define ALDERSILL_SRC_MEMBERSHIP_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>

#include "membership/types.h"

namespace aldersill::membership {

// ---- Events ----

struct Started {
  std::uint64_t epoch = 0;  // Unix milliseconds; must be greater than that of the member's previous process
};
struct PacketReceived {
  std::string address;  // of the sender
  Packet packet;
};
struct TimerExpired {};  // the time next_due() has been reached
// Queues a gossip message for all members.
struct BroadcastRequested {
  GossipMessage message;
};
// Sends a message to one member. Nothing is sent if that member is not living.
struct DirectMessageRequested {
  std::string to;  // the member's name
  std::string body;
};
// This member announces that it leaves permanently, so that the others take over its duties at once.
struct LeaveRequested {};
using Event = std::variant<Started, PacketReceived, TimerExpired, BroadcastRequested, DirectMessageRequested,
                           LeaveRequested>;

// ---- Effects ----

struct SendPacket {
  std::string address;  // of the receiver
  Packet packet;
};
// The state of another member has changed in this member's view.
struct MembershipChange {
  enum class Kind { kJoined, kRestarted, kSuspect, kAlive, kDead, kLeft } kind = Kind::kJoined;
  Update member;
};
struct GossipReceived {
  std::string from;  // name of the member that sent the packet, not of the message's origin
  GossipMessage message;
};
struct DirectMessageReceived {
  std::string from;         // name of the sender
  std::uint64_t epoch = 0;  // of the sender's process
  std::string body;
};
using Effect = std::variant<SendPacket, MembershipChange, GossipReceived, DirectMessageReceived>;

struct Counters {
  std::uint64_t probes = 0, probes_failed = 0, indirect_probes = 0;
  std::uint64_t suspicions = 0;       // suspicions of other members, own and reported
  std::uint64_t refutations = 0;      // by this member, of reports that it is suspect, dead or left
  std::uint64_t deaths = 0;           // members that this member declared dead
  std::uint64_t deaths_refuted = 0;   // dead members that came back without a restart
  std::uint64_t pauses = 0;           // times that this process did not run for longer than a protocol period
  std::uint64_t members_refused = 0;  // new members not added because of max_members
  std::uint64_t name_conflicts = 0;   // reports of this member's name with another address
  std::uint64_t full_states_sent = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_EVENTS_H_
