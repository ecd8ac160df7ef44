// Chooses members: SWIM's randomized round-robin for probe targets, and random peers for everything else.
#ifndef ALDERSILL_SRC_MEMBERSHIP_PEER_SELECTOR_H_
#define ALDERSILL_SRC_MEMBERSHIP_PEER_SELECTOR_H_

#include <optional>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace aldersill::membership {

class PeerSelector {
 public:
  PeerSelector(ProtocolState& state, const MemberTable& table) : state_(state), table_(table) {}

  // A new member gets a random place in the current round.
  void Add(const std::string& name);
  // Each living member once in a round; every round has a new order.
  std::optional<std::string> NextProbeTarget();
  enum class Among { kLiving, kLivingAndRecentlyDead };
  // Up to `count` different members other than `excluded`.
  std::vector<std::string> RandomPeers(std::size_t count, const std::string& excluded = "",
                                       Among among = Among::kLiving);

 private:
  void BeginRound();
  bool IsEligible(const std::string& name, Among among) const;

  ProtocolState& state_;
  const MemberTable& table_;
  std::vector<std::string> order_;
  std::size_t next_ = 0;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_PEER_SELECTOR_H_
