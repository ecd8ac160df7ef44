// The platform's HTTP interfaces: service clients, connections to the workers of discovery's list, and the
// watch of that list. Also transfers jobs to the next process in an upgrade.
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/readiness.h"
#include "daemon/components.h"
#include "daemon/descriptor_shares.h"
#include "daemon/discovery_watcher.h"
#include "daemon/job_transfer.h"
#include "daemon/listener_log.h"
#include "http/frontend.h"
#include "http/worker_client.h"
#include "log/log.h"
#include "net/event_ptr.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {
namespace {

// The load balancer in front of the dispatcher continues to send new connections for some time after SIGTERM.
constexpr Micros kMinTimeSinceAccept = 300 * kMillisecond;
constexpr Micros kReadinessCheckInterval = 20 * kMillisecond;

HttpFrontendSettings FrontendSettingsFrom(const Config& config) {
  HttpFrontendSettings settings;
  for (const auto& job_class : config.module.classes) {
    settings.requires_idempotency_key[job_class.name] = job_class.repeat == dispatch::Repeat::kKeyed;
  }
  settings.max_connections = static_cast<std::size_t>(DivideDescriptors(config).http_clients);
  settings.shared_endpoint = config.mgmt.has_value();
  settings.max_unfinished_bytes = (static_cast<std::size_t>(config.memory_mb) << 20) / 8;
  return settings;
}

// Returns the index of the newest other process in the kernel's group of sockets that listen on one endpoint
// (SO_REUSEPORT). The kernel numbers them from 0 in the order in which they began to listen; this process is
// one of them.
unsigned NewestListenerIndex(const upgrade::OtherProcesses& others) {
  return static_cast<unsigned>(others.newer > 0 ? others.count() : others.older - 1);
}

class PlatformComponent : public Component, public AttemptTransport, public ResponseSink {
 public:
  explicit PlatformComponent(const ComponentContext& context) : context_(context), discovery_(context) {}

  void Start(const Config& config) override {
    limits_ = LimitsFrom(config);
    listen_ = config.listen;
    workers_ = std::make_unique<WorkerClient>(context_.base, limits_.dial_timeout, limits_.worker_connections,
                                              context_.sink);
    discovery_.Start(config);
    frontend_ = std::make_unique<HttpFrontend>(context_.base, listen_, limits_.frontend, context_.sink,
                                               context_.drain, [this] { return IsReady(); });
    transfer_ = std::make_unique<JobTransfer>(context_, frontend_.get(), workers_.get());
    ListenForJobs();
    // If another process of this dispatcher runs, it can serve clients until this one is ready.
    if (context_.registry->process_group.others().count() == 0)
      ListenForClients();
    else
      ListenForClientsOnceReady();
    Register();
  }

  void OnAllStarted() override { LogListener("http", listen_.host, frontend_->port()); }

  void Start(const StartAttempt& start) override { workers_->Start(start); }
  void Send(const SendAttempt& send) override { workers_->Send(send); }
  void Stop(AttemptId attempt) override { workers_->Stop(attempt); }
  void Reply(std::uint64_t client, const FinalAnswer& answer) override { frontend_->Reply(client, answer); }
  bool ClientDisconnected(std::uint64_t client) const override {
    return frontend_->ClientDisconnected(client);
  }

  void PrepareReload(const Config& next) override {
    if (!(next.listen == listen_))
      prepared_listener_ = frontend_->CreateListener(next.listen);
  }
  void CancelReload() override { prepared_listener_.reset(); }
  void ApplyReload(const Config& config) override {
    limits_ = LimitsFrom(config);
    ApplyLimits(std::move(prepared_listener_));
    listen_ = config.listen;
  }
  void OnReloadApplied(const Config& config, Micros reloaded_at) override {
    discovery_.OnReloadApplied(config, reloaded_at);
  }
  void OnReloadRejected(Micros reloaded_at) override { discovery_.OnReloadRejected(reloaded_at); }

