// An exclusive duty: a lease from a majority of a configured set of instances, so that never two act at once.
// Pure: (now, event) -> effects.
//
// The algorithm is PaxosLease (Trencseni, Gazso, Reinhardt 2012): Paxos on who holds, where what is accepted
// ends by itself, so that nothing has to be on disk and no clocks have to agree. What it rests on:
//  - clocks run at rates within `most_drift` of true time. A holder stops 2 * most_drift of the lease early,
//  so
//    that it has ended by its own slow clock before it can have ended at any voter by a fast one;
//  - a round takes answers for a tenth of the lease and no longer, also where the asker stood still
//  meanwhile: a
//    promise of a voter that has restarted since, and forgotten it, must not count (the model found this);
//  - a voter that starts says nothing for longer than any lease, as it has forgotten what it accepted;
//  - ballots are above the Unix time in milliseconds, so that terms grow even where all voters have
//  forgotten.
// docs/duties.md says where each fails. The model is tests/models/lease.pml.
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

#include "duties/types.h"

namespace aldersill::duties {

struct LeaseSettings {
  std::string duty;
  std::string name;                 // of this instance
  std::uint64_t epoch = 0;          // and of its life
  std::vector<std::string> voters;  // the same at all instances; who is not among them holds nothing
  Micros lease = 10 * kSecond;
  double most_drift = 0.01;  // of a clock's rate, either way; at most 0.2
};

// ---- Events ----

struct LeaseStarted {};
struct LeaseMessageReceived {
  std::string from;
  LeaseMessage message;
};
struct LeaseTime {};  // next_due() is reached
struct GiveUp {};     // for good: what is held is released at once
using LeaseEvent = std::variant<LeaseStarted, LeaseMessageReceived, LeaseTime, GiveUp>;

// ---- Effects ----

struct SendTo {
  std::string to;  // a voter
  LeaseMessage message;
};
struct Taken {
  std::uint64_t term = 0;
};
struct Lost {
  std::uint64_t term = 0;
};
using LeaseEffect = std::variant<SendTo, Taken, Lost>;

struct LeaseCounters {
  std::uint64_t taken = 0, lost = 0, renewed = 0, rounds = 0, rejected = 0;
};

class Lease {
 public:
  Lease(LeaseSettings settings, std::uint64_t seed);

  void Handle(Micros now, LeaseEvent event, std::vector<LeaseEffect>* effects);
  Micros next_due() const;

  // Whether this instance may act now, and under which term; to be asked before each act, with the time as it
  // is then: an instance that stood still holds nothing until it has asked again.
  std::optional<std::uint64_t> Holds(Micros now) const;
  // Who holds as far as this voter has been told; nobody if that has ended.
  std::optional<Holder> Believed(Micros now) const;
  const LeaseSettings& settings() const { return settings_; }
  const LeaseCounters& counters() const { return counters_; }

 private:
  enum class Phase { kIdle, kPreparing, kProposing };

  void On(const LeaseStarted&);
  void On(LeaseMessageReceived&& e);
  void On(const LeaseTime&);
  void On(const GiveUp&);
  // As a voter.
  void On(const std::string& from, const Prepare& m);
  void On(const std::string& from, const Propose& m);
  void On(const std::string& from, const Release& m);
  // As who asks.
  void On(const std::string& from, const Promise& m);
  void On(const std::string& from, const Accepted& m);
  void On(const std::string& from, const Rejected& m);

  void Begin();
  void Retreat(Micros wait);
  void Tell(const std::string& to, LeaseMessage message);
  void SendToVoters(const LeaseMessage& message);
  void CheckHeld();
  void CheckRound();
  bool Majority(const std::set<std::string>& names) const {
    return 2 * names.size() > settings_.voters.size();
  }
  bool IsVoter(const std::string& name) const;
  Holder Me() const { return {settings_.name, settings_.epoch}; }
  Micros Drawn(Micros least, Micros most);

  const LeaseSettings settings_;
  pcg32 random_;
  Micros now_ = 0;
  std::vector<LeaseEffect>* effects_ = nullptr;
  std::deque<LeaseMessageReceived> to_self_;
  bool gave_up_ = false;
  // Of the voter.
  Micros silent_until_ = 0;
  Ballot promised_;
  std::optional<Holder> accepted_;
  Ballot accepted_ballot_;
  Micros accepted_until_ = 0;
  // Of who asks.
  Phase phase_ = Phase::kIdle;
  Ballot ballot_;
  std::uint64_t highest_seen_ = 0;
  std::set<std::string> promises_, free_, accepts_;
  Micros wait_hint_ = 0;  // how long others said that theirs has left
  Micros proposed_at_ = 0;
  Micros phase_ends_ = 0;
  Micros next_try_ = 0;
  // Of the holder.
  std::optional<std::uint64_t> term_;
  Micros held_until_ = 0;
  LeaseCounters counters_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_LEASE_H_
