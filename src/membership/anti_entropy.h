// Anti-entropy: members compare digests of their views and exchange their full state if the digests differ.
// It also contacts dead members and unreachable join addresses, because nothing else merges the two sides of
// a partition after it heals.
#ifndef ALDERSILL_SRC_MEMBERSHIP_ANTI_ENTROPY_H_
#define ALDERSILL_SRC_MEMBERSHIP_ANTI_ENTROPY_H_

#include <string>
#include <vector>

#include "membership/dissemination.h"

namespace aldersill::membership {

class AntiEntropy {
 public:
  AntiEntropy(ProtocolState& state, const MemberTable& table, PeerSelector& peers,
              Dissemination& dissemination);

  // Makes the first exchange due at once.
  void Start() { next_exchange_ = state_.now; }
  Micros next_due() const { return next_exchange_; }
  // Moves the next exchange to `time` if it is due earlier.
  void PostponeTo(Micros time);

  // Sends a digest to a random living member and to one unreachable address, or to several unreachable
  // addresses if no other member is living. Schedules the next exchange.
  void SendDigests();
  // Replies with the full state if the sender is not a living member here or its digest differs.
  void HandleDigest(const std::string& address, const std::string& from, const ViewDigest& received);
  // Sends this member's view, in as many packets as it needs. `request_reply` asks the receiver to send its
  // own view in return.
  void SendFullState(const std::string& address, bool request_reply);

 private:
  // The addresses of dead members, and the join addresses that no living member has.
  std::vector<std::string> UnreachableAddresses() const;

  ProtocolState& state_;
  const MemberTable& table_;
  PeerSelector& peers_;
  Dissemination& dissemination_;
  Micros next_exchange_ = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_ANTI_ENTROPY_H_
