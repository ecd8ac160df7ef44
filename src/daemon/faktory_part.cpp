// The Faktory work protocol: producers and workers. Off unless the operator's file turns it on.
#include <utility>

#include "daemon/parts.h"
#include "faktory/front.h"
#include "log/log.h"

namespace aldersill {
namespace {

faktory::FrontSettings ForFaktory(const Config& c) {
  faktory::FrontSettings s;
  s.listen = c.own.faktory.listen;
  s.fetch_wait = c.own.faktory.fetch_wait;
  s.silence = c.own.faktory.worker_silence;
  s.return_within = c.own.faktory.worker_return;
  s.most_connections = Shares(c).sessions;
  for (const auto& job_class : c.module.classes)
    s.classes.emplace(job_class.name, job_class.deadline);
  return s;
}

class FaktoryPart : public Part, public AttemptTransport, public ClientDoor {
 public:
  explicit FaktoryPart(const Surroundings& around) : around_(around) {}

  void Start(const Config& c) override {
    held_ = c.own.faktory;
    if (held_.enabled)
      front_ = Make(c);
    if (front_ != nullptr)
      Offer();
  }
  void Announce() override {
    if (front_ == nullptr)
      return;
    Log(LogLevel::kInfo, "door",
        {{"name", "faktory"}, {"address", held_.listen.host + ":" + std::to_string(front_->port())}});
  }

  void Start(const StartAttempt& e) override { front_->Start(e); }
  void Stop(AttemptId attempt) override { front_->Stop(attempt); }
  void Reply(std::uint64_t client, const FinalAnswer& answer) override { front_->Reply(client, answer); }

  void Prepare(const Config& next) override {
    const FaktorySettings& s = next.own.faktory;
    if (!s.enabled)
      return;
    if (front_ == nullptr) {
      made_ = Make(next);
    } else if (!held_.enabled || !(s.listen == held_.listen)) {
      door_ = front_->Open(s.listen);
    }
  }
  void Abandon() override {
    made_.reset();
    door_.reset();
  }
  void Adopt(const Config& c) override {
    held_ = c.own.faktory;
    if (made_ != nullptr) {
      front_ = std::move(made_);
      Offer();
    }
    if (front_ == nullptr)
      return;
    if (held_.enabled)
      return front_->Adopt(ForFaktory(c), std::move(door_));
    front_->Close();
  }

  void BeginDrain() override {
    if (front_ != nullptr)
      front_->BeginDrain();
  }
  bool Quiet() const override { return front_ == nullptr || front_->Quiet(); }

 private:
  std::unique_ptr<faktory::Front> Make(const Config& c) const {
    return std::make_unique<faktory::Front>(around_.base, ForFaktory(c), around_.sink);
  }
  void Offer() {
    around_.offers->attempt_transports[static_cast<std::size_t>(WorkerEndpoint::Source::kSession)] = this;
    around_.offers->doors[static_cast<std::size_t>(ClientRef::Front::kFaktory)] = this;
  }

  const Surroundings around_;
  FaktorySettings held_;
  std::unique_ptr<faktory::Front> front_;  // none while it has never been on
  // For a configuration that is not yet taken over.
  std::unique_ptr<faktory::Front> made_;
  EventPtr<evconnlistener> door_;
};

}  // namespace

std::unique_ptr<Part> MakeFaktoryPart(const Surroundings& surroundings) {
  return std::make_unique<FaktoryPart>(surroundings);
}

}  // namespace aldersill