  void BeginDrain() override {
    frontend_->StartDraining();
    const ProcessGroupServices& group = context_.registry->process_group;
    const upgrade::OtherProcesses others = group.others_listening();
    group.set_listening(false);
    if (others.count() == 0)
      return;
    if (frontend_->listening())
      frontend_->RouteNewConnectionsTo(NewestListenerIndex(others));
    transfer_->TransferTo(group.peer_transfer_socket());
  }
  bool IsIdle() const override {
    return frontend_->IsDrained() && frontend_->TimeSinceLastAccept() >= kMinTimeSinceAccept;
  }

 private:
  // The limits for all processes of this dispatcher together.
  struct Limits {
    HttpFrontendSettings frontend;
    Micros dial_timeout = 0;
    int worker_connections = 0;
  };
  static Limits LimitsFrom(const Config& config) {
    return {.frontend = FrontendSettingsFrom(config),
            .dial_timeout = config.dial_timeout,
            .worker_connections = DivideDescriptors(config).http_workers};
  }
  // Applies this process's share of the limits. `listener`: replaces the frontend's listener; null keeps it.
  void ApplyLimits(EventPtr<evconnlistener> listener) {
    HttpFrontendSettings settings = limits_.frontend;
    settings.max_connections /= static_cast<std::size_t>(processes_);
    frontend_->ApplySettings(std::move(settings), std::move(listener));
    workers_->ApplySettings(limits_.dial_timeout, limits_.worker_connections / processes_);
  }
  void SetProcessCount(int processes) {
    processes_ = processes;
    ApplyLimits(nullptr);
  }

  void Register() {
    ComponentRegistry& registry = *context_.registry;
    EffectHandlers& effects = registry.effects;
    effects.SetTransport(WorkerEndpoint::Source::kDiscovery, this);
    effects.SetResponseSink(ClientRef::Frontend::kHttp, this);
    effects.watch_endpoint_list = [this] { discovery_.Watch(); };
    effects.resume_attempt = [this](const ResumeAttempt& resume) { transfer_->Resume(resume); };
    effects.probe = [this](const ProbeWorker& probe) { workers_->Probe(probe); };
    registry.probe_with_callback = [this](const ProbeWorker& probe,
                                          std::function<void(ProbeCompleted)> callback) {
      workers_->Probe(probe, std::move(callback));
    };
    registry.operators.readiness_failure = [this] { return ReadinessFailure(); };
    registry.set_process_count = [this](int processes) { SetProcessCount(processes); };
  }

  // If this process cannot receive jobs, its predecessor completes its own jobs before it exits.
  void ListenForJobs() {
    const std::string path = context_.registry->process_group.own_transfer_socket();
    if (path.empty())
      return;
    try {
      transfer_->Listen(path);
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kWarning, "job_transfer_listen_failed", {{"why", error.what()}});
    }
  }
  void ListenForClients() {
    frontend_->StartListening();
    context_.registry->process_group.set_listening(true);
  }
  void ListenForClientsOnceReady() {
    if (IsReady())
      return ListenForClients();
    ready_timer_.Set(kReadinessCheckInterval);
  }

  bool IsReady() { return readiness_.Ready(SteadyNow(), context_.reducer->ListConfirmed()); }
  // Returns why this process does not accept clients; empty if it accepts them.
  std::string ReadinessFailure() {
    if (!IsReady())
      return "no worker list yet";
    return frontend_->listening() ? "" : "takes no new clients";
  }

  const ComponentContext context_;
  Readiness readiness_{SteadyNow()};
  Timer ready_timer_{context_.base, [this] { ListenForClientsOnceReady(); }};
  Limits limits_;
  int processes_ = 1;
  std::unique_ptr<WorkerClient> workers_;
  DiscoveryWatcher discovery_;
  std::unique_ptr<HttpFrontend> frontend_;
  std::unique_ptr<JobTransfer> transfer_;
  Endpoint listen_;
  EventPtr<evconnlistener> prepared_listener_;  // set between PrepareReload and ApplyReload
};

}  // namespace

std::unique_ptr<Component> MakePlatformComponent(const ComponentContext& context) {
  return std::make_unique<PlatformComponent>(context);
}

}  // namespace aldersill
