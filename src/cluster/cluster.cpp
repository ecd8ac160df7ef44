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
  std::visit([this](auto&& alternative) { Apply(std::forward<decltype(alternative)>(alternative)); },
             std::move(event));
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

void Cluster::Apply(Started&& event) {
  for (std::size_t i = 0; i < settings_.exclusive.size(); ++i) {
    const std::string& duty = settings_.exclusive[i];
    duties::LeaseSettings lease{.duty = duty,
                                .name = settings_.membership.name,
                                .epoch = event.epoch,
                                .voters = settings_.voters,
                                .timespan = settings_.lease,
                                .max_clock_drift = settings_.max_clock_drift};
    leases_.emplace(duty, duties::Lease(std::move(lease), seed_ + 2 + i));
  }
  HandleInMembership(membership::Started{event.epoch});
  HandleInProbing(duties::MemberJoined{settings_.membership.name, settings_.membership.weight});
  for (auto& [duty, lease] : leases_)
    HandleInLease(&lease, duties::LeaseStarted{});
}

void Cluster::Apply(PacketReceived&& event) {
  HandleInMembership(membership::PacketReceived{std::move(event.address), std::move(event.packet)});
}

void Cluster::Apply(TimerExpired&&) {
  // The leases come first, so that a lease that expired while this process was paused ends before anything
  // else happens.
  for (auto& [duty, lease] : leases_)
    HandleInLease(&lease, duties::LeaseTimerExpired{});
  if (membership_.next_due() <= now_)
    HandleInMembership(membership::TimerExpired{});
  if (probing_ && probing_->next_due() <= now_)
    HandleInProbing(duties::ProbeTimerExpired{});
}

void Cluster::Apply(WorkersChanged&& event) {
  HandleInProbing(duties::WorkersChanged{std::move(event.workers)});
}

void Cluster::Apply(ProbeCompleted&& event) {
  HandleInProbing(duties::ProbeEnded{event.number, event.outcome, event.elapsed, event.report});
}

void Cluster::Apply(LeaveRequested&&) {
  for (auto& [duty, lease] : leases_)
    HandleInLease(&lease, duties::LeaseReleaseRequested{});
  HandleInMembership(membership::LeaveRequested{});
  HandleInProbing(duties::MemberLeft{settings_.membership.name});
}

// ---- The components and their effects ----

void Cluster::HandleInMembership(membership::Event event) {
  std::vector<membership::Effect> effects;
  membership_.Handle(now_, std::move(event), &effects);
  for (membership::Effect& effect : effects) {
    std::visit([this](auto&& alternative) { Perform(std::forward<decltype(alternative)>(alternative)); },
               std::move(effect));
  }
}

void Cluster::HandleInProbing(duties::ProbeEvent event) {
  if (!probing_)
    return;
  std::vector<duties::ProbeEffect> effects;
  probing_->Handle(now_, std::move(event), &effects);
  for (duties::ProbeEffect& effect : effects) {
    std::visit([this](auto&& alternative) { Perform(std::forward<decltype(alternative)>(alternative)); },
               std::move(effect));
  }
}

void Cluster::HandleInLease(duties::Lease* lease, duties::LeaseEvent event) {
  std::vector<duties::LeaseEffect> effects;
  lease->Handle(now_, std::move(event), &effects);
  const std::string& duty = lease->settings().duty;
  for (duties::LeaseEffect& effect : effects) {
    if (auto* send = std::get_if<duties::SendLeaseMessage>(&effect)) {
      HandleInMembership(membership::DirectMessageRequested{
          send->to, duties::EncodeMessage(duties::DutyMessage{duty, std::move(send->message)})});
    } else if (const auto* acquired = std::get_if<duties::LeaseAcquired>(&effect)) {
      effects_->push_back(LeaseChange{duty, true, acquired->term});
    } else {
      effects_->push_back(LeaseChange{duty, false, std::get<duties::LeaseLost>(effect).term});
    }
  }
}

void Cluster::Perform(membership::SendPacket&& effect) {
  effects_->push_back(SendPacket{std::move(effect.address), std::move(effect.packet)});
}

void Cluster::Perform(membership::MembershipChange&& effect) {
  using Kind = membership::MembershipChange::Kind;
  effects_->push_back(effect);
  switch (effect.kind) {
    case Kind::kDead:
    case Kind::kLeft:
      return HandleInProbing(duties::MemberLeft{effect.member.name});
    case Kind::kSuspect:  // a suspect keeps its duties, as it may refute the suspicion
      return;
    default:
      return HandleInProbing(duties::MemberJoined{effect.member.name, effect.member.weight});
  }
}

void Cluster::Perform(membership::GossipReceived&& effect) {
  if (!probing_)
    return;
  auto result = duties::DecodeResult(effect.message.key, effect.message.body);
  if (!result) {
    ++malformed_;
    return;
  }
  HandleInProbing(duties::ProbeResultReceived{std::move(*result)});
}

void Cluster::Perform(membership::DirectMessageReceived&& effect) {
  auto message = duties::DecodeMessage(effect.body);
  const auto lease = message ? leases_.find(message->duty) : leases_.end();
  if (lease == leases_.end()) {
    ++malformed_;
    return;
  }
  HandleInLease(&lease->second, duties::LeaseMessageReceived{effect.from, std::move(message->message)});
}

void Cluster::Perform(duties::StartProbe&& effect) {
  effects_->push_back(StartProbe{effect.number, std::move(effect.worker), std::move(effect.address)});
}

void Cluster::Perform(duties::BroadcastResult&& effect) {
  HandleInMembership(
      membership::BroadcastRequested{{effect.result.worker, duties::EncodeResult(effect.result)}});
}

void Cluster::Perform(duties::DeliverResult&& effect) {
  effects_->push_back(DeliverResult{std::move(effect.result)});
}

}  // namespace aldersill::cluster
