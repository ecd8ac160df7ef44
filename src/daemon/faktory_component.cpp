// The Faktory protocol: producers' sessions are clients, and workers' sessions are an attempt transport. Off
// unless the operator's file enables it.
#include <memory>
#include <utility>

#include "daemon/components.h"
#include "daemon/descriptor_shares.h"
#include "daemon/listener_log.h"
#include "faktory/frontend.h"
#include "net/event_ptr.h"

namespace aldersill {
namespace {

faktory::FrontendSettings FrontendSettingsFrom(const Config& config) {
  faktory::FrontendSettings settings;
  settings.listen = config.operator_settings.faktory.listen;
  settings.fetch_wait = config.operator_settings.faktory.fetch_wait;
  settings.heartbeat_timeout = config.operator_settings.faktory.worker_heartbeat_timeout;
  settings.reconnect_timeout = config.operator_settings.faktory.worker_reconnect_timeout;
  settings.max_connections = DivideDescriptors(config).faktory_sessions;
  for (const auto& job_class : config.module.classes)
    settings.classes.emplace(job_class.name, job_class.deadline);
  return settings;
}

class FaktoryComponent : public Component, public AttemptTransport, public ResponseSink {
 public:
  explicit FaktoryComponent(const ComponentContext& context) : context_(context) {}

  void Start(const Config& config) override {
    settings_ = config.operator_settings.faktory;
    if (!settings_.enabled)
      return;
    frontend_ = MakeFrontend(config);
    Register();
  }
  void OnAllStarted() override {
    if (frontend_ != nullptr)
      LogListener("faktory", settings_.listen.host, frontend_->port());
  }

  void Start(const StartAttempt& start) override { frontend_->Start(start); }
  void Stop(AttemptId attempt) override { frontend_->Stop(attempt); }
  void Reply(std::uint64_t client, const FinalAnswer& answer) override { frontend_->Reply(client, answer); }

  bool ClientDisconnected(std::uint64_t client) const override {
    return frontend_->ClientDisconnected(client);
  }

  void PrepareReload(const Config& next) override {
    const FaktorySettings& next_settings = next.operator_settings.faktory;
    if (!next_settings.enabled)
      return;
    if (frontend_ == nullptr)
      prepared_frontend_ = MakeFrontend(next);
    else if (!settings_.enabled || !(next_settings.listen == settings_.listen))
      prepared_listener_ = frontend_->Open(next_settings.listen);
  }
  void CancelReload() override {
    prepared_frontend_.reset();
    prepared_listener_.reset();
  }
  void ApplyReload(const Config& config) override {
    settings_ = config.operator_settings.faktory;
    if (prepared_frontend_ != nullptr) {
      frontend_ = std::move(prepared_frontend_);
      Register();
    }
    if (frontend_ == nullptr)
      return;
    if (settings_.enabled)
      frontend_->ApplySettings(FrontendSettingsFrom(config), std::move(prepared_listener_));
    else
      frontend_->Close();
  }

  void BeginDrain() override {
    if (frontend_ != nullptr)
      frontend_->BeginDrain();
  }
  bool IsIdle() const override { return frontend_ == nullptr || frontend_->HasNoProducers(); }

 private:
  std::unique_ptr<faktory::Frontend> MakeFrontend(const Config& config) const {
    return std::make_unique<faktory::Frontend>(context_.base, FrontendSettingsFrom(config), context_.sink,
                                               context_.drain);
  }
  void Register() {
    EffectHandlers& effects = context_.registry->effects;
    effects.SetTransport(WorkerEndpoint::Source::kSession, this);
    effects.SetResponseSink(ClientRef::Frontend::kFaktory, this);
  }

  const ComponentContext context_;
  FaktorySettings settings_;
  // Null until Faktory is first enabled. Kept when Faktory is disabled, so that its sessions end in order.
  std::unique_ptr<faktory::Frontend> frontend_;
  // At most one of these is set, between PrepareReload and ApplyReload: the first frontend, or a new listener
  // for the existing frontend.
  std::unique_ptr<faktory::Frontend> prepared_frontend_;
  EventPtr<evconnlistener> prepared_listener_;
};

}  // namespace

std::unique_ptr<Component> MakeFaktoryComponent(const ComponentContext& context) {
  return std::make_unique<FaktoryComponent>(context);
}

}  // namespace aldersill
