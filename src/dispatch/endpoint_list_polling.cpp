#include "dispatch/endpoint_list_polling.h"

#include <algorithm>
#include <utility>

namespace aldersill::dispatch {

void EndpointListPolling::Begin() {
  const Settings& settings = context_.settings();
  if (!settings.subscribe)
    return;
  const double delay = context_.random().Uniform() * settings.must_ask_in / 100;
  context_.StartTimer(static_cast<Micros>(delay), TimerKind::kListPoll);
}

void EndpointListPolling::Poll() {
  if (subscribed_)
    return;
  context_.Emit(SubscribeList{});
  // A call that is never answered is repeated well before the list has to have been called for.
  const Micros limit = context_.settings().must_ask_in;
  backoff_ = std::clamp<Micros>(2 * backoff_, limit / 32, limit / 4);
  const double jitter = context_.random().Uniform() * backoff_;
  context_.StartTimer(backoff_ + static_cast<Micros>(jitter), TimerKind::kListPoll);
}

void EndpointListPolling::RecordList(WorkerList::Form form) {
  if (form == WorkerList::Form::kFailed)
    return RecordFailure();
  if (form == WorkerList::Form::kCached)
    return;
  subscribed_ = true;
  backoff_ = 0;
}

void EndpointListPolling::RecordFailure() {
  context_.LogRateLimited("worker list: call or subscription failed");
  // With jitter: nodes lose their subscriptions together and must not all call at once.
  const double delay = context_.random().Uniform() * context_.settings().must_ask_in / 32;
  if (std::exchange(subscribed_, false))
    context_.StartTimer(static_cast<Micros>(delay), TimerKind::kListPoll);
}

}  // namespace aldersill::dispatch
