#include "membership/dissemination.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/packet_size.h"

namespace aldersill::membership {
namespace {

// Upper bound, in bytes, of everything but the gossip message in a packet that carries one.
constexpr std::size_t kGossipPacketOverhead = 128;

}  // namespace

Dissemination::Dissemination(ProtocolState& state, const MemberTable& table, PeerSelector& peers)
    : state_(state),
      table_(table),
      peers_(peers),
      updates_(state.settings.max_members),
      gossip_(state.settings.max_gossip_messages) {}

void Dissemination::Start() {
  next_gossip_ = state_.now + state_.RandomWithin(state_.settings.gossip_interval);
}

void Dissemination::EnqueueUpdate(const Update& update) {
  updates_.Put(update.name, update, MaxEncodedSize(update));
}

void Dissemination::EnqueueGossip(GossipMessage message) {
  const std::size_t size = MaxEncodedSize(message);
  if (size + kGossipPacketOverhead > state_.settings.max_packet_bytes)
    return;
  const std::string key = message.key;
  gossip_.Put(key, std::move(message), size);
}

void Dissemination::Send(const std::string& address, Message message, const std::string& to_member) {
  const Settings& settings = state_.settings;
  Packet packet{.from = settings.name,
                .epoch = state_.incarnation.epoch,
                .message = std::move(message),
                .updates = {},
                .gossip = {}};
  std::size_t used = MaxEncodedSize(packet);
  // Lifeguard's buddy system: every member that contacts a suspect informs it of the suspicion.
  if (const MemberRecord* to = table_.Find(to_member); to != nullptr && to->update.state == State::kSuspect) {
    used += MaxEncodedSize(to->update);
    packet.updates.push_back(to->update);
  }
  if (used < settings.max_packet_bytes) {
    const std::size_t left =
        updates_.Take(settings.max_packet_bytes - used, UpdateTransmissions(), &packet.updates);
    // Only packets of kind Gossip carry gossip messages, so that pings and acks stay short.
    if (std::holds_alternative<Gossip>(packet.message))
      gossip_.Take(left, settings.gossip_transmissions, &packet.gossip);
  }
  state_.Emit(SendPacket{address, std::move(packet)});
}

void Dissemination::SendToMember(const std::string& member, Message message) {
  Send(table_.Find(member)->update.address, std::move(message));
}

void Dissemination::SendGossipTo(const std::string& member) {
  Send(table_.Find(member)->update.address, Gossip{}, member);
}

void Dissemination::SendGossipRound() {
  const Settings& settings = state_.settings;
  next_gossip_ = state_.now + settings.gossip_interval;
  if (idle())
    return;
  for (const std::string& peer : peers_.RandomPeers(static_cast<std::size_t>(settings.gossip_fanout), "",
                                                    PeerSelector::Candidates::kLivingAndRecentlyDead)) {
    if (idle())
      return;
    SendGossipTo(peer);
  }
  for (int sent = 0; sent < settings.gossip_burst && !gossip_.empty(); ++sent) {
    for (const std::string& peer : peers_.RandomPeers(1))
      SendGossipTo(peer);
  }
}

void Dissemination::PostponeTo(Micros time) { next_gossip_ = std::max(next_gossip_, time); }

int Dissemination::UpdateTransmissions() const {
  const double members = static_cast<double>(table_.living()) + 1.0;
  return state_.settings.retransmissions * static_cast<int>(std::ceil(std::log10(members)));
}

}  // namespace aldersill::membership
