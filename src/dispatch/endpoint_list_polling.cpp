#include "dispatch/endpoint_list_polling.h"

#include <algorithm>
#include <utility>

namespace aldersill::dispatch {

void EndpointListPolling::Begin() {
  const Settings& settings = context_.settings();
  if (!settings.subscribe)
    return;
  const double delay = context_.random().Uniform() * settings.max_list_poll_interval / 100;
  context_.StartTimer(static_cast<Micros>(delay), TimerKind::kListPoll);
}

void EndpointListPolling::Poll() {
  if (subscribed_)
    return;
  context_.Emit(SubscribeList{});
  // An unanswered call is repeated well before the longest allowed poll interval has passed.
  const Micros max_interval = context_.settings().max_list_poll_interval;
  backoff_ = std::clamp<Micros>(2 * backoff_, max_interval / 32, max_interval / 4);
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
  // The jitter prevents nodes that lose their subscriptions at the same time from all calling at once.
  const double delay = context_.random().Uniform() * context_.settings().max_list_poll_interval / 32;
  if (std::exchange(subscribed_, false))
    context_.StartTimer(static_cast<Micros>(delay), TimerKind::kListPoll);
}

}  // namespace aldersill::dispatch
