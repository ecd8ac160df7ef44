#include "daemon/daemon.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "daemon/components.h"
#include "log/log.h"
#include "log/trace.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

// The load balancer in front of the dispatcher continues to send new connections for some time after SIGTERM.
constexpr Micros kMinDrain = 700 * kMillisecond;
constexpr Micros kDrainCheckInterval = 20 * kMillisecond;
// A reload that fails because a file cannot be read is retried: it may contain the new address of discovery,
// whose previous address stops answering soon.
constexpr Micros kReloadRetryInterval = 200 * kMillisecond;
constexpr Micros kReloadRetryPeriod = 10 * kSecond;

Micros UnixNow() {
  using std::chrono::duration_cast, std::chrono::microseconds, std::chrono::system_clock;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

CoreSettings CoreSettingsFrom(const Config& config) {
  CoreSettings settings;
  settings.dispatcher = config.module;
  settings.seed = config.seed;
  settings.has_discovery = config.discovery.has_value();
  settings.dial_timeout = config.dial_timeout;
  settings.fetch_timeout = config.operator_settings.faktory.fetch_timeout;
  return settings;
}

// Uses precise timers, because epoll's own timeout is in whole milliseconds, rounded up. Does not use cached
// time: a timer that is set relative to the loop's last wake-up fires early by the time spent since then, and
// the decision module misses a deadline whose timer fires early.
event_base* NewEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER | EVENT_BASE_FLAG_NO_CACHE_TIME);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr)
    throw std::runtime_error("libevent: cannot create an event base");
  return base;
}

// Logs unknown fields instead of rejecting them, because the platform may add fields of its own. An unknown
// field may also be a misspelt known one.
void LogUnknownFields(const Config& config) {
  if (config.unknown_fields.empty())
    return;
  std::string fields;
  for (const std::string& field : config.unknown_fields)
    fields += (fields.empty() ? "" : ", ") + field;
  Log(LogLevel::kWarning, "configuration_unknown_fields",
      {{"count", config.unknown_fields.size()}, {"fields", fields}});
}

}  // namespace

Daemon::Daemon(Config config)
    : base_(NewEventBase()),
      config_(std::move(config)),
      reducer_(CoreSettingsFrom(config_)),
      // Now() is Unix time, because endpoint lists give workers' start times in Unix time.
      clock_offset_(UnixNow() - SteadyNow()) {
  SetUpLog(config_.operator_settings.logging);
  LogUnknownFields(config_);
  StartComponents();
  WatchSignals();
  drain_timer_ = std::make_unique<Timer>(base_.get(), [this] { StopIfDrained(); });
  reload_timer_ = std::make_unique<Timer>(base_.get(), [this] { TryReload(); });
  Post(EndpointListUpdate{.form = EndpointListUpdate::Form::kCached,
                          .source = WorkerEndpoint::Source::kDiscovery,
                          .workers = config_.known_workers});
  for (const auto& component : components_)
    component->OnAllStarted();
  Log(LogLevel::kInfo, "serving", {{"name", config_.name}, {"cached_workers", config_.known_workers.size()}});
}

Daemon::~Daemon() = default;

void Daemon::Run() { event_base_dispatch(base_.get()); }

void Daemon::StartComponents() {
  components_ = MakeComponents({.base = base_.get(),
                                .sink = this,
                                .reducer = &reducer_,
                                .drain = this,
                                .registry = &registry_,
                                .now = [this] { return Now(); }});
  for (const auto& component : components_)
    component->Start(config_);
}

void Daemon::WatchSignals() {
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.emplace_back(evsignal_new(base_.get(), number, &Daemon::OnSignal, this));
    evsignal_add(signals_.back().get(), nullptr);
  }
}

void Daemon::OnSignal(evutil_socket_t number, short, void* self) {
  auto* daemon = static_cast<Daemon*>(self);
  if (number == SIGHUP)
    daemon->Reload();
  else
    daemon->BeginDrain();
}

Micros Daemon::Now() const { return SteadyNow() + clock_offset_; }

void Daemon::Post(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(reducing_, true))
    return;
  while (!events_.empty()) {
    Event next = std::move(events_.front());
    events_.pop_front();
    Reduce(std::move(next));
  }
  reducing_ = false;
}

void Daemon::Reduce(Event event) {
  effects_.clear();
  if (auto* received = std::get_if<RequestReceived>(&event))
    LockJobId(*received);
  Trace(event);
  reducer_.Reduce(Now(), std::move(event), &effects_);
  for (const Effect& effect : effects_) {
    Trace(effect);
    std::visit([this](const auto& typed_effect) { Perform(typed_effect); }, effect);
  }
}

void Daemon::LockJobId(RequestReceived& received) const {
  const auto& lock = registry_.process_group.lock_job_id;
  // This process has locked an id that is open in it. The lock may be shared with the process that is about
  // to receive the job, and an exclusive lock would then keep that process out.
  if (!lock || received.job.id.empty() || reducer_.IsJobIdOpen(received.job.id))
    return;
  // The process that transfers a job keeps its own lock until it exits.
  using Mode = upgrade::JobIdLocks::Mode;
  const Mode mode = received.transferred ? Mode::kShared : Mode::kExclusive;
  received.open_elsewhere = !lock(received.job.id, mode);
}

