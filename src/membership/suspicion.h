// The table of suspicions: which members accuse each suspect, and when the suspicion times out and the
// suspect is to be declared dead. The timeout follows Lifeguard: it starts long and shrinks with each
// independent confirmation.
#ifndef ALDERSILL_SRC_MEMBERSHIP_SUSPICION_H_
#define ALDERSILL_SRC_MEMBERSHIP_SUSPICION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "membership/protocol_state.h"

namespace aldersill::membership {

class SuspicionTable {
 public:
  explicit SuspicionTable(const ProtocolState& state) : state_(state) {}

  // Starts a suspicion of `member`. AddAccuser must follow, which sets the deadline.
  void Begin(const std::string& member);
  // Whether `accuser` would be a new accuser of this suspect and the suspicion still lacks confirmations.
  bool IsConfirmation(const std::string& member, const std::string& accuser) const;
  // Records an accuser and recomputes the deadline. `living` is the number of alive or suspect members,
  // including this one.
  void AddAccuser(const std::string& member, const std::string& accuser, std::size_t living);
  // Ends the suspicion of `member`, if there is one.
  void End(const std::string& member);
  // Postpones all deadlines by `by`.
  void Postpone(Micros by);

  // The earliest deadline; INT64_MAX for none.
  Micros next_due() const;
  // The suspect with the earliest deadline, if that has passed.
  std::optional<std::string> TimedOut() const;

 private:
  struct Suspicion {
    std::set<std::string> accusers;
    Micros began = 0;
    Micros deadline = 0;  // 0 until AddAccuser sets it
  };
  Micros TimeoutOf(const Suspicion& suspicion, std::size_t living) const;

  const ProtocolState& state_;
  std::map<std::string, Suspicion> suspicions_;
  std::set<std::pair<Micros, std::string>> by_deadline_;  // (deadline, member)
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SUSPICION_H_
