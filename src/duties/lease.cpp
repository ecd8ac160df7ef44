#include "duties/lease.h"

#include <algorithm>
#include <utility>

namespace aldersill::duties {
namespace {

constexpr Micros kNever = INT64_MAX;

}  // namespace

Lease::Lease(LeaseSettings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {}

void Lease::Handle(Micros now, LeaseEvent event, std::vector<LeaseEffect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  CheckHeld();
  CheckRound();
  std::visit([this](auto&& e) { On(std::move(e)); }, std::move(event));
  while (!to_self_.empty()) {
    LeaseMessageReceived heard = std::move(to_self_.front());
    to_self_.pop_front();
    On(std::move(heard));
  }
}

Micros Lease::next_due() const {
  Micros due = kNever;
  if (term_)
    due = held_until_;
  if (gave_up_ || !IsVoter(settings_.name))
    return due;
  return std::min(due, phase_ == Phase::kIdle ? next_try_ : phase_ends_);
}

std::optional<std::uint64_t> Lease::Holds(Micros now) const {
  return term_ && now < held_until_ ? term_ : std::nullopt;
}

std::optional<Holder> Lease::Believed(Micros now) const {
  return accepted_ && now < accepted_until_ ? accepted_ : std::nullopt;
}

bool Lease::IsVoter(const std::string& name) const {
  return std::find(settings_.voters.begin(), settings_.voters.end(), name) != settings_.voters.end();
}

Micros Lease::Drawn(Micros least, Micros most) {
  return least + random_(static_cast<std::uint32_t>(std::max<Micros>(1, most - least)));
}

// ---- Events ----

void Lease::On(const LeaseStarted&) {
  // Longer than any lease that an earlier life may have accepted, by the slowest clock against the fastest.
#ifndef ALDERSILL_PLANT_HASTY_VOTER  // the defect that the search must find (tests/duties)
  silent_until_ =
      now_ + static_cast<Micros>(static_cast<double>(settings_.lease) * (1.0 + 3.0 * settings_.most_drift));
#endif
  next_try_ = std::max(silent_until_, now_) + Drawn(0, settings_.lease / 10);
}

void Lease::On(LeaseMessageReceived&& e) {
  if (!IsVoter(settings_.name) || !IsVoter(e.from))
    return;
  std::visit([&](const auto& m) { On(e.from, m); }, e.message);
}

void Lease::On(const LeaseTime&) {
  if (gave_up_ || !IsVoter(settings_.name))
    return;
  if (phase_ == Phase::kIdle && now_ >= next_try_)
    Begin();
}

void Lease::On(const GiveUp&) {
  gave_up_ = true;
  phase_ = Phase::kIdle;
  if (!term_)
    return;
  effects_->push_back(Lost{*std::exchange(term_, std::nullopt)});
  ++counters_.lost;
  SendToVoters(Release{Me()});
}

void Lease::CheckHeld() {
  if (!term_ || now_ < held_until_)
    return;
  effects_->push_back(Lost{*std::exchange(term_, std::nullopt)});
  ++counters_.lost;
}

void Lease::CheckRound() {
  if (phase_ != Phase::kIdle && now_ >= phase_ends_)
    Retreat(Drawn(settings_.lease / 20, settings_.lease / 10));
}

// ---- The voter ----

void Lease::On(const std::string& from, const Prepare& m) {
  highest_seen_ = std::max(highest_seen_, m.ballot.number);
  if (now_ < silent_until_)
    return;
  if (m.ballot < promised_)
    return Tell(from, Rejected{m.ballot, promised_});
  promised_ = m.ballot;
  Promise promise{m.ballot, Believed(now_), 0};
  if (promise.held_by)
    promise.left = accepted_until_ - now_;
  Tell(from, promise);
}

void Lease::On(const std::string& from, const Propose& m) {
  highest_seen_ = std::max(highest_seen_, m.ballot.number);
  if (now_ < silent_until_)
    return;
  if (m.ballot < promised_)
    return Tell(from, Rejected{m.ballot, promised_});
  promised_ = accepted_ballot_ = m.ballot;
  accepted_ = m.holder;
  // One whose settings differ must not have this voter believe in a lease longer than any that it waits for.
  accepted_until_ = now_ + std::clamp<Micros>(m.lease, 0, settings_.lease);
  Tell(from, Accepted{m.ballot});
}

void Lease::On(const std::string&, const Release& m) {
  if (accepted_ && *accepted_ == m.holder)
    accepted_.reset();
  if (phase_ == Phase::kIdle && !term_)
    next_try_ = std::min(next_try_, now_ + Drawn(0, settings_.lease / 20));
}

// ---- Who asks ----

void Lease::Begin() {
  highest_seen_ = std::max(highest_seen_ + 1, static_cast<std::uint64_t>(now_ / kMillisecond));
  ballot_ = {highest_seen_, settings_.name};
  promises_.clear(), free_.clear(), accepts_.clear();
  wait_hint_ = 0;
  phase_ = Phase::kPreparing;
  phase_ends_ = now_ + settings_.lease / 10;
  ++counters_.rounds;
  SendToVoters(Prepare{ballot_});
}

void Lease::On(const std::string& from, const Promise& m) {
  if (phase_ != Phase::kPreparing || m.ballot != ballot_)
    return;
  promises_.insert(from);
  if (!m.held_by || *m.held_by == Me()) {
    free_.insert(from);
  } else {
    wait_hint_ = std::max(wait_hint_, std::min(m.left, settings_.lease));
  }
  if (Majority(free_)) {
    phase_ = Phase::kProposing;
    phase_ends_ = now_ + settings_.lease / 10;
    proposed_at_ = now_;  // before any voter can have begun to count
    SendToVoters(Propose{ballot_, Me(), settings_.lease});
  } else if (promises_.size() == settings_.voters.size() || (wait_hint_ > 0 && Majority(promises_))) {
    Retreat(wait_hint_ + Drawn(0, settings_.lease / 20));
  }
}

void Lease::On(const std::string& from, const Accepted& m) {
  if (phase_ != Phase::kProposing || m.ballot != ballot_)
    return;
  accepts_.insert(from);
  if (!Majority(accepts_))
    return;
  phase_ = Phase::kIdle;
  const Micros until = proposed_at_ + static_cast<Micros>(static_cast<double>(settings_.lease) *
                                                          (1.0 - 2.0 * settings_.most_drift));
  next_try_ = proposed_at_ + settings_.lease / 3;  // to renew
  if (until <= now_)
    return;                           // the word came too late
#ifdef ALDERSILL_PLANT_ENDLESS_LEASE  // planted where a search must find it
  held_until_ = until + 60 * kSecond;
#else
  held_until_ = until;
#endif
  if (term_) {
    ++counters_.renewed;
    return;
  }
  term_ = ballot_.number;
  ++counters_.taken;
  effects_->push_back(Taken{*term_});
}

void Lease::On(const std::string&, const Rejected& m) {
  highest_seen_ = std::max(highest_seen_, m.highest.number);
  if (phase_ == Phase::kIdle || m.ballot != ballot_)
    return;
  ++counters_.rejected;
  Retreat(Drawn(settings_.lease / 20, settings_.lease / 5));
}

void Lease::Retreat(Micros wait) {
  phase_ = Phase::kIdle;
  next_try_ = now_ + wait;
}

void Lease::Tell(const std::string& to, LeaseMessage message) {
  if (to == settings_.name) {
    to_self_.push_back(LeaseMessageReceived{settings_.name, std::move(message)});
  } else {
    effects_->push_back(SendTo{to, std::move(message)});
  }
}

void Lease::SendToVoters(const LeaseMessage& message) {
  for (const std::string& voter : settings_.voters)
    Tell(voter, message);
}

}  // namespace aldersill::duties
