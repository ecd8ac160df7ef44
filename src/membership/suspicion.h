// The suspect members: who accuses each, and when its suspicion times out and it is declared dead. The
// timeout is Lifeguard's: it starts long and shrinks with each independent confirmation.
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

  void Begin(const std::string& member);
  // Whether an accusation of a suspect adds to what is known: a new accuser, while more are of use.
  bool IsConfirmation(const std::string& member, const std::string& accuser) const;
  // `living`: members alive or suspect, this one included.
  void AddAccuser(const std::string& member, const std::string& accuser, std::size_t living);
  void End(const std::string& member);
  // All suspects get `by` more time.
  void Postpone(Micros by);

  Micros next_due() const;
  // A member whose suspicion has timed out.
  std::optional<std::string> TimedOut() const;

 private:
  struct Suspicion {
    std::set<std::string> accusers;
    Micros began = 0;
    Micros ends = 0;  // 0: not yet set
  };
  Micros TimeoutOf(const Suspicion& suspicion, std::size_t living) const;

  const ProtocolState& state_;
  std::map<std::string, Suspicion> suspicions_;
  std::set<std::pair<Micros, std::string>> by_end_;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SUSPICION_H_
