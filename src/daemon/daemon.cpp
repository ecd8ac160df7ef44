#include "daemon/daemon.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "log/log.h"
#include "log/trace.h"

namespace aldersill {
namespace {

// After SIGTERM the layer before us goes on sending us new connections for a while.
constexpr Micros kLinger = 700 * kMillisecond;
constexpr Micros kLookEvery = 20 * kMillisecond;

Micros UnixNow() {
  using std::chrono::duration_cast, std::chrono::microseconds, std::chrono::system_clock;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

CoreSettings ForCore(const Config& c) {
  CoreSettings s;
  s.module = c.module;
  s.seed = c.seed;
  s.has_discovery = c.discovery.has_value();
  s.dial_timeout = c.dial_timeout;
  s.fetch_patience = c.own.faktory.fetch_patience;
  return s;
}

// Precise timers: epoll's own wait is in whole milliseconds, rounded up. No cached time: a wait counted from
// the loop's last wake-up ends early by what was done since, and the module sleeps through a deadline timer
// that rings before its deadline.
event_base* NewBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER | EVENT_BASE_FLAG_NO_CACHE_TIME);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr)
    throw std::runtime_error("libevent: no event base");
  return base;
}

// The platform may add fields; one of them may be a misspelt one that we would have read.
void TellUnknown(const Config& c) {
  if (c.unknown.empty())
    return;
  std::string fields;
  for (const std::string& field : c.unknown)
    fields += (fields.empty() ? "" : ", ") + field;
  Log(LogLevel::kWarning, "configuration_fields_unknown", {{"count", c.unknown.size()}, {"fields", fields}});
}

}  // namespace

Daemon::Daemon(Config config) : base_(NewBase()), config_(std::move(config)), reducer_(ForCore(config_)) {
  // One clock for all: it reads as Unix time, as name tables tell starts in it, but never steps back.
  clock_offset_ = UnixNow() - SteadyNow();
  SetUpLog(config_.own.logging);
  TellUnknown(config_);
  const ComponentContext context{base_.get(), this, &reducer_, &registry_, [this] { return Now(); }};
  components_ = MakeComponents(context);
  for (const auto& component : components_)
    component->Start(config_);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.emplace_back(evsignal_new(base_.get(), number, &Daemon::OnSignal, this));
    evsignal_add(signals_.back().get(), nullptr);
  }
  quiet_timer_ = std::make_unique<Timer>(base_.get(), [this] { EndIfQuiet(); });
  Post(EndpointListUpdate{EndpointListUpdate::Form::kCached, WorkerEndpoint::Source::kDiscovery,
                          config_.known});
  for (const auto& component : components_)
    component->OnAllStarted();
  Log(LogLevel::kInfo, "serving", {{"name", config_.name}, {"remembered", config_.known.size()}});
}

Daemon::~Daemon() = default;

Micros Daemon::Now() const { return SteadyNow() + clock_offset_; }

void Daemon::Run() { event_base_dispatch(base_.get()); }

void Daemon::Post(Event event) {
  events_.push_back(std::move(event));
  // An effect may tell of something at once: it waits until the effects before it are all carried out.
  if (std::exchange(reducing_, true))
    return;
  while (!events_.empty()) {
    Event next = std::move(events_.front());
    events_.pop_front();
    effects_.clear();
    Trace(next);
    reducer_.Reduce(Now(), std::move(next), &effects_);
    for (const Effect& effect : effects_) {
      Trace(effect);
      std::visit([this](const auto& e) { Do(e); }, effect);
    }
  }
  reducing_ = false;
}

