#include "membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace aldersill::membership {
namespace {

// Limit of concurrent pings on other members' behalf; further requests are ignored.
constexpr std::size_t kMaxRelays = 256;

}  // namespace

FailureDetector::FailureDetector(ProtocolState& state, const MemberTable& table, PeerSelector& peers,
                                 Dissemination& dissemination)
    : state_(state), table_(table), peers_(peers), dissemination_(dissemination) {}

void FailureDetector::Start() {
  next_period_ = state_.now + state_.RandomWithin(state_.settings.probe_interval);
}

Micros FailureDetector::next_due() const {
  Micros due = next_period_;
  if (AwaitsDirectAck())
    due = std::min(due, probe_->indirect_pings_at);
  for (const auto& [number, relay] : relays_)
    due = std::min(due, relay.negative_ack_at);
  return due;
}

void FailureDetector::PostponeTo(Micros time) { next_period_ = std::max(next_period_, time); }

// ---- This member's own probes ----

void FailureDetector::BeginPeriod() {
  next_period_ = state_.now + state_.health.Stretch(state_.settings.probe_interval);
  if (state_.leaving)
    return;
  const std::optional<std::string> target = peers_.NextProbeTarget();
  if (!target)
    return;
  const Update& member = table_.Find(*target)->update;
  ++state_.counters.probes;
  probe_ = Probe{.target = *target,
                 .number = next_number_++,
                 .indirect_pings_at = state_.now + state_.health.Stretch(state_.settings.probe_timeout)};
  dissemination_.Send(member.address, Ping{probe_->number, *target, member.incarnation.epoch}, *target);
}

void FailureDetector::SendDueIndirectPings() {
  if (!AwaitsDirectAck() || probe_->indirect_pings_at > state_.now)
    return;
  probe_->indirect_pings_sent = true;
  const MemberRecord* target = table_.Find(probe_->target);
  if (target == nullptr)
    return;
  const Update member = target->update;
  const auto count = static_cast<std::size_t>(state_.settings.indirect_probes);
  for (const std::string& peer : peers_.RandomPeers(count, probe_->target)) {
    ++probe_->negative_acks_expected;
    ++state_.counters.indirect_probes;
    dissemination_.SendToMember(
        peer, IndirectPing{probe_->number, member.name, member.address, member.incarnation.epoch});
  }
  // Without any other member to ask, this member itself may equally be at fault: a failure then worsens its
  // health score by one.
  probe_->negative_acks_expected = std::max(probe_->negative_acks_expected, 1);
}

std::optional<Update> FailureDetector::EndPeriod() {
  const std::optional<Probe> probe = std::exchange(probe_, std::nullopt);
  if (!probe || probe->acked)
    return std::nullopt;
  ++state_.counters.probes_failed;
  // If members asked sent neither an ack nor a negative ack, this member itself is more likely at fault.
  state_.health.Worsen(probe->negative_acks_expected);
  const MemberRecord* target = table_.Find(probe->target);
  if (target == nullptr || !IsLiving(target->update.state))
    return std::nullopt;
  Update accusation = target->update;
  accusation.state = State::kSuspect;
  accusation.accuser = state_.settings.name;
  return accusation;
}

void FailureDetector::HandleAck(const std::string& from, const Ack& ack) {
  if (const auto relay = relays_.find(ack.number); relay != relays_.end()) {
    dissemination_.Send(relay->second.address, Ack{relay->second.number});
    relays_.erase(relay);
    return;
  }
  if (!probe_ || probe_->number != ack.number || probe_->acked)
    return;
  // A direct ack must come from the target itself. Once indirect pings have been sent, the members asked may
  // also forward the ack.
  if (!probe_->indirect_pings_sent && from != probe_->target)
    return;
  probe_->acked = true;
  state_.health.Improve();
}

void FailureDetector::HandleNegativeAck(const NegativeAck& ack) {
  if (probe_ && probe_->number == ack.number && probe_->negative_acks_expected > 0)
    --probe_->negative_acks_expected;
}

// ---- Other members' probes ----

void FailureDetector::HandlePing(const std::string& address, const Ping& ping) {
  if (ping.target != state_.settings.name || state_.leaving)
    return;
  if (ping.epoch == state_.incarnation.epoch) {
    dissemination_.Send(address, Ack{ping.number});
    return;
  }
  // The ping is for a previous process of this member, so its sender must be told of the restart.
  dissemination_.EnqueueUpdate(state_.Self());
  dissemination_.Send(address, Gossip{});
}

void FailureDetector::HandleIndirectPing(const std::string& address, const IndirectPing& ping) {
  if (ping.target == state_.settings.name || relays_.size() >= kMaxRelays)
    return;
  const std::uint32_t number = next_number_++;
  relays_[number] = Relay{.address = address,
                          .number = ping.number,
                          .negative_ack_at = state_.now + state_.settings.probe_timeout * 4 / 5};
  dissemination_.Send(ping.address, Ping{number, ping.target, ping.epoch}, ping.target);
}

void FailureDetector::SendDueNegativeAcks() {
  for (auto at = relays_.begin(); at != relays_.end();) {
    if (at->second.negative_ack_at > state_.now) {
      ++at;
      continue;
    }
    dissemination_.Send(at->second.address, NegativeAck{at->second.number});
    at = relays_.erase(at);
  }
}

}  // namespace aldersill::membership
