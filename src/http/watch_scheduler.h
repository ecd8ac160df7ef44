// Decides when discovery is polled and until when the known endpoint list may be used for new jobs. A change
// counts as notified once a fixed bound has passed, whether or not it has arrived here; from then on no new
// job may be sent to a worker that the change excludes. The scheduler reads no clock and owns no socket: the
// caller passes all times, in microseconds of any monotonic clock.
#ifndef ALDERSILL_SRC_HTTP_WATCH_SCHEDULER_H_
#define ALDERSILL_SRC_HTTP_WATCH_SCHEDULER_H_

#include <limits>

#include "core/types.h"
#include "http/list_validity.h"
#include "http/poll_backoff.h"

namespace aldersill {

class WatchScheduler {
 public:
  enum class Kind {
    kPolled,  // a central service for all dispatchers, which serves polls one at a time
    kPushed,  // an agent on this machine, which answers immediately and at no cost
  };
  struct Settings {
    Kind kind = Kind::kPolled;
    // Setting rules.mustAskIn: the list expires this long after a poll unless a watch is open.
    Micros max_poll_interval = 10 * kSecond;
    // Setting rules.drainGrace: the time within which a notified drain must take effect.
    Micros drain_grace = 300 * kMillisecond;
  };

  static constexpr Micros kNever = std::numeric_limits<Micros>::max();
  // How long a poll that continues a watch waits for changes. A discovery that has fallen silent is detected
  // only after this time.
  static constexpr Micros kLongPollWait = 2 * kSecond;
  // Time allowed for the answer to a poll on a watch, counted from the end of its wait. With 300 dispatchers
  // and no changes, all 6,692 answers measured came within 1 ms of the end of the wait.
  static constexpr Micros kResponseTimeout = 250 * kMillisecond;
  // Time allowed for the answer to a poll that begins a watch; discovery may queue such a poll.
  static constexpr Micros kFirstResponseTimeout = 2'500 * kMillisecond;
  // Longest interval between two probes while connects are refused; the shortest is half of it.
  static constexpr Micros kMaxProbeInterval = 100 * kMillisecond;
  // A change counts as notified this long after it was made. A change that a long poll has missed counts as
  // notified 2 s after the end of the poll's wait if that is later.
  static constexpr Micros kNotificationBound = 6 * kSecond;
  static_assert(kLongPollWait + 2 * kSecond <= kNotificationBound);
  // This long after a reload that moves discovery, all changes that discovery holds count as notified,
  // whether it is polled or pushed.
  static constexpr Micros kReloadNotificationBound = 4 * kSecond;
  // Assumed maximum time between the signal that requests a reload and its handling; the reload's bound is
  // shortened by it. Longer delays are covered by the drain grace only.
  static constexpr Micros kMaxSignalDelay = 100 * kMillisecond;
  // The first poll after a move is sent within this time, so that the answer can arrive before the reload's
  // bound.
  static constexpr Micros kMaxPollDelayAfterMove = 3 * kSecond;

  WatchScheduler(Settings settings, const PollBackoff& backoff);

  // Starts with a list that may be used for `validity` from now.
  void Start(Micros now, Micros validity);
  // Starts with a list that an earlier process has stored, complete as of `complete_at`. Later changes are
  // missing from it; where discovery is polled, they count as notified kNotificationBound after they were
  // made, although this process was not running.
  void StartWithCachedList(Micros now, Micros complete_at);

  // Starts at a new address, after a reload requested at `reloaded_at` has moved discovery. `previous`:
  // the scheduler of the previous address. The list stays in use within the bounds that `previous` had, but
  // for at most kReloadNotificationBound after the first reload since the last answer. Until the watch at the
  // previous address answers, it may have fallen silent before the move. A poll that was to begin a watch
  // there counts as abandoned if it is still outstanding.
  void StartAtNewAddress(Micros now, Micros reloaded_at, const WatchScheduler& previous);
  // Records a reload that does not move discovery, or that was rejected (`rejected`). The bound of
  // kReloadNotificationBound applies to it as well. After a rejected reload, until a configuration is
  // applied, a refused connect does not prove that discovery is down: the rejected configuration may name
  // another address.
  void Reloaded(Micros reloaded_at, bool rejected);
  // Replaces the settings; discovery's address has not changed.
  void ApplySettings(Settings settings, const PollBackoff& backoff);
  // Records that the watch at the previous address has answered, so that it was working at the time of the
  // move. `previous`: its scheduler.
  void PreviousSourceAnswered(const WatchScheduler& previous);
  // Records that the watch at the previous address has ended without an answer.
  void PreviousSourceFailed() { failed_since_answer_ = true; }

