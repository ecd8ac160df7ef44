// When discovery is called, and until when the list that we have may be acted on: what discovery has to tell
// counts as told after a while, whether it arrived or not, and nothing new may go to an instance that by then
// is to get none. Pure: no clock, no socket; times are of any clock that never steps back, in microseconds.
#ifndef ALDERSILL_SRC_HTTP_DISCOVERY_CLOCK_H_
#define ALDERSILL_SRC_HTTP_DISCOVERY_CLOCK_H_

#include <algorithm>
#include <limits>
#include <utility>

#include "core/types.h"
#include "http/call_pacing.h"

namespace aldersill {

class DiscoveryClock {
 public:
  enum class Kind {
    kAsked,   // one service for all dispatchers, which works through calls in turn
    kPushed,  // an agent of our own, which answers at once and for nothing
  };
  struct Rules {
    Kind kind = Kind::kAsked;
    Micros must_ask_in = 10 * kSecond;        // rules.mustAskIn
    Micros drain_grace = 300 * kMillisecond;  // rules.drainGrace
  };
  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  DiscoveryClock(Rules rules, CallPacing pacing) : rules_(rules), pacing_(std::move(pacing)) {}

  // A start, or a discovery at a new address. The list known so far may be acted on for `hold` from now.
  void Begin(Micros now, Micros hold) {
    hold_until_ = now + hold;
    next_call_ = now + (pushed() ? 0 : pacing_.BeforeFirst());
  }
  // A call is due then, and while others are out, beside these: an answer may have been lost, or be waiting
  // for its turn, and giving it up would only cost another turn.
  Micros next_call() const { return next_call_; }
  // How long the next call may wait for news; 0: it begins a watch, and what was missed comes at once.
  Micros next_wait() const { return continues_ ? (pushed() ? kPushedWait : kWait) : 0; }

  void Called(Micros now) {
    // Silent at the earliest since the call before this one was made.
    if (out_) {
      silent_since_ = std::min(silent_since_, called_at_);
      ++overdue_;
    }
    called_wait_ = next_wait();
    called_at_ = now;
    called_ = out_ = true;
    continues_ = false;
    const Micros patience = pushed() ? kPushedPatience : called_wait_ > 0 ? kPatience : kBeginPatience;
    next_call_ = now + called_wait_ + patience;
  }
  // One of the calls out has brought the list; the others do not matter any more. The next has to follow at
  // once, or it would be a new watch.
  void Answered(Micros now) {
    out_ = false;
    answered_ = continues_ = true;
    silent_since_ = kNever;
    overdue_ = 0;
    next_call_ = now;
    pacing_.Succeeded();
  }
  // The call made at `called_at` has ended without the list. `others_out`: whether any that may still bring
  // it is left. Those older than it are overdue: the next is not put off for them.
  // `refused`: discovery answered, if not with the list, so this call was late and not lost.
  void Failed(Micros now, Micros called_at, bool refused, bool others_out) {
    if (refused && called_at != called_at_ && --overdue_ == 0) silent_since_ = kNever;
    out_ = others_out;
    if (!others_out || called_at == called_at_) next_call_ = now + BeforeRepeat();
  }

  // From then on something may count as told that has not arrived.
  Micros good_until() const {
    if (pushed()) return answered_ ? std::max(hold_until_, next_call_ + rules_.drain_grace) : hold_until_;
    if (!called_) return hold_until_;
    const bool watch = out_ && called_wait_ > 0;
    const Micros until = watch ? called_at_ + kToldWithin : called_at_ + rules_.must_ask_in;
    return silent_since_ == kNever ? until : std::min(until, silent_since_ + kToldWithin);
  }

  // A call waits this long for news: a discovery that has gone silent is noticed only after it.
  static constexpr Micros kWait = 2 * kSecond;
  // An empty answer came within 1 ms of its wait (6,692 of 6,692, 300 dispatchers).
  static constexpr Micros kPatience = 250 * kMillisecond;
  // A call that begins a watch may wait for its turn.
  static constexpr Micros kBeginPatience = 2'500 * kMillisecond;
  static constexpr Micros kPushedWait = 300 * kMillisecond;
  static constexpr Micros kPushedPatience = 120 * kMillisecond;
  // What discovery has to tell counts as told after this long, whether it arrived or not; what a call that
  // may wait has missed 2 s after its wait, if that is later.
  static constexpr Micros kToldWithin = 6 * kSecond;
  static_assert(kWait + 2 * kSecond <= kToldWithin);

 private:
  bool pushed() const { return rules_.kind == Kind::kPushed; }

  Micros BeforeRepeat() {
    if (pushed()) return pacing_.Within(kPushedPatience);
    // A watch that ended with an error ended for all dispatchers: discovery is down, and all will call. One
    // that fell silent did so here alone and was opened anew at once; if that was refused, many call.
    return called_wait_ > 0 && silent_since_ == kNever ? pacing_.BeforeFirst() : pacing_.AfterFailure();
  }

  const Rules rules_;
  CallPacing pacing_;
  Micros hold_until_ = 0;
  Micros next_call_ = 0;
  Micros called_at_ = 0, called_wait_ = 0;  // of the last call
  Micros silent_since_ = kNever;
  int overdue_ = 0;         // calls found overdue that have not ended with an answer since
  bool called_ = false;     // at least once
  bool answered_ = false;   // at least once
  bool out_ = false;        // a call is out
  bool continues_ = false;  // the next call continues a watch
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DISCOVERY_CLOCK_H_
