#include "membership/peer_selector.h"

#include <algorithm>

namespace aldersill::membership {
namespace {

// Members that were declared dead less than this long ago still get gossip, so that they learn of it and can
// refute it.
constexpr Micros kRecentlyDead = 30 * kSecond;
// Random draws per wanted peer before RandomPeers falls back to a linear search.
constexpr std::size_t kDrawsPerPeer = 4;

}  // namespace

void PeerSelector::Add(const std::string& name) {
  const std::uint32_t position = state_.random(static_cast<std::uint32_t>(order_.size() + 1));
  order_.insert(order_.begin() + position, name);
}

void PeerSelector::BeginRound() {
  next_ = 0;
  order_.clear();
  for (const auto& [name, record] : table_.records())
    order_.push_back(name);
  pcg_extras::shuffle(order_.begin(), order_.end(), state_.random);
}

std::optional<std::string> PeerSelector::NextProbeTarget() {
  for (std::size_t looked = 0; looked <= order_.size(); ++looked) {
    if (next_ >= order_.size())
      BeginRound();
    if (order_.empty())
      return std::nullopt;
    const std::string& name = order_[next_++];
    if (table_.IsLivingMember(name))
      return name;
  }
  return std::nullopt;
}

bool PeerSelector::IsEligible(const std::string& name, Candidates candidates) const {
  const MemberRecord* record = table_.Find(name);
  if (record == nullptr)
    return false;
  if (IsLiving(record->update.state))
    return true;
  return candidates == Candidates::kLivingAndRecentlyDead && record->update.state == State::kDead &&
         state_.now - record->since < kRecentlyDead;
}

std::vector<std::string> PeerSelector::RandomPeers(std::size_t count, const std::string& excluded,
                                                   Candidates candidates) {
  std::vector<std::string> peers;
  if (order_.empty())
    return peers;
  const auto add_if_eligible = [&](const std::string& name) {
    if (name != excluded && IsEligible(name, candidates) &&
        std::find(peers.begin(), peers.end(), name) == peers.end())
      peers.push_back(name);
  };
  // A bounded number of random draws, then a linear search from a random index.
  const auto size = static_cast<std::uint32_t>(order_.size());
  for (std::size_t draws = 0; draws < kDrawsPerPeer * count && peers.size() < count; ++draws)
    add_if_eligible(order_[state_.random(size)]);
  const std::size_t from = state_.random(size);
  for (std::size_t i = 0; i < order_.size() && peers.size() < count; ++i)
    add_if_eligible(order_[(from + i) % order_.size()]);
  return peers;
}

}  // namespace aldersill::membership
