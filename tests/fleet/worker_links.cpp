#include "fleet/worker_links.h"

#include <algorithm>

namespace aldersill::fleet {

using Kind = Observation::Kind;

WorkerLinks::WorkerLinks(const RunContext& context, const WorkerStandIns& workers) : context_(context) {
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher) {
    auto& links = links_.emplace_back();
    for (int worker = 0; worker < context_.table.workers; ++worker)
      links.push_back(MakeLink(dispatcher, worker, workers.port(worker)));
  }
}

std::unique_ptr<Relay> WorkerLinks::MakeLink(int dispatcher, int worker, std::uint16_t port) {
  Relay::Observer observer;
  observer.attempt_started = [this, dispatcher, worker](const Relay::Attempt& attempt) {
    RecordAttempt(dispatcher, worker, attempt);
  };
  observer.attempt_ended = [this](const Relay::Attempt& attempt) {
    context_.recorder.Record(
        {.kind = Kind::kAttemptEnded, .request = attempt.request, .attempt = attempt.number});
  };
  return std::make_unique<Relay>(context_.base, port, &attempts_, std::move(observer));
}

void WorkerLinks::RecordAttempt(int dispatcher, int worker, const Relay::Attempt& attempt) {
  DetectClosed();
  RigClock& clock = context_.recorder.clock();
  context_.recorder.RecordAt(std::min(clock.Now(), clock.FromSteady(attempt.earliest_start)),
                             {.kind = Kind::kAttemptStarted,
                              .request = attempt.request,
                              .dispatcher = dispatcher,
                              .worker = worker,
                              .attempt = attempt.number});
}

void WorkerLinks::ForEach(int dispatcher, int worker, const std::function<void(Relay*)>& action) {
  if (worker != kAllWorkers)
    return action(links_[dispatcher][worker].get());
  for (const auto& link : links_[dispatcher])
    action(link.get());
}

void WorkerLinks::DetectClosed() {
  for (auto& links : links_) {
    for (auto& link : links)
      link->DetectClosed();
  }
}

bool WorkerLinks::HasOpenAttempt() const {
  return std::ranges::any_of(links_, [](const auto& links) {
    return std::ranges::any_of(links, [](const auto& link) { return link->HasOpenAttempt(); });
  });
}

}  // namespace aldersill::fleet
