// The platform's HTTP: service clients, links to instances, discovery.
#include <algorithm>
#include <optional>
#include <utility>

#include "core/readiness.h"
#include "daemon/components.h"
#include "daemon/job_transfer.h"
#include "http/discovery_client.h"
#include "http/frontend.h"
#include "http/worker_client.h"
#include "log/log.h"

namespace aldersill {
namespace {

// After SIGTERM the layer before us goes on sending new connections for a while.
constexpr Micros kQuietFor = 300 * kMillisecond;
constexpr Micros kLookIfReadyEvery = 20 * kMillisecond;

HttpFrontendSettings ForClients(const Config& c) {
  HttpFrontendSettings s;
  for (const auto& job_class : c.module.classes) {
    s.requires_idempotency_key[job_class.name] = job_class.repeat == dispatch::Repeat::kKeyed;
    s.longest_deadline = std::max(s.longest_deadline, job_class.deadline);
  }
  s.max_connections = static_cast<std::size_t>(DescriptorShares(c).clients);
  s.shared_endpoint = c.mgmt.has_value();
  s.max_unfinished_bytes = (static_cast<std::size_t>(c.memory_mb) << 20) / 8;
  return s;
}

// What an agent has counts as told at once, and after SIGHUP 4 s later. Where discovery is asked, a
// dispatcher without a watch is held to the list it has for as long as it may go without asking, from its
// last call.
constexpr Micros kMovedHold = 4 * kSecond;
Micros MovedHold(const Config& c) {
  return c.module.subscribe ? c.module.must_ask_in - WatchScheduler::kLongPollWait : kMovedHold;
}

// The remembered list is at least as young as the last start that it tells, whenever it was held.
Micros RememberedAt(const std::vector<WorkerEndpoint>& known, Micros now) {
  Micros at = 0;
  for (const WorkerEndpoint& worker : known) {
    if (worker.started <= now)
      at = std::max(at, worker.started);
  }
  return at;
}

WatchScheduler Clock(const Config& c) {
  using Kind = WatchScheduler::Kind;
  return {{c.module.subscribe ? Kind::kPolled : Kind::kPushed, c.module.must_ask_in, c.module.drain_grace},
          PollBackoff(c.module.nodes, c.module.must_ask_in / 2, c.seed)};
}

class PlatformComponent : public Component, public AttemptTransport, public ResponseSink {
 public:
  explicit PlatformComponent(const ComponentContext& context) : context_(context) {}

  void Start(const Config& c) override {
    workers_ = std::make_unique<WorkerClient>(context_.base, c.dial_timeout, DescriptorShares(c).workers,
                                              context_.sink);
    if (c.discovery)
      discovery_ = std::make_unique<DiscoveryClient>(context_.base, *c.discovery, c.known_version,
                                                     ClockAtStart(c), context_.sink);
    // Where lists are pushed the module does not ask, and what the agent has counts as told from the start.
    if (discovery_ != nullptr && !c.module.subscribe)
      discovery_->StartWatching();
    clients_ = std::make_unique<HttpFrontend>(context_.base, c.listen, ForClients(c), context_.sink,
                                              [this] { return Ready(); });
    limits_ = LimitsOf(c);
    context_.registry->share_descriptors = [this](int processes) {
      processes_ = processes;
      ApplyLimits(nullptr);
    };
    transfer_ = std::make_unique<JobTransfer>(context_, clients_.get(), workers_.get());
    context_.registry->resume = [this](const ResumeAttempt& resume) { transfer_->Resume(resume); };
    ReceiveJobs();
    // Beside another process nobody is served worse for waiting until this one can serve.
    if (context_.registry->other_processes().count() == 0)
      Listen();
    else
      ListenOnceReady();
    listen_ = c.listen;
    discovered_at_ = c.discovery;
    ComponentRegistry& registry = *context_.registry;
    registry.attempt_transports[static_cast<std::size_t>(WorkerEndpoint::Source::kDiscovery)] = this;
    registry.response_sinks[static_cast<std::size_t>(ClientRef::Frontend::kHttp)] = this;
    registry.watch_endpoint_list = [this] {
      if (discovery_ != nullptr)
        discovery_->StartWatching();
    };
    registry.why_not_ready = [this] { return WhyNotReady(); };
    registry.probe = [this](const ProbeWorker& probe) { workers_->Probe(probe); };
    registry.probe_for = [this](const ProbeWorker& probe, std::function<void(ProbeCompleted)> done) {
      workers_->Probe(probe, std::move(done));
    };
  }

  void OnAllStarted() override {
    Log(LogLevel::kInfo, "door",
        {{"name", "http"}, {"address", listen_.host + ":" + std::to_string(clients_->port())}});
  }

