// The vocabulary of membership: what instances tell one another of themselves. Nothing here names a wire's
// bytes, a socket or a clock.
#ifndef ALDERSILL_SRC_MEMBERSHIP_TYPES_H_
#define ALDERSILL_SRC_MEMBERSHIP_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"

namespace aldersill::membership {

// Which life of an instance (its start, Unix milliseconds) and which of its own words in that life. A later
// one always goes before an earlier one; so a restarted instance goes before its old self.
struct Incarnation {
  std::uint64_t epoch = 0;
  std::uint32_t turn = 0;
  auto operator<=>(const Incarnation&) const = default;
};

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// Something said of a member. `accuser`: who says so, where it is suspect or dead.
struct Update {
  std::string name;
  std::string address;
  Incarnation incarnation;
  State state = State::kAlive;
  std::uint32_t weight = 100;  // its share of shared duties, in percent of the usual
  std::string accuser;
  bool operator==(const Update&) const = default;
};

// Something that whoever stands above membership wants all to hear. It knows itself which of two is newer.
struct GossipMessage {
  std::string key;  // a later one of the same key takes its place in the queue
  std::string body;
};

struct Ping {
  std::uint32_t number = 0;
  std::string target;
  std::uint64_t epoch =
      0;  // of the life that is asked: a restarted instance must not answer for its old self
};
struct IndirectPing {  // ask `target` on my behalf
  std::uint32_t number = 0;
  std::string target;
  std::string address;
  std::uint64_t epoch = 0;
};
struct Ack {
  std::uint32_t number = 0;
};
struct NegativeAck {  // I am here, but the one you asked about has not answered me
  std::uint32_t number = 0;
};
struct Gossip {};  // nothing but what rides along
struct Compare {   // answered by Table where the views differ
  std::uint64_t digest = 0;
};
struct Table {  // a part of a whole view; `reply`: the other's is wanted in return
  std::vector<Update> members;
  bool reply = false;
};
struct Direct {  // from one to one, for whoever stands above
  std::string body;
};
using Message = std::variant<Ping, IndirectPing, Ack, NegativeAck, Gossip, Compare, Table, Direct>;

// One datagram.
struct Packet {
  std::string from;
  std::uint64_t epoch = 0;
  Message message;
  std::vector<Update> updates;  // riding along
  std::vector<GossipMessage> gossip;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_TYPES_H_
