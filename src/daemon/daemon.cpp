#include "daemon/daemon.h"

#include <signal.h>

#include <chrono>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace aldersill {
namespace {

// After SIGTERM the front goes on sending us new connections for a while.
constexpr Micros kLinger = 700 * kMillisecond;
constexpr Micros kQuietFor = 300 * kMillisecond;
constexpr Micros kLookEvery = 20 * kMillisecond;
// Descriptors for what is not a connection: standard streams, epoll, signals, listeners, discovery.
constexpr int kReserved = 40;

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
  s.fetch_patience = c.fetch_patience;
  return s;
}

// How the descriptors are shared out.
struct Shares {
  explicit Shares(const Config& c) {
    const int all = c.sockets - kReserved;
    sessions = c.faktory ? all / 4 : 0;
    clients = instances = (all - sessions) / 2;
  }
  int sessions = 0, clients = 0, instances = 0;
};

faktory::FrontSettings ForFaktory(const Config& c) {
  faktory::FrontSettings s;
  s.listen = *c.faktory;
  s.fetch_wait = c.fetch_wait;
  s.silence = c.worker_silence;
  s.return_within = c.worker_return;
  s.most_connections = Shares(c).sessions;
  for (const auto& klass : c.module.classes) s.classes.emplace(klass.name, klass.deadline);
  return s;
}

ClientFrontSettings ForClients(const Config& c) {
  ClientFrontSettings s;
  for (const auto& klass : c.module.classes)
    s.keyed[klass.name] = klass.repeat == pulleyrouter::Repeat::kKeyed;
  s.most_connections = static_cast<std::size_t>(Shares(c).clients);
  s.most_bytes = (static_cast<std::size_t>(c.memory_mb) << 20) / 8;
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
  if (base == nullptr) throw std::runtime_error("libevent: no event base");
  return base;
}

}  // namespace

Daemon::Daemon(Config config) : base_(NewBase()), config_(std::move(config)), reducer_(ForCore(config_)) {
  // One clock for all: it reads as Unix time, as name tables tell starts in it, but never steps back.
  clock_offset_ = UnixNow() - SteadyNow();
  const Shares shares(config_);
  instances_ = std::make_unique<InstanceLink>(base_.get(), config_.dial_timeout, shares.instances, this);
  if (config_.discovery)
    discovery_ = std::make_unique<Discovery>(base_.get(), *config_.discovery, config_.known_version, this);
  clients_ = std::make_unique<ClientFront>(base_.get(), config_.listen, ForClients(config_), this);
  if (config_.faktory) faktory_ = std::make_unique<faktory::Front>(base_.get(), ForFaktory(config_), this);
  if (config_.snmp) {
    snmp_ = std::make_unique<snmp::Agent>(base_.get(), *config_.snmp, &reducer_.counters());
    Log("door snmp on %s:%d", config_.snmp->host.c_str(), snmp_->port());
  }
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.emplace_back(evsignal_new(base_.get(), number, &Daemon::OnSignal, this));
    evsignal_add(signals_.back().get(), nullptr);
  }
  quiet_timer_ = std::make_unique<Timer>(base_.get(), [this] { EndIfQuiet(); });
  Tell(NameTableNews{NameTableNews::Form::kRemembered, Instance::Source::kDiscovery, config_.known});
  if (faktory_ != nullptr) Log("door faktory on %s:%d", config_.faktory->host.c_str(), faktory_->port());
  Log("door http on %s:%d", config_.listen.host.c_str(), clients_->port());
  Log("%s: serving, %zu instances remembered", config_.name.c_str(), config_.known.size());
}

Daemon::~Daemon() = default;

Micros Daemon::Now() const { return SteadyNow() + clock_offset_; }

void Daemon::Run() { event_base_dispatch(base_.get()); }

void Daemon::Tell(Event event) {
  events_.push_back(std::move(event));
  // An effect may tell of something at once: it waits until the effects before it are all carried out.
  if (std::exchange(reducing_, true)) return;
  while (!events_.empty()) {
    Event next = std::move(events_.front());
    events_.pop_front();
    effects_.clear();
    reducer_.Reduce(Now(), std::move(next), &effects_);
    for (const Effect& effect : effects_) std::visit([this](const auto& e) { Do(e); }, effect);
  }
  reducing_ = false;
}

