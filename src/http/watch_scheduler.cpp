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

// The bound of the reload holds beside all others, whatever else is allowed: rules.mustAskIn, which the list
// of a dispatcher without a watch is held to, gives a later time than the reload does.
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
    initial_list_valid_until_ = kNever;  // until an answer the reload alone bounds it
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
  // An agent is silent while discovery is down, and learns of no changes then.
  failed_since_answer_ = failed_since_answer_ || !pushed();
}

void WatchScheduler::PollAnswered(Micros now, Micros sent_at) {
  // A watch that is not overdue is read as it is written. Any other answer may have been long on its way.
  answered_on_watch_ = last_poll_wait_ > 0 && sent_at == last_poll_sent_at_ && now <= next_poll_;
  complete_at_ = answered_on_watch_ ? now : sent_at;
  poll_outstanding_ = overdue_since_answer_ = failed_since_answer_ = false;
  any_poll_answered_ = next_poll_continues_watch_ = true;
  next_poll_ = now;
  next_probe_ = inherited_validity_.until = reload_bound_ = agent_failed_at_ = kNever;
  backoff_.Reset();
}

void WatchScheduler::PollFailed(Micros now, Micros sent_at, bool by_discovery, bool others_outstanding) {
  failed_since_answer_ = true;
  poll_outstanding_ = others_outstanding;
  if (others_outstanding && sent_at != last_poll_sent_at_)
    return;
  next_poll_ = now + RetryDelay();
  if (pushed()) {
    agent_failed_at_ = std::min(agent_failed_at_, now);
    return;
  }
  if (by_discovery) {
    unreachable_since_ = kLongAgo;
    return;
  }
  // Changes that arrived on a watch before it broke were all, if it broke because discovery ended.
  if (last_poll_wait_ > 0 && answered_on_watch_ && !overdue_since_answer_)
    unreachable_since_ = now;
  next_probe_ = now;
}

Micros WatchScheduler::RetryDelay() {
  if (pushed())
    return backoff_.JitteredDelay(PushedResponseTimeout());
  // A watch that ended with an error ended for all dispatchers: discovery is down, and all will poll. One
  // that fell silent did so here alone and was opened anew at once; if that failed, many poll.
  return last_poll_wait_ > 0 && !overdue_since_answer_ ? backoff_.InitialDelay() : backoff_.NextRetryDelay();
}

// ---- Probes ----

void WatchScheduler::ProbeRefused(Micros now) {
  if (refusals_trusted_ && now - unreachable_since_ <= settings_.drain_grace)
    complete_at_ = unreachable_since_ = now;
  last_poll_sent_at_ = now;
  last_poll_wait_ = 0;
  any_poll_sent_ = failed_since_answer_ = true;
  next_poll_ = kNever;  // it would be refused too
  next_probe_ = now + backoff_.JitteredDelay(kMaxProbeInterval);
}

void WatchScheduler::ProbeNotRefused(Micros now) {
  unreachable_since_ = kLongAgo;
  next_probe_ = kNever;
  if (next_poll_ != kNever)
    return;
  // Discovery is back, for all dispatchers at once.
  backoff_.Reset();
  next_poll_ = now + backoff_.InitialDelay();
}

// ---- Validity of the list ----

ListValidity WatchScheduler::validity() const {
  ListValidity validity = pushed() ? PushedListValidity() : PolledListValidity();
  validity = Earlier(validity, inherited_validity_);
  validity = Earlier(validity, {reload_bound_, ValidityBound::kReload});
  // Once a poll has failed, was abandoned or is overdue, every change that discovery could have notified
  // counts, whatever the polls since then.
  if (failed_since_answer_)
    validity = Earlier(validity, {complete_at_ + kNotificationBound, ValidityBound::kFailedPoll});
  return validity;
}

// What an agent has counts at once, and an agent is silent only while it learns nothing. One that fails
// otherwise may have learned of a change: the list ends then unless the next poll is answered.
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

// What an agent has at its return counts at once: a watch that fell silent before is noticed, and the next
// poll answered, within the time in which a drain has to be heeded.
Micros WatchScheduler::PushedWait() const { return TenthsOfDrainGrace(5); }
Micros WatchScheduler::PushedResponseTimeout() const { return TenthsOfDrainGrace(4); }

Micros WatchScheduler::TenthsOfDrainGrace(int tenths) const {
  return std::clamp(settings_.drain_grace * tenths / 10, 20 * kMillisecond, 300 * kMillisecond);
}

}  // namespace aldersill
