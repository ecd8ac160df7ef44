// When discovery is called, and until when the list that we have may be acted on: what discovery has to tell
// counts as told after a while, whether it arrived or not, and nothing new may go to an instance that by then
// is to get none. Pure: no clock, no socket; times are of any clock that never steps back, in microseconds.
#ifndef ALDERSILL_SRC_HTTP_WATCH_SCHEDULER_H_
#define ALDERSILL_SRC_HTTP_WATCH_SCHEDULER_H_

#include <algorithm>
#include <limits>
#include <utility>

#include "core/types.h"
#include "http/poll_backoff.h"

namespace aldersill {

class WatchScheduler {
 public:
  enum class Kind {
    kPolled,  // one service for all dispatchers, which works through calls in turn
    kPushed,  // an agent of our own, which answers at once and for nothing
  };
  struct Rules {
    Kind kind = Kind::kPolled;
    Micros must_ask_in = 10 * kSecond;        // rules.mustAskIn
    Micros drain_grace = 300 * kMillisecond;  // rules.drainGrace
  };
  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  WatchScheduler(Rules rules, PollBackoff pacing) : rules_(rules), pacing_(std::move(pacing)) {}

  // A start, or a discovery at a new address. The list known so far may be acted on for `hold` from now.
  void Start(Micros now, Micros hold) {
    begun_at_ = complete_at_ = now;
    hold_until_ = now + hold;
    next_call_ = now + (pushed() ? 0 : pacing_.InitialDelay());
  }
  // A start with a list from before it. Whatever discovery has had since `complete_at` is missing from it,
  // and counts as told kNotificationBound later, though this process was not there to hear it.
  void StartWithCachedList(Micros now, Micros complete_at) {
    Start(now, pushed() ? rules_.drain_grace : rules_.must_ask_in);
    complete_at_ = std::min(now, complete_at);
    if (!pushed())
      bound_until_ = complete_at_ + kNotificationBound;
  }
  // After Begin, at a new address: the list is as good as `left`, the clock of the old one, has it, until the
  // old watch is heard again: it may be silent. A call given up by the move is one given up.
  void ContinueFrom(const WatchScheduler& left) {
    complete_at_ = left.complete_at_;
    failed_ = left.failed_ || (left.out_ && left.called_wait_ == 0 && !left.pushed());
    if (!pushed())
      bound_until_ = left.valid_until();
  }
  // The watch at the old address has answered: it was on when we were moved.
  void PreviousSourceAnswered(const WatchScheduler& left) {
    complete_at_ = std::max(complete_at_, std::min(begun_at_, left.complete_at_));
    if (left.complete_at_ >= begun_at_)
      bound_until_ = kNever;
  }
  // It has ended without.
  void PreviousSourceFailed() { failed_ = true; }
  // A call is due then, and while others are out, beside these: an answer may have been lost, or be waiting
  // for its turn, and giving it up would only cost another turn.
  Micros next_poll() const { return next_call_; }
  // How long the next call may wait for news; 0: it begins a watch, and what was missed comes at once.
  Micros next_poll_wait() const { return continues_ ? (pushed() ? pushed_wait() : kLongPollWait) : 0; }

  void PollSent(Micros now) {
    if (out_)
      Overdue();
    called_wait_ = next_poll_wait();
    called_at_ = now;
    called_ = out_ = true;
    continues_ = false;
    const Micros patience = pushed()           ? pushed_patience()
                            : called_wait_ > 0 ? kResponseTimeout
                                               : kFirstResponseTimeout;
    next_call_ = now + called_wait_ + patience;
  }
  // The call made at `called_at` has brought the list; others do not matter any more. The next has to follow
  // at once, or it would be a new watch.
  void PollAnswered(Micros now, Micros called_at) {
    // A watch that is not overdue is heard as it is written. Any other answer may have been long on its way.
    heard_ = called_wait_ > 0 && called_at == called_at_ && now <= next_call_;
    complete_at_ = heard_ ? now : called_at;
    out_ = silent_ = failed_ = false;
    answered_ = continues_ = true;
    next_call_ = now;
    next_probe_ = bound_until_ = kNever;
    pacing_.Reset();
  }
  // The call made at `called_at` has ended without the list. `others_out`: whether any that may still bring
  // it is left. Those older than it are overdue: the next is not put off for them.
  // `answered`: discovery said so itself; otherwise the connection broke or never came up.
  void PollFailed(Micros now, Micros called_at, bool answered, bool others_out) {
    failed_ = true;
    out_ = others_out;
    if (others_out && called_at != called_at_)
      return;
    next_call_ = now + BeforeRepeat();
    if (pushed())
      return;
    if (answered) {
      unreached_from_ = kLongAgo;
      return;
    }
    // What came on a watch before it broke has been told, if it is discovery that has gone.
    if (called_wait_ > 0 && heard_ && !silent_)
      unreached_from_ = now;
    next_probe_ = now;
  }