void Daemon::Perform(const StartAttempt& start) {
  // The client may have closed its connection right after it sent its request, or just before the event that
  // led to this attempt. The frontend has not read the close yet in that case, and nobody would receive the
  // attempt's result.
  if (ClientDisconnected(start.client)) {
    Post(ClientLeft{start.client});
    Post(AttemptEnded{.attempt = start.attempt,
                      .outcome = Outcome::kNotSent,
                      .result = "",
                      .report = {},
                      .reason = "client has left"});
    return;
  }
  if (AttemptTransport* transport = registry_.effects.TransportFor(start.source))
    transport->Start(start);
}

bool Daemon::ClientDisconnected(const ClientRef& client) const {
  const ResponseSink* sink = registry_.effects.ResponseSinkFor(client.frontend);
  return sink != nullptr && sink->ClientDisconnected(client.number);
}

void Daemon::Perform(const ResumeAttempt& resume) {
  if (registry_.effects.resume_attempt)
    registry_.effects.resume_attempt(resume);
}

void Daemon::Perform(const SendAttempt& send) {
  if (AttemptTransport* transport = registry_.effects.TransportFor(send.source))
    transport->Send(send);
}

void Daemon::Perform(const StopAttempt& stop) {
  if (AttemptTransport* transport = registry_.effects.TransportFor(stop.source))
    transport->Stop(stop.attempt);
}

void Daemon::Perform(const Answer& answer) {
  if (ResponseSink* sink = registry_.effects.ResponseSinkFor(answer.client.frontend))
    sink->Reply(answer.client.number, answer.answer);
}

void Daemon::Perform(const SetTimer& timer) {
  const auto entry = timers_.emplace(timer.key, nullptr);
  entry->second = std::make_unique<Timer>(base_.get(), [this, entry] {
    const TimerKey key = entry->first;
    timers_.erase(entry);
    Post(TimerDue{key});
  });
  entry->second->Set(timer.delay);
}

void Daemon::Perform(const ClearTimer& timer) { timers_.erase(timer.key); }

void Daemon::Perform(const ProbeWorker& probe) {
  if (registry_.effects.probe)
    registry_.effects.probe(probe);
}

void Daemon::Perform(const WatchEndpointList&) {
  if (registry_.effects.watch_endpoint_list)
    registry_.effects.watch_endpoint_list();
}

void Daemon::Perform(const LogLine& line) { Log(LogLevel::kInfo, "core_message", {{"text", line.text}}); }

void Daemon::Perform(const JobIdClosed& closed) {
  if (registry_.process_group.unlock_job_id)
    registry_.process_group.unlock_job_id(closed.id);
}

void Daemon::Reload() {
  reload_requested_at_ = SteadyNow();
  reload_rejected_ = false;
  TryReload();
}

void Daemon::TryReload() {
  reload_timer_->Clear();
  if (std::optional<Config> next = PrepareReload())
    ApplyReload(std::move(*next));
}

std::optional<Config> Daemon::PrepareReload() {
  try {
    Config next = ReadConfig(&config_);
    for (const auto& component : components_)
      component->PrepareReload(next);
    return next;
  } catch (const UnreadableFile& error) {
    RejectReload(error.code(), error.path(), error.what());
    if (SteadyNow() - reload_requested_at_ < kReloadRetryPeriod)
      reload_timer_->Set(kReloadRetryInterval);
  } catch (const ConfigError& error) {
    RejectReload(error.code(), error.path(), error.what());
  } catch (const std::exception& error) {
    RejectReload("failed", "", error.what());
  }
  return std::nullopt;
}

void Daemon::RejectReload(const std::string& code, const std::string& field, const std::string& reason) {
  for (const auto& component : components_)
    component->CancelReload();
  if (std::exchange(reload_rejected_, true))
    return;  // a retry of the same reload, whose rejection has been reported
  for (const auto& component : components_)
    component->OnReloadRejected(reload_requested_at_);
  Log(LogLevel::kError, "configuration_rejected", {{"code", code}, {"field", field}, {"why", reason}});
  Post(SettingsRefused{});
}

void Daemon::ApplyReload(Config next) {
  CoreSettings core_settings = CoreSettingsFrom(next);
  core_settings.dispatcher_changed = next.module_text != config_.module_text;
  config_ = std::move(next);
  SetUpLog(config_.operator_settings.logging);
  LogUnknownFields(config_);
  for (const auto& component : components_)
    component->ApplyReload(config_);
  Post(SettingsChanged{std::move(core_settings)});
  for (const auto& component : components_)
    component->OnReloadApplied(config_, reload_requested_at_);
  Log(LogLevel::kInfo, "configuration_applied");
}

void Daemon::BeginDrain() {
  if (draining())
    return;
  Post(DrainStarted{});
  for (const auto& component : components_)
    component->BeginDrain();
  Log(LogLevel::kInfo, "draining");
  drain_timer_->Set(kDrainCheckInterval);
}

void Daemon::StopIfDrained() {
#ifdef ALDERSILL_MUTANT_EXIT_WITHOUT_DRAIN  // injected fault that fleet_search must detect
  return static_cast<void>(event_base_loopbreak(base_.get()));
#endif
  if (!IsIdle() || reducer_.drain().Elapsed(Now()) < kMinDrain) {
    drain_timer_->Set(kDrainCheckInterval);
    return;
  }
  Log(LogLevel::kInfo, "exiting");
  event_base_loopbreak(base_.get());
}

bool Daemon::IsIdle() const {
  return reducer_.IsIdle() &&
         std::ranges::all_of(components_, [](const auto& component) { return component->IsIdle(); });
}

}  // namespace aldersill
