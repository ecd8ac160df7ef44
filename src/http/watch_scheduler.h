// Decides when discovery is polled, and until when the endpoint list may be acted on. Discovery counts a
// change as notified after a bound, whether the change arrived here or not; from then on no new job may go to
// a worker that is to get none. Pure: no clock, no socket. Times are microseconds of any clock that never
// steps back.
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
    kPolled,  // one service for all dispatchers, which works through polls in turn
    kPushed,  // an agent on this machine, which answers at once and at no cost
  };
  struct Settings {
    Kind kind = Kind::kPolled;
    Micros max_poll_interval = 10 * kSecond;  // rules.mustAskIn
    Micros drain_grace = 300 * kMillisecond;  // rules.drainGrace
  };

  static constexpr Micros kNever = std::numeric_limits<Micros>::max();
  // A poll that continues a watch waits this long for changes: a discovery that has fallen silent is noticed
  // only after it.
  static constexpr Micros kLongPollWait = 2 * kSecond;
  // Beyond the wait. Without changes the answer came within 1 ms of it (6,692 of 6,692, 300 dispatchers).
  static constexpr Micros kResponseTimeout = 250 * kMillisecond;
  // Of a poll that begins a watch, which may wait for its turn.
  static constexpr Micros kFirstResponseTimeout = 2'500 * kMillisecond;
  // While connects are refused, probes follow one another by half of this at least.
  static constexpr Micros kMaxProbeInterval = 100 * kMillisecond;
  // A change counts as notified after this time; one that a long poll has missed, 2 s after its wait if that
  // is later.
  static constexpr Micros kNotificationBound = 6 * kSecond;
  static_assert(kLongPollWait + 2 * kSecond <= kNotificationBound);
  // All that discovery has counts as notified this long after a reload that moves it, polled or pushed.
  static constexpr Micros kReloadNotificationBound = 4 * kSecond;
  // For which the reload's signal may have waited: the drain grace alone covers what is late after that.
  static constexpr Micros kMaxSignalDelay = 100 * kMillisecond;
  // A moved discovery is polled within this time, so that its answer can arrive before the reload's bound.
  static constexpr Micros kMaxPollDelayAfterMove = 3 * kSecond;

  WatchScheduler(Settings settings, const PollBackoff& backoff);

  // The known list may be acted on for `validity` from now.
  void Start(Micros now, Micros validity);
  // A process start with a list from an earlier process, complete as of `complete_at`. Later changes are
  // missing from it and count as notified kNotificationBound after they were made, though this process did
  // not run.
  void StartWithCachedList(Micros now, Micros complete_at);

  // A reload, requested at `reloaded_at`, has moved discovery. The list stays in use within the bounds that
  // `previous`, the scheduler of the previous address, had; but for no longer than kReloadNotificationBound
  // after the first reload that no answer has followed. Until the watch at the previous address answers, it
  // may have fallen silent before the move. Its first poll, if it is still outstanding, counts as abandoned.
  void StartAtNewAddress(Micros now, Micros reloaded_at, const WatchScheduler& previous);
  // A reload that moves nothing, or that was rejected (`rejected`): what discovery has counts by then as
  // well. Until a configuration is applied, a refused connect does not show that discovery is down: the
  // rejected one may name another address.
  void Reloaded(Micros reloaded_at, bool rejected);
  // New settings for the same address.
  void ApplySettings(Settings settings, const PollBackoff& backoff);
  // The watch at the previous address has answered, so it was working at the move.
  void PreviousSourceAnswered(const WatchScheduler& previous);
  // The watch at the previous address has ended without an answer.
  void PreviousSourceFailed() { failed_since_answer_ = true; }

  // When a poll is due. Polls that are still outstanding are kept: an answer may be lost or be waiting for
  // its turn, and a cancelled poll would only cost another turn.
  Micros next_poll() const { return next_poll_; }
  // How long the next poll may wait for changes; 0 if it begins a watch, as then missed changes come at once.
  Micros next_poll_wait() const;

  void PollSent(Micros now);
  // The poll sent at `sent_at` has brought the list; older and later ones no longer matter. The next poll is
  // due at once, or it would have to begin a new watch.
  void PollAnswered(Micros now, Micros sent_at);
  // The poll sent at `sent_at` has ended without the list. `by_discovery`: discovery answered with an error;
  // otherwise the connection broke or never came up. `others_outstanding`: whether other polls may still
  // bring the list; then only the failure of the newest one changes when the next is due.
  void PollFailed(Micros now, Micros sent_at, bool by_discovery, bool others_outstanding);

  // When a connect without a poll is due, after a poll that broke off: it costs discovery no turn and shows
  // whether anybody listens there.
  Micros next_probe() const { return next_probe_; }
  // The connect was refused. Discovery that does not run notifies nobody, so the list stays as valid as it
  // was. Between two refusals discovery may have run for a moment; a drain notified just then would be heeded
  // late. So refusals, and the last moment known before them, count only if they follow one another within
  // the time in which a drain has to be heeded.
  void ProbeRefused(Micros now);
  // The connect was not refused, or its result is unknown: discovery may notify changes from now on.
  void ProbeNotRefused(Micros now);

  bool pushed() const { return settings_.kind == Kind::kPushed; }

  // From then on a change may count as notified that has not arrived.
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
  // Of a list from an earlier process or a previous address. The next answer ends both bounds.
  ListValidity inherited_validity_ = {kNever, ValidityBound::kCachedList};
  Micros reload_bound_ = kNever;
  Micros agent_failed_at_ = kNever;  // a poll of an agent, first since its last answer
  bool refusals_trusted_ = true;
  Micros complete_at_ = 0;               // the list holds all changes that discovery had by then
  Micros unreachable_since_ = kLongAgo;  // as far as refused connects show
  Micros next_poll_ = 0;
  Micros next_probe_ = kNever;
  Micros last_poll_sent_at_ = 0;
  Micros last_poll_wait_ = 0;
  bool any_poll_sent_ = false;
  bool any_poll_answered_ = false;
  bool answered_on_watch_ = false;     // the last answer came on a watch, in time
  bool failed_since_answer_ = false;   // a poll failed, was abandoned or refused
  bool overdue_since_answer_ = false;  // a poll was overdue
  bool poll_outstanding_ = false;
  bool next_poll_continues_watch_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WATCH_SCHEDULER_H_