  // A connect without a call is due then, after a call that broke off: it costs discovery no turn and tells
  // whether anybody is there.
  Micros next_probe() const { return next_probe_; }
  // It was refused. What discovery cannot tell to anybody does not count as told, so that the list is as good
  // as it was when discovery went. Between two refusals it may have been there for a moment and be gone
  // again: a drain of just then would be heeded late. So only refusals that follow one another, and the last
  // known moment, within the time that a drain may take to be heeded count.
  void ProbeRefused(Micros now) {
    if (now - unreached_from_ <= rules_.drain_grace)
      complete_at_ = unreached_from_ = now;
    called_at_ = now;
    called_wait_ = 0;
    called_ = failed_ = true;
    next_call_ = kNever;  // as it would be refused
    next_probe_ = now + pacing_.JitteredDelay(kMaxProbeInterval);
  }
  // It was not, or nobody knows: discovery may have something to tell from now on.
  void ProbeNotRefused(Micros now) {
    unreached_from_ = kLongAgo;
    next_probe_ = kNever;
    if (next_call_ != kNever)
      return;
    // It is back for all.
    pacing_.Reset();
    next_call_ = now + pacing_.InitialDelay();
  }

  // From then on something may count as told that has not arrived.
  Micros valid_until() const {
    const Micros until = std::min(pushed() ? PushedUntil() : AskedUntil(), bound_until_);
    // Once a call has failed, was given up or is overdue, every change that discovery could have told counts,
    // whatever the calls since then.
    return failed_ ? std::min(until, complete_at_ + kNotificationBound) : until;
  }

  // A call waits this long for news: a discovery that has gone silent is noticed only after it.
  static constexpr Micros kLongPollWait = 2 * kSecond;
  // An empty answer came within 1 ms of its wait (6,692 of 6,692, 300 dispatchers).
  static constexpr Micros kResponseTimeout = 250 * kMillisecond;
  // A call that begins a watch may wait for its turn.
  static constexpr Micros kFirstResponseTimeout = 2'500 * kMillisecond;
  // While connects are refused one follows another by half of this at least.
  static constexpr Micros kMaxProbeInterval = 100 * kMillisecond;
  // What discovery has to tell counts as told after this long, whether it arrived or not; what a call that
  // may wait has missed 2 s after its wait, if that is later.
  static constexpr Micros kNotificationBound = 6 * kSecond;
  static_assert(kLongPollWait + 2 * kSecond <= kNotificationBound);

 private:
  static constexpr Micros kLongAgo = std::numeric_limits<Micros>::min() / 2;

  bool pushed() const { return rules_.kind == Kind::kPushed; }
  // What an agent has at its return counts at once: a watch that fell silent before is found out, and the
  // next call answered, within the time that a drain may take to be heeded.
  Micros pushed_wait() const { return PartOfGrace(5); }
  Micros pushed_patience() const { return PartOfGrace(4); }
  Micros PartOfGrace(int tenths) const {
    return std::clamp(rules_.drain_grace * tenths / 10, 20 * kMillisecond, 300 * kMillisecond);
  }

  void Overdue() {
    silent_ = true;
    // An agent is silent while discovery is down, and learns nothing then.
    failed_ = failed_ || !pushed();
  }

  Micros PushedUntil() const {
    return answered_ ? std::max(hold_until_, next_call_ + rules_.drain_grace) : hold_until_;
  }
  Micros AskedUntil() const {
    if (!called_)
      return hold_until_;
    return called_at_ + (out_ && called_wait_ > 0 ? kNotificationBound : rules_.must_ask_in);
  }

  Micros BeforeRepeat() {
    if (pushed())
      return pacing_.JitteredDelay(pushed_patience());
    // A watch that ended with an error ended for all dispatchers: discovery is down, and all will call. One
    // that fell silent did so here alone and was opened anew at once; if that was refused, many call.
    return called_wait_ > 0 && !silent_ ? pacing_.InitialDelay() : pacing_.NextRetryDelay();
  }

  const Rules rules_;
  PollBackoff pacing_;
  Micros begun_at_ = 0, hold_until_ = 0;
  Micros bound_until_ = kNever;       // of a list remembered, or heard at the address that was left
  Micros complete_at_ = 0;            // whatever discovery had by then is in the list
  Micros unreached_from_ = kLongAgo;  // discovery has not been there since, as far as connects were refused
  Micros next_call_ = 0, next_probe_ = kNever;
  Micros called_at_ = 0, called_wait_ = 0;  // of the last call
  bool called_ = false;                     // at least once
  bool answered_ = false;                   // at least once
  bool heard_ = false;                      // the last answer came on a watch, in time
  bool failed_ = false;                     // a call, since the last answer
  bool silent_ = false;                     // a call was overdue, since the last answer
  bool out_ = false;                        // a call is out
  bool continues_ = false;                  // the next call continues a watch
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WATCH_SCHEDULER_H_