void Daemon::Do(const StartExecution& e) {
  if (e.source == Instance::Source::kDiscovery) return instances_->Start(e);
  if (faktory_ != nullptr) faktory_->Start(e);
}
void Daemon::Do(const StopExecution& e) {
  if (e.source == Instance::Source::kDiscovery) return instances_->Stop(e.execution);
  if (faktory_ != nullptr) faktory_->Stop(e.execution);
}
void Daemon::Do(const Answer& e) {
  if (e.client.front == ClientRef::Front::kHttp) return clients_->Reply(e.client.number, e.answer);
  if (faktory_ != nullptr) faktory_->Reply(e.client.number, e.answer);
}
void Daemon::Do(const ProbeInstance& e) { instances_->Probe(e); }
void Daemon::Do(const WatchNameTable&) {
  if (discovery_ != nullptr) discovery_->Watch();
}
void Daemon::Do(const LogLine& e) { Log("%s", e.text.c_str()); }

void Daemon::Do(const SetTimer& e) {
  const auto at = timers_.emplace(e.key, nullptr);
  at->second = std::make_unique<Timer>(base_.get(), [this, at] {
    const TimerKey key = at->first;
    timers_.erase(at);
    Tell(TimerDue{key});
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
  EventPtr<evconnlistener> http_door, faktory_door;
  try {
    next = ReadConfig(&config_);
    if (next.snmp.has_value() != config_.snmp.has_value() || (next.snmp && !(*next.snmp == *config_.snmp)))
      throw ConfigError("snmp cannot change while the program runs");
    if (!(next.listen == config_.listen)) http_door = clients_->Open(next.listen);
    if (faktory_ != nullptr && next.faktory && !(config_.faktory && *next.faktory == *config_.faktory))
      faktory_door = faktory_->Open(*next.faktory);
    if (faktory_ == nullptr && next.faktory)
      faktory_ = std::make_unique<faktory::Front>(base_.get(), ForFaktory(next), this);
  } catch (const std::exception& e) {
    Log("configuration not taken over: %s", e.what());
    return;
  }
  const bool moved = next.discovery.has_value() != config_.discovery.has_value() ||
                     (next.discovery && !(*next.discovery == *config_.discovery));
  CoreSettings core = ForCore(next);
  core.module_changed = next.module_text != config_.module_text;
  const Shares shares(next);
  config_ = std::move(next);
  instances_->Adopt(config_.dial_timeout, shares.instances);
  clients_->Adopt(ForClients(config_), std::move(http_door));
  if (config_.faktory) faktory_->Adopt(ForFaktory(config_), std::move(faktory_door));
  if (!config_.faktory && faktory_ != nullptr) faktory_->Close();
  Tell(SettingsChanged{std::move(core)});
  if (moved) {
    discovery_.reset();
    // Its versions are its own: the whole list first, and until then the workers that are known serve on.
    if (config_.discovery) {
      discovery_ = std::make_unique<Discovery>(base_.get(), *config_.discovery, std::nullopt, this);
      discovery_->Watch();
    }
  }
  Log("configuration read anew%s", moved ? ", discovery moved" : "");
}

void Daemon::BeginDrain() {
  if (drain_began_ != 0) return;
  Log("told to stop: finishing what was taken");
  drain_began_ = Now();
  clients_->BeginDrain();
  if (faktory_ != nullptr) faktory_->BeginDrain();
  quiet_timer_->Set(kLookEvery);
}

void Daemon::EndIfQuiet() {
  const bool quiet = reducer_.Quiet() && clients_->Quiet() && clients_->SinceLastAccept() >= kQuietFor &&
                     (faktory_ == nullptr || faktory_->Quiet());
  if (quiet && Now() - drain_began_ >= kLinger) {
    Log("quiet: ending");
    event_base_loopbreak(base_.get());
    return;
  }
  quiet_timer_->Set(kLookEvery);
}

}  // namespace aldersill
