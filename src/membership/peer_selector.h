// Selects members: probe targets by SWIM's randomized round-robin, and random peers for everything else.
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

  // Inserts a new member at a random position of the probe order.
  void Add(const std::string& name);
  // Returns the next living member in the probe order; no value if there is none. Each round visits every
  // member once, in a new random order.
  std::optional<std::string> NextProbeTarget();
  enum class Candidates { kLiving, kLivingAndRecentlyDead };
  // Returns up to `count` distinct random members among the candidates, without `excluded`.
  std::vector<std::string> RandomPeers(std::size_t count, const std::string& excluded = "",
                                       Candidates candidates = Candidates::kLiving);

 private:
  void BeginRound();
  bool IsEligible(const std::string& name, Candidates candidates) const;

  ProtocolState& state_;
  const MemberTable& table_;
  std::vector<std::string> order_;  // probe order of the current round
  std::size_t next_ = 0;            // index of the next probe target
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_PEER_SELECTOR_H_
