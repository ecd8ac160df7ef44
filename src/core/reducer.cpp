#include "core/reducer.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace aldersill {

Reducer::Reducer(CoreSettings settings) { UseSettings(std::move(settings)); }

void Reducer::UseSettings(CoreSettings settings) {
  const bool needs_instance = dispatchers_.empty() || settings.dispatcher_changed;
  context_.settings = std::move(settings);
  if (needs_instance)
    dispatchers_.Add(context_.settings.dispatcher, context_.settings.seed);
  classes_.Load(context_.settings.dispatcher.classes, &context_.counters.classes);
  drain_.set_longest_deadline(classes_.LongestDeadline());
}

void Reducer::Reduce(Micros now, Event event, std::vector<Effect>* effects) {
  context_.now = std::max(context_.now, now);
  context_.effects = effects;
  // A completed send is recorded before the expiry check. Otherwise the attempt would end as not sent, and
  // the job could run again elsewhere.
  if (const auto* sent = std::get_if<AttemptSent>(&event))
    attempts_.Apply(*sent);
  // The lease is checked before the event is applied: its timer may be late, and no attempt may start after
  // the expiry.
  if (endpoints_.ExpireIfDue())
    attempts_.EndUnsentToDiscoveredWorkers();
  std::visit([this](auto&& arrived) { Apply(std::forward<decltype(arrived)>(arrived)); }, std::move(event));
  RunDispatchers();
  dispatchers_.RemoveUnused();
  UpdateGauges();
}

void Reducer::RunDispatchers() {
  while (dispatchers_.HasEvents()) {
    for (const dispatch::Action& action : dispatchers_.HandleNext(context_.now))
      std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
}

void Reducer::UpdateGauges() {
  context_.counters.open_requests = requests_.size();
  context_.counters.waiting_clients = requests_.waiting().size();
  context_.counters.open_attempts = attempts_.size();
}

std::size_t Reducer::AvoidedWorkers() const {
  const dispatch::Dispatcher& dispatcher = dispatchers_.latest_dispatcher();
  return static_cast<std::size_t>(std::ranges::count_if(endpoints_.workers(), [&](const auto& entry) {
    return !endpoints_.IsAvailable(entry.second) || dispatcher.IsEjected(entry.first);
  }));
}

// ---- Events ----

void Reducer::Apply(const TimerDue& due) {
  switch (due.key.kind) {
    case TimerKey::Kind::kDispatcher:
      return dispatchers_.Post(due.key.dispatcher, dispatch::TimerFired{.token = due.key.id});
    case TimerKey::Kind::kSendDeadline:
      return attempts_.HandleSendDeadline(AttemptId{due.key.id});
    case TimerKey::Kind::kGiveUp:
      return attempts_.HandleGiveUp(AttemptId{due.key.id});
    case TimerKey::Kind::kEndpointListExpiry:
      return endpoints_.HandleExpiryTimer(due.key);
  }
}

void Reducer::Apply(EndpointListUpdate&& update) {
  endpoints_.Apply(std::move(update));
  attempts_.EndUnsentAtUnavailableWorkers();
}

void Reducer::Apply(const EndpointListLease& lease) {
  if (endpoints_.Apply(lease))
    attempts_.EndUnsentToDiscoveredWorkers();
}

void Reducer::Apply(const ProbeCompleted& completed) {
  dispatchers_.PostToAll(dispatch::ProbeDone{.worker = completed.worker,
                                             .outcome = completed.outcome,
                                             .elapsed = completed.elapsed,
                                             .report = completed.report});
}

void Reducer::Apply(SettingsChanged&& changed) {
  ++context_.counters.reconfigurations;
  const DispatcherGeneration before = dispatchers_.latest();
  UseSettings(std::move(changed.settings));
  // A new instance gets the known workers and continues the watch of discovery's list, if there is one.
  if (dispatchers_.latest() != before)
    endpoints_.PostListTo(dispatchers_.latest());
}

void Reducer::Apply(const SettingsRefused&) { ++context_.counters.reconfigurations_refused; }

void Reducer::Apply(const WorkerBanned& ban) {
  if (!bans_.Apply(ban))
    return;
  endpoints_.PostBanChange(ban.worker);
  attempts_.EndUnsentAtUnavailableWorkers();
}

// ---- Actions of the decision modules ----

void Reducer::Perform(const dispatch::SetTimer& timer) {
  const TimerKey key{
      .kind = TimerKey::Kind::kDispatcher, .id = timer.token, .dispatcher = dispatchers_.current()};
  context_.Emit(SetTimer{.key = key, .delay = timer.delay});
}

void Reducer::Perform(const dispatch::Probe& probe) {
  const WorkerEndpoint* worker = endpoints_.Find(probe.worker);
  if (worker != nullptr && worker->source == WorkerEndpoint::Source::kDiscovery)
    context_.Emit(ProbeWorker{.worker = probe.worker, .address = worker->address});
}

void Reducer::Perform(const dispatch::SubscribeList&) {
  if (context_.settings.has_discovery)
    return context_.Emit(WatchEndpointList{});
  endpoints_.PostSessionListTo(dispatchers_.current());
}

void Reducer::Perform(const dispatch::Log& line) { context_.Emit(LogLine{.text = line.text}); }

}  // namespace aldersill