  // When the next poll is due; kNever if none is. Polls that are still outstanding then should be kept: their
  // answers may be lost, but they may also be queued at discovery, and a poll that replaces a cancelled one
  // takes another turn in the queue.
  Micros next_poll() const { return next_poll_; }
  // How long the next poll may wait for changes; 0 if it begins a watch, so that missed changes are returned
  // immediately.
  Micros next_poll_wait() const;

  void PollSent(Micros now);
  // The poll sent at `sent_at` has returned the list; the other polls no longer matter. The next poll is due
  // immediately, because a later one would have to begin a new watch.
  void PollAnswered(Micros now, Micros sent_at);
  // The poll sent at `sent_at` has ended without the list. `answered_with_error`: discovery answered with an
  // error; otherwise the connection broke or was never established. `others_outstanding`: other polls may
  // still return the list; then only the failure of the newest poll changes when the next one is due.
  void PollFailed(Micros now, Micros sent_at, bool answered_with_error, bool others_outstanding);

  // When the next connect probe is due, after the connection of a poll broke; kNever if none is. A connect
  // without a poll takes no turn in discovery's queue and shows whether a process listens at the address.
  Micros next_probe() const { return next_probe_; }
  // The connect was refused. Discovery notifies no changes while it is not running, so the list remains valid
  // meanwhile. Discovery may have run briefly between two refusals, though, and a drain notified then would
  // take effect late. A refusal therefore counts only if it follows the previous refusal, or the break of the
  // watch, within the drain grace.
  void ProbeRefused(Micros now);
  // The connect was not refused, or its result is unknown: from now on discovery may notify changes.
  void ProbeNotRefused(Micros now);

  bool pushed() const { return settings_.kind == Kind::kPushed; }

  // The time until which the list may be used, and the rule that sets it. From then on a change that has not
  // arrived may count as notified.
  ListValidity validity() const;
  Micros valid_until() const { return validity().until; }

 private:
  static constexpr Micros kLongAgo = std::numeric_limits<Micros>::min() / 2;

  Micros PushedWait() const;
  Micros PushedResponseTimeout() const;
  Micros TenthsOfDrainGrace(int tenths) const;
  void LimitByReload(Micros reloaded_at);
  Micros ResponseTimeout() const;
  void RecordOverduePoll();
  Micros RetryDelay();
  ListValidity PushedListValidity() const;
  ListValidity PolledListValidity() const;

  Settings settings_;
  PollBackoff backoff_;
  Micros started_at_ = 0;
  Micros initial_list_valid_until_ = 0;
  // The validity of a list from an earlier process or a previous address. The next answer lifts this bound
  // and reload_bound_.
  ListValidity inherited_validity_ = {kNever, ValidityBound::kCachedList};
  Micros reload_bound_ = kNever;
  Micros agent_failed_at_ = kNever;  // time of the first failed poll of an agent since its last answer
  bool refusals_trusted_ = true;
  Micros complete_at_ = 0;  // the list contains all changes that discovery had at this time
  // The last time at which discovery is known to have been down, from a broken watch or refused connects.
  Micros last_known_down_at_ = kLongAgo;
  Micros next_poll_ = 0;
  Micros next_probe_ = kNever;
  Micros last_poll_sent_at_ = 0;
  Micros last_poll_wait_ = 0;
  bool any_poll_sent_ = false;
  bool any_poll_answered_ = false;
  bool answered_on_watch_ = false;     // the last answer came on a watch and was not overdue
  bool failed_since_answer_ = false;   // a poll has failed, was abandoned or was refused
  bool overdue_since_answer_ = false;  // a poll has become overdue
  bool poll_outstanding_ = false;
  bool next_poll_continues_watch_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WATCH_SCHEDULER_H_
