// What the membership core accepts and emits.
#ifndef ALDERSILL_SRC_MEMBERSHIP_EVENTS_H_
#define ALDERSILL_SRC_MEMBERSHIP_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>

#include "membership/types.h"

namespace aldersill::membership {

// ---- Events ----

struct Started {
  std::uint64_t epoch = 0;  // Unix milliseconds; greater for each later process of the same member
};
struct PacketReceived {
  std::string address;  // of the sender
  Packet packet;
};
struct TimerExpired {};  // next_due() is reached
struct BroadcastRequested {
  GossipMessage message;
};
struct DirectMessageRequested {
  std::string to;  // a member's name; nothing is sent to one that is not living
  std::string body;
};
struct LeaveRequested {};  // this member leaves for good: the others take over at once
using Event = std::variant<Started, PacketReceived, TimerExpired, BroadcastRequested, DirectMessageRequested,
                           LeaveRequested>;

// ---- Effects ----

struct SendPacket {
  std::string address;
  Packet packet;
};
struct MembershipChange {
  enum class Kind { kJoined, kRestarted, kSuspect, kAlive, kDead, kLeft } kind = Kind::kJoined;
  Update member;
};
struct GossipReceived {
  std::string from;
  GossipMessage message;
};
struct DirectMessageReceived {
  std::string from;
  std::uint64_t epoch = 0;  // of the sender's process
  std::string body;
};
using Effect = std::variant<SendPacket, MembershipChange, GossipReceived, DirectMessageReceived>;

struct Counters {
  std::uint64_t probes = 0, probes_failed = 0, indirect_probes = 0;
  std::uint64_t suspicions = 0;       // begun here or learned from another member
  std::uint64_t refutations = 0;      // by this member, of suspicions and deaths reported of it
  std::uint64_t deaths = 0;           // declared here
  std::uint64_t deaths_refuted = 0;   // a member reported dead refuted that without a restart
  std::uint64_t pauses = 0;           // this process itself was not scheduled for longer than a period
  std::uint64_t members_refused = 0;  // beyond max_members
  std::uint64_t name_conflicts = 0;   // another address uses this member's name
  std::uint64_t full_states_sent = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_EVENTS_H_