  void Start(const StartAttempt& e) override { workers_->Start(e); }
  void Send(const SendAttempt& e) override { workers_->Send(e); }
  void Stop(AttemptId attempt) override { workers_->Stop(attempt); }
  void Reply(std::uint64_t client, const FinalAnswer& answer) override { clients_->Reply(client, answer); }
  bool HasLeft(std::uint64_t client) const override { return clients_->ClientDisconnected(client); }

  void PrepareReload(const Config& next) override {
    if (!(next.listen == listen_))
      response_sink_ = clients_->CreateListener(next.listen);
  }
  void CancelReload() override { response_sink_.reset(); }
  void ApplyReload(const Config& c) override {
    limits_ = LimitsOf(c);
    ApplyLimits(std::move(response_sink_));
    listen_ = c.listen;
  }
  void OnReloadApplied(const Config& c) override {
    if (c.discovery == discovered_at_)
      return;
    discovered_at_ = c.discovery;
    Log(LogLevel::kInfo, "discovery_moved",
        {{"address", c.discovery ? ToText(*c.discovery) : std::string("none")}});
    if (!c.discovery) {
      discovery_.reset();
      return context_.sink->Post(EndpointListLease{EndpointListLease::kForEver});
    }
    // Its versions are its own: the whole list first, and until then the workers that are known serve on.
    WatchScheduler clock = Clock(c);
    clock.Start(SteadyNow(), MovedHold(c));
    discovery_ = std::make_unique<DiscoveryClient>(context_.base, *c.discovery, std::nullopt,
                                                   std::move(clock), context_.sink, std::move(discovery_));
    discovery_->StartWatching();
  }

  void BeginDrain() override {
    clients_->StartDraining();
    const upgrade::OtherProcesses others = context_.registry->processes_listening();
    context_.registry->set_listening(false);
    // They are numbered as they came; newcomers go to the newest of the others.
    if (others.count() > 0 && clients_->listening())
      clients_->RouteNewConnectionsTo(
          static_cast<unsigned>(others.newer > 0 ? others.count() : others.older - 1));
    if (others.count() > 0)
      transfer_->SendTo(context_.registry->other_job_socket());
  }
  bool Quiet() const override {
    return clients_->IsDrained() && clients_->TimeSinceLastAccept() >= kQuietFor;
  }

 private:
  const ComponentContext context_;
  WatchScheduler ClockAtStart(const Config& c) const {
    const Micros now = context_.now(), steady = SteadyNow();
    WatchScheduler clock = Clock(c);
    clock.StartWithCachedList(steady, steady - (now - RememberedAt(c.known, now)));
    return clock;
  }
  std::string WhyNotReady() {
    if (!Ready())
      return "no worker list yet";
    return clients_->listening() ? "" : "takes no new clients";
  }
  // What the dispatcher may hold, over all its processes.
  struct Limits {
    HttpFrontendSettings clients;
    Micros dial_timeout = 0;
    int workers = 0;
  };
  static Limits LimitsOf(const Config& c) {
    return {ForClients(c), c.dial_timeout, DescriptorShares(c).workers};
  }
  void ApplyLimits(EventPtr<evconnlistener> listener) {
    HttpFrontendSettings clients = limits_.clients;
    clients.max_connections /= static_cast<std::size_t>(processes_);
    clients_->ApplySettings(std::move(clients), std::move(listener));
    workers_->ApplySettings(limits_.dial_timeout, limits_.workers / processes_);
  }
  // Where that fails, only what is in hand at an upgrade is worse off.
  void ReceiveJobs() {
    const std::string path = context_.registry->own_job_socket();
    if (path.empty())
      return;
    try {
      transfer_->ReceiveAt(path);
    } catch (const std::runtime_error& e) {
      Log(LogLevel::kWarning, "jobs_not_received", {{"why", e.what()}});
    }
  }
  void Listen() {
    clients_->StartListening();
    context_.registry->set_listening(true);
  }
  void ListenOnceReady() {
    if (Ready())
      return Listen();
    ready_timer_.Set(kLookIfReadyEvery);
  }
  bool Ready() { return readiness_.Ready(SteadyNow(), context_.reducer->ListConfirmed()); }

  Readiness readiness_{SteadyNow()};
  Timer ready_timer_{context_.base, [this] { ListenOnceReady(); }};
  Limits limits_;
  int processes_ = 1;
  std::unique_ptr<WorkerClient> workers_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::unique_ptr<HttpFrontend> clients_;
  std::unique_ptr<JobTransfer> transfer_;
  Endpoint listen_;
  std::optional<Endpoint> discovered_at_;
  EventPtr<evconnlistener> response_sink_;  // opened for a configuration that is not yet taken over
};

}  // namespace

std::unique_ptr<Component> MakePlatformComponent(const ComponentContext& context) {
  return std::make_unique<PlatformComponent>(context);
}

}  // namespace aldersill
