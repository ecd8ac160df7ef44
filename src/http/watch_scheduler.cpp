#include "http/watch_scheduler.h"

#include <algorithm>

namespace aldersill {

WatchScheduler::WatchScheduler(Settings settings, const PollBackoff& backoff)
    : settings_(settings), backoff_(backoff) {}

// ---- Starts and moves ----

void WatchScheduler::Start(Micros now, Micros validity) {
  started_at_ = complete_at_ = now;
  initial_list_valid_until_ = now + validity;
  next_poll_ = now + (pushed() ? 0 : backoff_.InitialDelay());
}

void WatchScheduler::StartWithCachedList(Micros now, Micros complete_at) {
  Start(now, pushed() ? settings_.drain_grace : settings_.max_poll_interval);
  complete_at_ = std::min(now, complete_at);
  if (!pushed())
    inherited_validity_ = {complete_at_ + kNotificationBound, ValidityBound::kCachedList};
}

// The reload's bound applies in addition to all others: rules.mustAskIn, which limits the list of a
// dispatcher without a watch, would allow a later time than the reload does.
void WatchScheduler::StartAtNewAddress(Micros now, Micros reloaded_at, const WatchScheduler& previous) {
  started_at_ = now;
  complete_at_ = previous.complete_at_;
  reload_bound_ = previous.reload_bound_;
  LimitByReload(reloaded_at);
  next_poll_ = now + (pushed() ? 0 : backoff_.InitialDelay(kMaxPollDelayAfterMove));
  const bool first_poll_abandoned =
      previous.poll_outstanding_ && previous.last_poll_wait_ == 0 && !previous.pushed();
  failed_since_answer_ = previous.failed_since_answer_ || first_poll_abandoned;
  if (pushed()) {
    initial_list_valid_until_ = kNever;  // until the first answer, only the reload's bound applies
    return;
  }
  initial_list_valid_until_ = now + std::max<Micros>(0, settings_.max_poll_interval - kLongPollWait);
  inherited_validity_ = {previous.valid_until(), ValidityBound::kPreviousAddress};
}

void WatchScheduler::LimitByReload(Micros reloaded_at) {
#ifdef ALDERSILL_MUTANT_NO_RELOAD_BOUND  // injected fault that fleet_search must detect
  return;
#endif
  reload_bound_ = std::min(reload_bound_, reloaded_at + kReloadNotificationBound - kMaxSignalDelay);
}

void WatchScheduler::Reloaded(Micros reloaded_at, bool rejected) {
  LimitByReload(reloaded_at);
  refusals_trusted_ = !rejected;
}

void WatchScheduler::ApplySettings(Settings settings, const PollBackoff& backoff) {
  settings_ = settings;
  backoff_ = backoff;
}

void WatchScheduler::PreviousSourceAnswered(const WatchScheduler& previous) {
  complete_at_ = std::max(complete_at_, std::min(started_at_, previous.complete_at_));
  if (previous.complete_at_ >= started_at_)
    inherited_validity_.until = kNever;
}

// ---- Polls ----

Micros WatchScheduler::next_poll_wait() const {
  if (!next_poll_continues_watch_)
    return 0;
  return pushed() ? PushedWait() : kLongPollWait;
}

void WatchScheduler::PollSent(Micros now) {
  if (poll_outstanding_)
    RecordOverduePoll();
  last_poll_wait_ = next_poll_wait();
  last_poll_sent_at_ = now;
  any_poll_sent_ = poll_outstanding_ = true;
  next_poll_continues_watch_ = false;
  next_poll_ = now + last_poll_wait_ + ResponseTimeout();
}

void WatchScheduler::RecordOverduePoll() {
  overdue_since_answer_ = true;
  // An agent is silent while discovery is down and learns of no changes then, so its silence is not a
  // failure.
  failed_since_answer_ = failed_since_answer_ || !pushed();
}

void WatchScheduler::PollAnswered(Micros now, Micros sent_at) {
  // An answer on a watch that is not overdue is read as soon as it is written. Any other answer may have been
  // delayed in transit, so its list is known to be complete only as of the time when the poll was sent.
  answered_on_watch_ = last_poll_wait_ > 0 && sent_at == last_poll_sent_at_ && now <= next_poll_;
  complete_at_ = answered_on_watch_ ? now : sent_at;
  poll_outstanding_ = overdue_since_answer_ = failed_since_answer_ = false;
  any_poll_answered_ = next_poll_continues_watch_ = true;
  next_poll_ = now;
  next_probe_ = inherited_validity_.until = reload_bound_ = agent_failed_at_ = kNever;
  backoff_.Reset();
}

void WatchScheduler::PollFailed(Micros now, Micros sent_at, bool answered_with_error,
                                bool others_outstanding) {
  failed_since_answer_ = true;
  poll_outstanding_ = others_outstanding;
  if (others_outstanding && sent_at != last_poll_sent_at_)
    return;
  next_poll_ = now + RetryDelay();
  if (pushed()) {
    agent_failed_at_ = std::min(agent_failed_at_, now);
    return;
  }
  if (answered_with_error) {
    last_known_down_at_ = kLongAgo;
    return;
  }
  // If the watch broke because discovery went down, all changes made before that have arrived on it.
  if (last_poll_wait_ > 0 && answered_on_watch_ && !overdue_since_answer_)
    last_known_down_at_ = now;
  next_probe_ = now;
}

Micros WatchScheduler::RetryDelay() {
  if (pushed())
    return backoff_.JitteredDelay(PushedResponseTimeout());
  // If a watch ended with an error, discovery is down; all dispatchers have lost their watches and will poll.
  // If a watch fell silent, only this dispatcher lost it, and it polled again immediately; if that poll
  // failed too, many dispatchers are polling.
  return last_poll_wait_ > 0 && !overdue_since_answer_ ? backoff_.InitialDelay() : backoff_.NextRetryDelay();
}

// ---- Probes ----

void WatchScheduler::ProbeRefused(Micros now) {
  if (refusals_trusted_ && now - last_known_down_at_ <= settings_.drain_grace)
    complete_at_ = last_known_down_at_ = now;
  last_poll_sent_at_ = now;
  last_poll_wait_ = 0;
  any_poll_sent_ = failed_since_answer_ = true;
  next_poll_ = kNever;  // a poll would be refused as well
  next_probe_ = now + backoff_.JitteredDelay(kMaxProbeInterval);
}

void WatchScheduler::ProbeNotRefused(Micros now) {
  last_known_down_at_ = kLongAgo;
  next_probe_ = kNever;
  if (next_poll_ != kNever)
    return;
  // Discovery is reachable again, for all dispatchers at the same time.
  backoff_.Reset();
  next_poll_ = now + backoff_.InitialDelay();
}

// ---- Validity of the list ----

ListValidity WatchScheduler::validity() const {
  ListValidity validity = pushed() ? PushedListValidity() : PolledListValidity();
  validity = Earlier(validity, inherited_validity_);
  validity = Earlier(validity, {reload_bound_, ValidityBound::kReload});
  // Once a poll has failed, was abandoned or is overdue, any change that discovery has made since
  // complete_at_ counts as notified after the bound, regardless of the polls sent since then.
  if (failed_since_answer_)
    validity = Earlier(validity, {complete_at_ + kNotificationBound, ValidityBound::kFailedPoll});
  return validity;
}

// Changes that an agent holds count as notified immediately. An agent is silent only while it learns of no
// changes. An agent that fails in any other way may have learned of a change, so the list expires unless the
// next poll is answered.
ListValidity WatchScheduler::PushedListValidity() const {
  if (!any_poll_answered_)
    return {initial_list_valid_until_, ValidityBound::kInitialList};
  const ListValidity validity = {next_poll_ + settings_.drain_grace, ValidityBound::kAgentPoll};
  if (agent_failed_at_ == kNever)
    return validity;
  return Earlier(validity, {agent_failed_at_ + PushedWait(), ValidityBound::kAgentFailure});
}

ListValidity WatchScheduler::PolledListValidity() const {
  if (!any_poll_sent_)
    return {initial_list_valid_until_, ValidityBound::kInitialList};
  if (poll_outstanding_ && last_poll_wait_ > 0)
    return {last_poll_sent_at_ + kNotificationBound, ValidityBound::kOpenWatch};
  return {last_poll_sent_at_ + settings_.max_poll_interval, ValidityBound::kPollInterval};
}

// ---- Timeouts ----

Micros WatchScheduler::ResponseTimeout() const {
  if (pushed())
    return PushedResponseTimeout();
  return last_poll_wait_ > 0 ? kResponseTimeout : kFirstResponseTimeout;
}

// Changes that an agent holds when it comes back count as notified immediately. The wait and the response
// timeout together are shorter than the drain grace, so that a watch that had fallen silent is detected and
// the next poll answered within it.
Micros WatchScheduler::PushedWait() const { return TenthsOfDrainGrace(5); }
Micros WatchScheduler::PushedResponseTimeout() const { return TenthsOfDrainGrace(4); }

Micros WatchScheduler::TenthsOfDrainGrace(int tenths) const {
  return std::clamp(settings_.drain_grace * tenths / 10, 20 * kMillisecond, 300 * kMillisecond);
}

}  // namespace aldersill
