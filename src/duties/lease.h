// The lease of an exclusive duty, granted by a majority of a configured set of voters, so that never two
// members hold it at once. Pure: (now, event) -> effects.
//
// The algorithm is PaxosLease (Trencseni, Gazso, Reinhardt 2012): Paxos on who holds the lease, where what is
// accepted ends by itself, so that nothing is kept on disk and clocks need not agree. Its assumptions:
//  - Clocks run at rates within `max_clock_drift` of true time. A holder ends its lease 2 * max_clock_drift
//  of
//    the timespan early: it has ended by the holder's slow clock before it can end at a voter with a fast
//    one.
//  - A round counts answers for a tenth of the timespan and no longer, also if the proposer was paused
//    meanwhile: the promise of a voter that has restarted since, and forgotten it, must not count (found by
//    the model).
//  - A voter that starts stays silent for longer than any lease, as it has forgotten what it accepted.
//  - Ballots are above the Unix time in milliseconds, so that terms grow even where all voters have
//  restarted.
// docs/duties.md describes what happens where an assumption fails. The model is tests/models/lease.pml.
#ifndef ALDERSILL_SRC_DUTIES_LEASE_H_
#define ALDERSILL_SRC_DUTIES_LEASE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "duties/lease_acceptor.h"
#include "duties/types.h"

namespace aldersill::duties {

struct LeaseSettings {
  std::string duty;
  std::string name;                 // of this member
  std::uint64_t epoch = 0;          // of this member's process
  std::vector<std::string> voters;  // the same at all members; others take no part
  Micros timespan = 10 * kSecond;
  double max_clock_drift = 0.01;  // of a clock's rate, either way; at most 0.2
};

// ---- Events ----

struct LeaseStarted {};
struct LeaseMessageReceived {
  std::string from;
  LeaseMessage message;
};
struct LeaseTimerExpired {};      // next_due() is reached
struct LeaseReleaseRequested {};  // for good: a held lease is released at once
using LeaseEvent = std::variant<LeaseStarted, LeaseMessageReceived, LeaseTimerExpired, LeaseReleaseRequested>;

// ---- Effects ----

struct SendLeaseMessage {
  std::string to;  // a voter
  LeaseMessage message;
};
struct LeaseAcquired {
  std::uint64_t term = 0;
};
struct LeaseLost {
  std::uint64_t term = 0;
};
using LeaseEffect = std::variant<SendLeaseMessage, LeaseAcquired, LeaseLost>;

struct LeaseCounters {
  std::uint64_t acquired = 0, lost = 0, renewed = 0, rounds = 0, rejected = 0;
};

// One voter's proposer, with the acceptor that runs in the same process.
class Lease {
 public:
  Lease(LeaseSettings settings, std::uint64_t seed);

  void Handle(Micros now, LeaseEvent event, std::vector<LeaseEffect>* effects);
  Micros next_due() const;

  // The term under which this member may act now. To be asked before each act with the time of the act: a
  // member that was paused holds nothing until it has renewed its lease.
  std::optional<std::uint64_t> HeldTerm(Micros now) const;
  // The lease holder as far as this voter's acceptor knows.
  std::optional<Holder> KnownHolder(Micros now) const { return acceptor_.LeaseHolder(now); }
  const LeaseSettings& settings() const { return settings_; }
  const LeaseCounters& counters() const { return counters_; }

 private:
  enum class Phase { kIdle, kPreparing, kProposing };

  void Apply(const LeaseStarted&);
  void Apply(const LeaseMessageReceived& received);
  void Apply(const LeaseTimerExpired&);
  void Apply(const LeaseReleaseRequested&);
  // As the acceptor.
  void ApplyMessage(const std::string& from, const Prepare& prepare);
  void ApplyMessage(const std::string& from, const Propose& propose);
  void ApplyMessage(const std::string& from, const Release& release);
  // As the proposer.
  void ApplyMessage(const std::string& from, const Promise& promise);
  void ApplyMessage(const std::string& from, const Accepted& accepted);
  void ApplyMessage(const std::string& from, const Rejected& rejected);

  void StartRound();
  void StartProposing();
  void EndRound(Micros retry_after);
  void EndOverdueRound();
  void HoldUntil(Micros until);
  void Lose();
  void EndExpiredLease();
  // A message to this member itself is handled before Handle returns.
  void Send(const std::string& to, LeaseMessage message);
  void SendToVoters(const LeaseMessage& message);
  bool IsMajority(const std::set<std::string>& names) const {
    return 2 * names.size() > settings_.voters.size();
  }
  bool IsVoter(const std::string& name) const;
  Holder Self() const { return {settings_.name, settings_.epoch}; }
  Micros RandomBetween(Micros least, Micros most);

  const LeaseSettings settings_;
  pcg32 random_;
  Micros now_ = 0;
  std::vector<LeaseEffect>* effects_ = nullptr;
  std::deque<LeaseMessageReceived> messages_to_self_;
  bool released_ = false;
  LeaseAcceptor acceptor_;
  // The proposer's round.
  Phase phase_ = Phase::kIdle;
  Ballot ballot_;
  std::uint64_t highest_seen_ = 0;
  std::set<std::string> promised_by_;  // voters that promised this round's ballot
  std::set<std::string> open_at_;      // of these, those without another member's lease
  std::set<std::string> accepted_by_;
  Micros other_lease_remaining_ = 0;  // the longest that a promise reported
  Micros proposed_at_ = 0;
  Micros round_ends_ = 0;
  Micros next_round_ = 0;
  // The held lease.
  std::optional<std::uint64_t> term_;
  Micros held_until_ = 0;
  LeaseCounters counters_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_LEASE_H_
