// Anti-entropy: members compare digests of their views and exchange the full state where these differ. It
// also contacts dead members and lost join addresses, as nothing else rejoins the sides of a healed
// partition.
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

  void Start() { next_exchange_ = state_.now; }
  Micros next_due() const { return next_exchange_; }
  void PostponeTo(Micros time);

  void SendDigests();
  void HandleDigest(const std::string& address, const std::string& from, const ViewDigest& received);
  // In as many packets as the state needs. `request_reply`: the receiver is to send its own in return.
  void SendFullState(const std::string& address, bool request_reply);

 private:
  std::vector<std::string> LostAddresses() const;

  ProtocolState& state_;
  const MemberTable& table_;
  PeerSelector& peers_;
  Dissemination& dissemination_;
  Micros next_exchange_ = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_ANTI_ENTROPY_H_
