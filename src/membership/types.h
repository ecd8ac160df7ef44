// Value types of the messages between members, independent of sockets and clocks. codec.h encodes them.
#ifndef ALDERSILL_SRC_MEMBERSHIP_TYPES_H_
#define ALDERSILL_SRC_MEMBERSHIP_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"

namespace aldersill::membership {

// SWIM's incarnation number, extended by the time at which the process started, so that a restarted member
// supersedes its previous process. An update with a greater incarnation supersedes one with a smaller one.
struct Incarnation {
  std::uint64_t epoch = 0;   // start of the process, Unix milliseconds
  std::uint32_t number = 0;  // incremented by each refutation within that epoch
  auto operator<=>(const Incarnation&) const = default;
};

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// Whether the state is alive or suspect. A suspect member keeps taking part until it is declared dead.
inline bool IsLiving(State state) { return state == State::kAlive || state == State::kSuspect; }

// What one member reports to others about the state of a member.
struct Update {
  std::string name;     // of the member reported on
  std::string address;  // at which the other members reach it
  Incarnation incarnation;
  State state = State::kAlive;
  std::uint32_t weight = 100;  // its share of shared duties, in percent of the default share
  std::string accuser;         // name of the member that reports it as suspect, dead or left; else empty
  bool operator==(const Update&) const = default;
};

// A message of the application to all members. The receiving application decides which of two messages with
// the same key is newer.
struct GossipMessage {
  std::string key;  // a later message with the same key replaces it in the broadcast queue
  std::string body;
};

// Asks the receiver for an Ack.
struct Ping {
  std::uint32_t number = 0;  // returned in the Ack
  std::string target;
  // Of the target's process: after a restart, the new process must not acknowledge pings to the previous one.
  std::uint64_t epoch = 0;
};
// Asks the receiver to ping `target` on the sender's behalf.
struct IndirectPing {
  std::uint32_t number = 0;  // returned in the Ack or NegativeAck
  std::string target;
  std::string address;      // of the target
  std::uint64_t epoch = 0;  // of the target's process
};
// Reply to Ping or IndirectPing: the target has answered.
struct Ack {
  std::uint32_t number = 0;  // of the ping
};
// Lifeguard's reply to IndirectPing: the target has not answered, but the member asked to ping it is alive.
struct NegativeAck {
  std::uint32_t number = 0;  // of the indirect ping
};
// An empty message, for a packet that carries only piggybacked updates and gossip messages.
struct Gossip {};
// Anti-entropy: a hash of the sender's view. A receiver with a different view replies with FullState.
struct ViewDigest {
  std::uint64_t digest = 0;  // MemberTable::Digest
};
// The sender's view or a part of it. `reply` asks the receiver to send its own view in return.
struct FullState {
  std::vector<Update> members;
  bool reply = false;
};
// A message of the application to one member.
struct DirectMessage {
  std::string body;
};
// The codec writes the index of the alternative, so the order of the alternatives is part of the encoding.
using Message =
    std::variant<Ping, IndirectPing, Ack, NegativeAck, Gossip, ViewDigest, FullState, DirectMessage>;

// The contents of one datagram.
struct Packet {
  std::string from;         // name of the sender
  std::uint64_t epoch = 0;  // of the sender's process
  Message message;
  std::vector<Update> updates;        // piggybacked
  std::vector<GossipMessage> gossip;  // piggybacked
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_TYPES_H_
