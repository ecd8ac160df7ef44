// The messages between members as values. Their encoding is codec.h; no type here knows a socket or a clock.
#ifndef ALDERSILL_SRC_MEMBERSHIP_TYPES_H_
#define ALDERSILL_SRC_MEMBERSHIP_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"

namespace aldersill::membership {

// SWIM's incarnation number, extended by the time of the process's start so that a restarted member
// supersedes its former process. The greater one wins.
struct Incarnation {
  std::uint64_t epoch = 0;   // start of the process, Unix milliseconds
  std::uint32_t number = 0;  // raised by each refutation of that process
  auto operator<=>(const Incarnation&) const = default;
};

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// Alive and suspect members count as living: they take part until they are declared dead.
inline bool IsLiving(State state) { return state == State::kAlive || state == State::kSuspect; }

// A report of a member's state, as members exchange it.
struct Update {
  std::string name;
  std::string address;
  Incarnation incarnation;
  State state = State::kAlive;
  std::uint32_t weight = 100;  // its portion of shared duties, in percent of the usual
  std::string accuser;         // the member that reports it as suspect, dead or left; else empty
  bool operator==(const Update&) const = default;
};

// An application's message to all members. Its receiver decides which of two messages is newer.
struct GossipMessage {
  std::string key;  // a later message of the same key replaces it in the queue
  std::string body;
};

struct Ping {
  std::uint32_t number = 0;
  std::string target;
  std::uint64_t epoch = 0;  // of the target's process: a restarted one must not ack for its former process
};
// Asks the receiver to ping `target` on the sender's behalf.
struct IndirectPing {
  std::uint32_t number = 0;
  std::string target;
  std::string address;
  std::uint64_t epoch = 0;
};
struct Ack {
  std::uint32_t number = 0;
};
// Lifeguard: the member asked for an indirect ping is alive, but the target has not answered it.
struct NegativeAck {
  std::uint32_t number = 0;
};
// Carries nothing but the piggybacked updates and gossip messages.
struct Gossip {};
// Anti-entropy: answered with FullState where the receiver's view differs.
struct ViewDigest {
  std::uint64_t digest = 0;
};
// One part of a member's view; `reply`: the sender wants the receiver's view in return.
struct FullState {
  std::vector<Update> members;
  bool reply = false;
};
// An application's message to one member.
struct DirectMessage {
  std::string body;
};
// The codec writes the alternative's index: the order is part of the format.
using Message =
    std::variant<Ping, IndirectPing, Ack, NegativeAck, Gossip, ViewDigest, FullState, DirectMessage>;

// One datagram.
struct Packet {
  std::string from;
  std::uint64_t epoch = 0;  // of the sender's process
  Message message;
  std::vector<Update> updates;        // piggybacked
  std::vector<GossipMessage> gossip;  // piggybacked
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_TYPES_H_
