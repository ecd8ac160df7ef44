#include "membership/anti_entropy.h"

#include <algorithm>
#include <set>
#include <utility>

#include "membership/packet_size.h"

namespace aldersill::membership {
namespace {

// The number of unreachable addresses that a member without living peers contacts at once.
constexpr std::size_t kMaxUnreachableContacted = 16;
// Upper bound, in bytes, of everything but the members in a packet that carries a part of the full state.
constexpr std::size_t kFullStatePacketOverhead = 200;

}  // namespace

AntiEntropy::AntiEntropy(ProtocolState& state, const MemberTable& table, PeerSelector& peers,
                         Dissemination& dissemination)
    : state_(state), table_(table), peers_(peers), dissemination_(dissemination) {}

void AntiEntropy::PostponeTo(Micros time) { next_exchange_ = std::max(next_exchange_, time); }

void AntiEntropy::SendDigests() {
  const Settings& settings = state_.settings;
  const bool alone = table_.living() <= 1;
  // The interval varies by up to an eighth in either direction, so that members that start at the same time
  // do not stay in lockstep.
  const Micros interval = alone ? settings.probe_interval : settings.anti_entropy_interval;
  next_exchange_ =
      state_.now + interval - interval / 8 + state_.random(static_cast<std::uint32_t>(interval / 4 + 1));
  if (state_.leaving)
    return;
  const ViewDigest digest{table_.Digest()};
  for (const std::string& peer : peers_.RandomPeers(1))
    dissemination_.SendToMember(peer, digest);
  std::vector<std::string> unreachable = UnreachableAddresses();
  if (unreachable.empty())
    return;
  if (!alone) {
    dissemination_.Send(unreachable[state_.random(static_cast<std::uint32_t>(unreachable.size()))], digest);
    return;
  }
  std::sort(unreachable.begin(), unreachable.end());
  unreachable.erase(std::unique(unreachable.begin(), unreachable.end()), unreachable.end());
  if (unreachable.size() > kMaxUnreachableContacted)
    unreachable.resize(kMaxUnreachableContacted);
  for (const std::string& address : unreachable)
    dissemination_.Send(address, digest);
}

std::vector<std::string> AntiEntropy::UnreachableAddresses() const {
  std::vector<std::string> unreachable;
  std::set<std::string> connected{state_.settings.address};
  for (const auto& [name, record] : table_.records()) {
    if (IsLiving(record.update.state))
      connected.insert(record.update.address);
    if (record.update.state == State::kDead)
      unreachable.push_back(record.update.address);
  }
  for (const std::string& address : state_.settings.join) {
    if (!connected.contains(address))
      unreachable.push_back(address);
  }
  return unreachable;
}

void AntiEntropy::HandleDigest(const std::string& address, const std::string& from,
                               const ViewDigest& received) {
  if (table_.IsLivingMember(from) && received.digest == table_.Digest())
    return;
  SendFullState(address, /*request_reply=*/true);
}

void AntiEntropy::SendFullState(const std::string& address, bool request_reply) {
  std::vector<Update> part{state_.Self()};
  std::size_t size = MaxEncodedSize(part.front());
  ++state_.counters.full_states_sent;
  for (const auto& [name, record] : table_.records()) {
    // Members that left need no repair. Dead members are included, because a receiver that still takes them
    // for living may have missed their deaths.
    if (record.update.state == State::kLeft)
      continue;
    const std::size_t more = MaxEncodedSize(record.update);
    if (size + more + kFullStatePacketOverhead > state_.settings.max_packet_bytes) {
      dissemination_.Send(address, FullState{std::exchange(part, {}), false});
      size = 0;
    }
    part.push_back(record.update);
    size += more;
  }
  dissemination_.Send(address, FullState{std::move(part), request_reply});
}

}  // namespace aldersill::membership
