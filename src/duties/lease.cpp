#include "duties/lease.h"

#include <algorithm>
#include <utility>

namespace aldersill::duties {
namespace {

constexpr Micros kNever = INT64_MAX;

}  // namespace

Lease::Lease(LeaseSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      acceptor_(settings_.timespan, settings_.max_clock_drift) {}

void Lease::Handle(Micros now, LeaseEvent event, std::vector<LeaseEffect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  EndExpiredLease();
  EndOverdueRound();
  std::visit([this](const auto& alternative) { Apply(alternative); }, event);
  while (!messages_to_self_.empty()) {
    const LeaseMessageReceived received = std::move(messages_to_self_.front());
    messages_to_self_.pop_front();
    Apply(received);
  }
}

Micros Lease::next_due() const {
  const Micros lease_end = term_ ? held_until_ : kNever;
  if (released_ || !IsVoter(settings_.name))
    return lease_end;
  return std::min(lease_end, phase_ == Phase::kIdle ? next_round_ : round_ends_);
}

std::optional<std::uint64_t> Lease::HeldTerm(Micros now) const {
  return term_ && now < held_until_ ? term_ : std::nullopt;
}

bool Lease::IsVoter(const std::string& name) const {
  return std::find(settings_.voters.begin(), settings_.voters.end(), name) != settings_.voters.end();
}

Micros Lease::RandomBetween(Micros min, Micros max) {
  return min + random_(static_cast<std::uint32_t>(std::max<Micros>(1, max - min)));
}

// ---- Events ----

void Lease::Apply(const LeaseStarted&) {
  acceptor_.Start(now_);
  next_round_ = std::max(acceptor_.silent_until(), now_) + RandomBetween(0, settings_.timespan / 10);
}

void Lease::Apply(const LeaseMessageReceived& received) {
  if (!IsVoter(settings_.name) || !IsVoter(received.from))
    return;
  std::visit([&](const auto& message) { ApplyMessage(received.from, message); }, received.message);
}

void Lease::Apply(const LeaseTimerExpired&) {
  if (released_ || !IsVoter(settings_.name))
    return;
  if (phase_ == Phase::kIdle && now_ >= next_round_)
    StartRound();
}

void Lease::Apply(const LeaseReleaseRequested&) {
  released_ = true;
  phase_ = Phase::kIdle;
  if (!term_)
    return;
  EndLease();
  SendToVoters(Release{Self()});
}

void Lease::EndLease() {
  effects_->push_back(LeaseLost{*std::exchange(term_, std::nullopt)});
  ++counters_.lost;
}

void Lease::EndExpiredLease() {
  if (term_ && now_ >= held_until_)
    EndLease();
}

void Lease::EndOverdueRound() {
  if (phase_ != Phase::kIdle && now_ >= round_ends_)
    EndRound(RandomBetween(settings_.timespan / 20, settings_.timespan / 10));
}

// ---- The acceptor ----

void Lease::ApplyMessage(const std::string& from, const Prepare& prepare) {
  highest_seen_ = std::max(highest_seen_, prepare.ballot.number);
  if (std::optional<LeaseMessage> reply = acceptor_.Handle(now_, prepare))
    Send(from, std::move(*reply));
}

void Lease::ApplyMessage(const std::string& from, const Propose& propose) {
  highest_seen_ = std::max(highest_seen_, propose.ballot.number);
  if (std::optional<LeaseMessage> reply = acceptor_.Handle(now_, propose))
    Send(from, std::move(*reply));
}

void Lease::ApplyMessage(const std::string&, const Release& release) {
  acceptor_.Handle(release);
  if (phase_ == Phase::kIdle && !term_)
    next_round_ = std::min(next_round_, now_ + RandomBetween(0, settings_.timespan / 20));
}

// ---- The proposer ----

void Lease::StartRound() {
  highest_seen_ = std::max(highest_seen_ + 1, static_cast<std::uint64_t>(now_ / kMillisecond));
  ballot_ = {highest_seen_, settings_.name};
  promised_by_.clear();
  free_voters_.clear();
  accepted_by_.clear();
  other_lease_remaining_ = 0;
  phase_ = Phase::kPreparing;
  round_ends_ = now_ + settings_.timespan / 10;
  ++counters_.rounds;
  SendToVoters(Prepare{ballot_});
}

void Lease::ApplyMessage(const std::string& from, const Promise& promise) {
  if (phase_ != Phase::kPreparing || promise.ballot != ballot_)
    return;
  promised_by_.insert(from);
  if (!promise.lease_holder || *promise.lease_holder == Self()) {
    free_voters_.insert(from);
  } else {
    other_lease_remaining_ =
        std::max(other_lease_remaining_, std::min(promise.remaining, settings_.timespan));
  }
  if (IsMajority(free_voters_)) {
    StartProposing();
    return;
  }
  const bool all_promised = promised_by_.size() == settings_.voters.size();
  const bool held_by_another = other_lease_remaining_ > 0 && IsMajority(promised_by_);
  if (all_promised || held_by_another)
    EndRound(other_lease_remaining_ + RandomBetween(0, settings_.timespan / 20));
}

void Lease::StartProposing() {
  phase_ = Phase::kProposing;
  round_ends_ = now_ + settings_.timespan / 10;
  // The holder counts its lease from here, as no voter can accept it, and start its own count, any earlier.
  proposed_at_ = now_;
  SendToVoters(Propose{ballot_, Self(), settings_.timespan});
}

void Lease::ApplyMessage(const std::string& from, const Accepted& accepted) {
  if (phase_ != Phase::kProposing || accepted.ballot != ballot_)
    return;
  accepted_by_.insert(from);
  if (!IsMajority(accepted_by_))
    return;
  phase_ = Phase::kIdle;
  const double usable = 1.0 - 2.0 * settings_.max_clock_drift;
  const Micros until = proposed_at_ + static_cast<Micros>(static_cast<double>(settings_.timespan) * usable);
  next_round_ = proposed_at_ + settings_.timespan / 3;  // the round that renews the lease
  if (until > now_)
    HoldUntil(until);
}

void Lease::HoldUntil(Micros until) {
#ifdef ALDERSILL_MUTANT_LEASE_OVERRUN  // injected fault that fleet_search must detect
  held_until_ = until + 60 * kSecond;
#else
  held_until_ = until;
#endif
  if (term_) {
    ++counters_.renewed;
    return;
  }
  term_ = ballot_.number;
  ++counters_.acquired;
  effects_->push_back(LeaseAcquired{*term_});
}

void Lease::ApplyMessage(const std::string&, const Rejected& rejected) {
  highest_seen_ = std::max(highest_seen_, rejected.promised.number);
  if (phase_ == Phase::kIdle || rejected.ballot != ballot_)
    return;
  ++counters_.rejected;
  EndRound(RandomBetween(settings_.timespan / 20, settings_.timespan / 5));
}

void Lease::EndRound(Micros retry_after) {
  phase_ = Phase::kIdle;
  next_round_ = now_ + retry_after;
}

void Lease::Send(const std::string& to, LeaseMessage message) {
  if (to == settings_.name) {
    messages_to_self_.push_back(LeaseMessageReceived{settings_.name, std::move(message)});
  } else {
    effects_->push_back(SendLeaseMessage{to, std::move(message)});
  }
}

void Lease::SendToVoters(const LeaseMessage& message) {
  for (const std::string& voter : settings_.voters)
    Send(voter, message);
}

}  // namespace aldersill::duties
