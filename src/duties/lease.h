// The lease of an exclusive duty. A majority of a configured set of voters grants it, so that two members
// never hold it at the same time. A pure state machine: (now, event) -> effects.
//
// The algorithm is PaxosLease (Trencseni, Gazso, Reinhardt 2012): the voters run Paxos to agree on the lease
// holder, and an accepted lease expires by itself. Nothing is stored on disk, and the members' clocks need
// not be synchronized. The algorithm relies on the following:
//
//  - Every clock runs at a rate within `max_clock_drift` of true time. A holder ends its lease earlier than
//    the voters do, by 2 * max_clock_drift of the timespan: a holder with a slow clock then stops before the
//    lease expires at a voter with a fast clock.
//
//  - A proposer counts the answers of a round only for a tenth of the timespan, even if it was paused in the
//    meantime. Otherwise it might count the promise of a voter that has since restarted and forgotten the
//    promise (the model found this case).
//
//  - After its start a voter does not answer for longer than any lease lasts, because it has forgotten which
//    lease it had accepted.
//
//  - The number of a ballot is at least the Unix time in milliseconds, so that terms grow even if all voters
//    have restarted.
//
// docs/duties.md describes what happens if one of these does not hold. tests/models/lease.pml is the model.
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
  std::string duty;                 // name of the duty
  std::string name;                 // of this member
  std::uint64_t epoch = 0;          // epoch of this member's process
  std::vector<std::string> voters;  // names of the voting members, the same list at every member
  Micros timespan = 10 * kSecond;   // duration of a lease
  double max_clock_drift = 0.01;    // relative error of a clock's rate, in either direction; at most 0.2
};

// ---- Events ----

struct LeaseStarted {};  // this member's process has started
struct LeaseMessageReceived {
  std::string from;  // name of the sending member
  LeaseMessage message;
};
struct LeaseTimerExpired {};  // the time next_due() has been reached
// Releases a held lease at once. This process does not compete for the lease again.
struct LeaseReleaseRequested {};
using LeaseEvent = std::variant<LeaseStarted, LeaseMessageReceived, LeaseTimerExpired, LeaseReleaseRequested>;

// ---- Effects ----

struct SendLeaseMessage {
  std::string to;  // name of a voter
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
  std::uint64_t acquired = 0, lost = 0, renewed = 0;  // leases of this member
  std::uint64_t rounds = 0;                           // rounds that this member's proposer started
  std::uint64_t rejected = 0;                         // rounds that ended with a rejection
};

// The proposer and the acceptor of one voter. A member that is not a voter never holds the lease.
class Lease {
 public:
  Lease(LeaseSettings settings, std::uint64_t seed);

  // Applies an event and appends the resulting effects.
  void Handle(Micros now, LeaseEvent event, std::vector<LeaseEffect>* effects);
  // When LeaseTimerExpired is next due; INT64_MAX for never.
  Micros next_due() const;

  // The term of the lease that this member holds at `now`; none if it holds no lease. Callers must check this
  // with the current time before every action that needs the lease, because the lease may have expired while
  // the process was paused.
  std::optional<std::uint64_t> HeldTerm(Micros now) const;
  // The holder of the lease that this voter's acceptor has accepted; none if there is no such lease.
  std::optional<Holder> KnownHolder(Micros now) const { return acceptor_.LeaseHolder(now); }
  const LeaseSettings& settings() const { return settings_; }
  const LeaseCounters& counters() const { return counters_; }

 private:
  enum class Phase { kIdle, kPreparing, kProposing };

  void Apply(const LeaseStarted&);
  void Apply(const LeaseMessageReceived& received);
  void Apply(const LeaseTimerExpired&);
  void Apply(const LeaseReleaseRequested&);
  // Messages to the acceptor.
  void ApplyMessage(const std::string& from, const Prepare& prepare);
  void ApplyMessage(const std::string& from, const Propose& propose);
  void ApplyMessage(const std::string& from, const Release& release);
  // Messages to the proposer.
  void ApplyMessage(const std::string& from, const Promise& promise);
  void ApplyMessage(const std::string& from, const Accepted& accepted);
  void ApplyMessage(const std::string& from, const Rejected& rejected);

  // Sends Prepare with a new ballot to all voters.
  void StartRound();
  // Sends Propose to all voters, after a majority has promised and is free.
  void StartProposing();
  // Ends the round without a lease; the next one starts `retry_after` from now.
  void EndRound(Micros retry_after);
  // Ends the current round if its time is up.
  void EndOverdueRound();
  // Acquires or renews the lease.
  void HoldUntil(Micros until);
  void EndLease();
  void EndExpiredLease();
  // A message that this member sends to itself is applied before Handle returns.
  void Send(const std::string& to, LeaseMessage message);
  void SendToVoters(const LeaseMessage& message);
  bool IsMajority(const std::set<std::string>& names) const {
    return 2 * names.size() > settings_.voters.size();
  }
  bool IsVoter(const std::string& name) const;
  Holder Self() const { return {settings_.name, settings_.epoch}; }
  Micros RandomBetween(Micros min, Micros max);

  const LeaseSettings settings_;
  pcg32 random_;
  Micros now_ = 0;
  std::vector<LeaseEffect>* effects_ = nullptr;
  std::deque<LeaseMessageReceived> messages_to_self_;
  bool released_ = false;
  LeaseAcceptor acceptor_;
  // The proposer's current round.
  Phase phase_ = Phase::kIdle;
  Ballot ballot_;
  std::uint64_t highest_seen_ = 0;     // highest ballot number sent or received
  std::set<std::string> promised_by_;  // voters that have promised this round's ballot
  std::set<std::string> free_voters_;  // those of promised_by_ that reported no lease of another member
  std::set<std::string> accepted_by_;  // voters that have accepted this round's proposal
  Micros other_lease_remaining_ = 0;   // longest remaining time that a promise has reported
  Micros proposed_at_ = 0;             // when Propose was sent
  Micros round_ends_ = 0;              // when the current round is given up
  Micros next_round_ = 0;              // when the next round starts, if none is running
  // The lease that this member holds.
  std::optional<std::uint64_t> term_;
  Micros held_until_ = 0;
  LeaseCounters counters_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_LEASE_H_
