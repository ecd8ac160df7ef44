#include "cluster/cluster.h"

#include <algorithm>
#include <utility>

#include "duties/codec.h"

namespace aldersill::cluster {

Cluster::Cluster(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), seed_(seed), membership_(settings_.membership, seed) {
  if (settings_.probing)
    probing_.emplace(*settings_.probing, seed + 1);
}

void Cluster::Handle(Micros now, Event event, std::vector<Effect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  std::visit([this](auto&& e) { On(std::move(e)); }, std::move(event));
}

Micros Cluster::next_due() const {
  Micros due = membership_.next_due();
  if (probing_)
    due = std::min(due, probing_->next_due());
  for (const auto& [duty, lease] : leases_)
    due = std::min(due, lease.next_due());
  return due;
}

// ---- Events ----

void Cluster::On(Start&& e) {
  for (std::size_t i = 0; i < settings_.exclusive.size(); ++i) {
    duties::LeaseSettings lease{settings_.exclusive[i], settings_.membership.name, e.epoch,
                                settings_.voters,       settings_.lease,           settings_.most_drift};
    leases_.emplace(settings_.exclusive[i], duties::Lease(std::move(lease), seed_ + 2 + i));
  }
  ToMembership(membership::Started{e.epoch});
  ToProbing(duties::MemberJoined{settings_.membership.name, settings_.membership.weight});
  for (auto& [duty, lease] : leases_)
    ToLease(&lease, duties::LeaseStarted{});
}

void Cluster::On(PacketReceived&& e) {
  ToMembership(membership::PacketReceived{std::move(e.address), std::move(e.packet)});
}

void Cluster::On(TimerExpired&&) {
  // Leases first: one that ended while this instance stood still must not outlive another's word.
  for (auto& [duty, lease] : leases_)
    ToLease(&lease, duties::LeaseTime{});
  if (membership_.next_due() <= now_)
    ToMembership(membership::TimerExpired{});
  if (probing_ && probing_->next_due() <= now_)
    ToProbing(duties::ProbeTime{});
}

void Cluster::On(Workers&& e) { ToProbing(duties::WorkersChanged{std::move(e.all)}); }

void Cluster::On(ProbeCompleted&& e) {
  ToProbing(duties::ProbeEnded{e.number, e.outcome, e.elapsed, e.report});
}

void Cluster::On(Leave&&) {
  for (auto& [duty, lease] : leases_)
    ToLease(&lease, duties::GiveUp{});
  ToMembership(membership::LeaveRequested{});
  ToProbing(duties::MemberLeft{settings_.membership.name});
}

// ---- What the parts ask for ----

void Cluster::ToMembership(membership::Event event) {
  std::vector<membership::Effect> asked;
  membership_.Handle(now_, std::move(event), &asked);
  for (membership::Effect& effect : asked) {
    std::visit([this](auto&& e) { Do(std::move(e)); }, std::move(effect));
  }
}

void Cluster::ToProbing(duties::ProbeEvent event) {
  if (!probing_)
    return;
  std::vector<duties::ProbeEffect> asked;
  probing_->Handle(now_, std::move(event), &asked);
  for (duties::ProbeEffect& effect : asked) {
    std::visit([this](auto&& e) { Do(std::move(e)); }, std::move(effect));
  }
}

void Cluster::ToLease(duties::Lease* lease, duties::LeaseEvent event) {
  std::vector<duties::LeaseEffect> asked;
  lease->Handle(now_, std::move(event), &asked);
  const std::string& duty = lease->settings().duty;
  for (duties::LeaseEffect& effect : asked) {
    if (auto* send = std::get_if<duties::SendTo>(&effect)) {
      ToMembership(membership::DirectMessageRequested{
          send->to, duties::EncodeMessage(duties::DutyMessage{duty, std::move(send->message)})});
    } else if (const auto* taken = std::get_if<duties::Taken>(&effect)) {
      effects_->push_back(LeaseChange{duty, true, taken->term});
    } else {
      effects_->push_back(LeaseChange{duty, false, std::get<duties::Lost>(effect).term});
    }
  }
}

void Cluster::Do(membership::SendPacket&& e) {
  effects_->push_back(Send{std::move(e.address), std::move(e.packet)});
}

void Cluster::Do(membership::MembershipChange&& e) {
  using What = membership::MembershipChange::What;
  effects_->push_back(e);
  switch (e.what) {
    case What::kDead:
    case What::kLeft:
      return ToProbing(duties::MemberLeft{e.member.name});
    case What::kSuspect:  // it may yet speak up, and its duties are its own until then
      return;
    default:
      return ToProbing(duties::MemberJoined{e.member.name, e.member.weight});
  }
}

void Cluster::Do(membership::GossipReceived&& e) {
  if (!probing_)
    return;
  auto result = duties::DecodeResult(e.message.key, e.message.body);
  if (!result) {
    ++malformed_;
    return;
  }
  ToProbing(duties::ProbeResultReceived{std::move(*result)});
}

void Cluster::Do(membership::DirectMessageReceived&& e) {
  auto message = duties::DecodeMessage(e.body);
  const auto lease = message ? leases_.find(message->duty) : leases_.end();
  if (lease == leases_.end()) {
    ++malformed_;
    return;
  }
  ToLease(&lease->second, duties::LeaseMessageReceived{e.from, std::move(message->message)});
}

void Cluster::Do(duties::StartProbe&& e) {
  effects_->push_back(Probe{e.number, std::move(e.worker), std::move(e.address)});
}

void Cluster::Do(duties::BroadcastResult&& e) {
  ToMembership(membership::BroadcastRequested{{e.result.worker, duties::EncodeResult(e.result)}});
}

void Cluster::Do(duties::DeliverResult&& e) { effects_->push_back(Result{std::move(e.result)}); }

}  // namespace aldersill::cluster