void Daemon::Do(const StartAttempt& e) {
  // A client's end may have come with its request, or in the same moment as the news that made this attempt:
  // then it lies unread, and the attempt would begin for nobody.
  const auto* response_sink = registry_.response_sinks[static_cast<std::size_t>(e.client.frontend)];
  if (response_sink != nullptr && response_sink->HasLeft(e.client.number)) {
    Post(ClientLeft{e.client});
    return Post(AttemptEnded{e.attempt, Outcome::kNotSent, "", {}});
  }
  if (auto* runner = registry_.attempt_transports[static_cast<std::size_t>(e.source)])
    runner->Start(e);
}
void Daemon::Do(const ResumeAttempt& e) {
  if (registry_.resume)
    registry_.resume(e);
}
void Daemon::Do(const SendAttempt& e) {
  if (auto* runner = registry_.attempt_transports[static_cast<std::size_t>(e.source)])
    runner->Send(e);
}
void Daemon::Do(const StopAttempt& e) {
  if (auto* runner = registry_.attempt_transports[static_cast<std::size_t>(e.source)])
    runner->Stop(e.attempt);
}
void Daemon::Do(const Answer& e) {
  if (auto* response_sink = registry_.response_sinks[static_cast<std::size_t>(e.client.frontend)])
    response_sink->Reply(e.client.number, e.answer);
}
void Daemon::Do(const ProbeWorker& e) {
  if (registry_.probe)
    registry_.probe(e);
}
void Daemon::Do(const WatchEndpointList&) {
  if (registry_.watch_endpoint_list)
    registry_.watch_endpoint_list();
}
void Daemon::Do(const LogLine& e) { Log(LogLevel::kInfo, "module", {{"text", e.text}}); }

void Daemon::Do(const SetTimer& e) {
  const auto at = timers_.emplace(e.key, nullptr);
  at->second = std::make_unique<Timer>(base_.get(), [this, at] {
    const TimerKey key = at->first;
    timers_.erase(at);
    Post(TimerDue{key});
  });
  at->second->Set(e.delay);
}

void Daemon::Do(const ClearTimer& e) { timers_.erase(e.key); }

void Daemon::OnSignal(evutil_socket_t number, short, void* self) {
  auto* daemon = static_cast<Daemon*>(self);
  number == SIGHUP ? daemon->Reload() : daemon->BeginDrain();
}

void Daemon::Reload() {
  // All that can fail comes first, so that a bad file changes nothing.
  Config next;
  try {
    next = ReadConfig(&config_);
    for (const auto& component : components_)
      component->PrepareReload(next);
  } catch (const std::exception& e) {
    for (const auto& component : components_)
      component->CancelReload();
    const auto* error = dynamic_cast<const ConfigError*>(&e);
    Log(LogLevel::kError, "configuration_refused",
        {{"code", error != nullptr ? error->code() : "failed"},
         {"field", error != nullptr ? error->path() : ""},
         {"why", e.what()}});
    return Post(SettingsRefused{});
  }
  CoreSettings core = ForCore(next);
  core.module_changed = next.module_text != config_.module_text;
  config_ = std::move(next);
  SetUpLog(config_.own.logging);
  TellUnknown(config_);
  for (const auto& component : components_)
    component->ApplyReload(config_);
  Post(SettingsChanged{std::move(core)});
  for (const auto& component : components_)
    component->OnReloadApplied(config_);
  Log(LogLevel::kInfo, "configuration_adopted");
}

void Daemon::BeginDrain() {
  if (drain_began_ != 0)
    return;
  drain_began_ = Now();
  for (const auto& component : components_)
    component->BeginDrain();
  Log(LogLevel::kInfo, "draining");
  quiet_timer_->Set(kLookEvery);
}

void Daemon::EndIfQuiet() {
#ifdef ALDERSILL_PLANT_HASTY_END  // planted where a search must find it
  return static_cast<void>(event_base_loopbreak(base_.get()));
#endif
  const bool quiet =
      reducer_.Quiet() && std::all_of(components_.begin(), components_.end(),
                                      [](const auto& component) { return component->Quiet(); });
  if (quiet && Now() - drain_began_ >= kLinger) {
    Log(LogLevel::kInfo, "ending");
    event_base_loopbreak(base_.get());
    return;
  }
  quiet_timer_->Set(kLookEvery);
}

}  // namespace aldersill
