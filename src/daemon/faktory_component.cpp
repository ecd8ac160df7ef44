// The Faktory work protocol: producers and workers. Off unless the operator's file turns it on.
#include <utility>

#include "daemon/components.h"
#include "faktory/frontend.h"
#include "log/log.h"

namespace aldersill {
namespace {

faktory::FrontendSettings ForFaktory(const Config& c) {
  faktory::FrontendSettings s;
  s.listen = c.own.faktory.listen;
  s.fetch_wait = c.own.faktory.fetch_wait;
  s.silence = c.own.faktory.worker_silence;
  s.return_within = c.own.faktory.worker_return;
  s.most_connections = DescriptorShares(c).sessions;
  for (const auto& job_class : c.module.classes)
    s.classes.emplace(job_class.name, job_class.deadline);
  return s;
}

class FaktoryComponent : public Component, public AttemptTransport, public ResponseSink {
 public:
  explicit FaktoryComponent(const ComponentContext& context) : context_(context) {}

  void Start(const Config& c) override {
    held_ = c.own.faktory;
    if (held_.enabled)
      frontend_ = Make(c);
    if (frontend_ != nullptr)
      Offer();
  }
  void OnAllStarted() override {
    if (frontend_ == nullptr)
      return;
    Log(LogLevel::kInfo, "door",
        {{"name", "faktory"}, {"address", held_.listen.host + ":" + std::to_string(frontend_->port())}});
  }

  void Start(const StartAttempt& e) override { frontend_->Start(e); }
  void Stop(AttemptId attempt) override { frontend_->Stop(attempt); }
  void Reply(std::uint64_t client, const FinalAnswer& answer) override { frontend_->Reply(client, answer); }

  void PrepareReload(const Config& next) override {
    const FaktorySettings& s = next.own.faktory;
    if (!s.enabled)
      return;
    if (frontend_ == nullptr) {
      made_ = Make(next);
    } else if (!held_.enabled || !(s.listen == held_.listen)) {
      response_sink_ = frontend_->Open(s.listen);
    }
  }
  void CancelReload() override {
    made_.reset();
    response_sink_.reset();
  }
  void ApplyReload(const Config& c) override {
    held_ = c.own.faktory;
    if (made_ != nullptr) {
      frontend_ = std::move(made_);
      Offer();
    }
    if (frontend_ == nullptr)
      return;
    if (held_.enabled)
      return frontend_->ApplySettings(ForFaktory(c), std::move(response_sink_));
    frontend_->Close();
  }

  void BeginDrain() override {
    if (frontend_ != nullptr)
      frontend_->BeginDrain();
  }
  bool Quiet() const override { return frontend_ == nullptr || frontend_->Quiet(); }

 private:
  std::unique_ptr<faktory::Frontend> Make(const Config& c) const {
    return std::make_unique<faktory::Frontend>(context_.base, ForFaktory(c), context_.sink);
  }
  void Offer() {
    context_.registry->attempt_transports[static_cast<std::size_t>(WorkerEndpoint::Source::kSession)] = this;
    context_.registry->response_sinks[static_cast<std::size_t>(ClientRef::Frontend::kFaktory)] = this;
  }

  const ComponentContext context_;
  FaktorySettings held_;
  std::unique_ptr<faktory::Frontend> frontend_;  // none while it has never been on
  // For a configuration that is not yet taken over.
  std::unique_ptr<faktory::Frontend> made_;
  EventPtr<evconnlistener> response_sink_;
};

}  // namespace

std::unique_ptr<Component> MakeFaktoryComponent(const ComponentContext& context) {
  return std::make_unique<FaktoryComponent>(context);
}

}  // namespace aldersill
