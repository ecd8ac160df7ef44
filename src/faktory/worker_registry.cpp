#include "faktory/worker_registry.h"

#include <algorithm>
#include <utility>

#include "faktory/resp.h"
#include "log/log.h"
#include "net/steady_clock.h"

namespace aldersill::faktory {
namespace {

// Limits the memory used for a worker that never acknowledges.
constexpr std::size_t kMaxAbandoned = 10'000;
// Distinguishes a wid from the ids that discovery assigns.
constexpr char kNamePrefix[] = "faktory:";

}  // namespace

WorkerRegistry::WorkerRegistry(event_base* base, EventSink* sink,
                               std::function<void(const std::string&)> close_sessions)
    : base_(base), sink_(sink), close_sessions_(std::move(close_sessions)) {}

void WorkerRegistry::Connect(Session* session, const Hello& hello) {
  const std::string name = kNamePrefix + hello.wid;
  session->BecomeWorker(name);
  Worker& worker = workers_[name];
  if (worker.timeout == nullptr)
    InitializeWorker(name, hello, &worker);
  worker.timeout->Set(timeouts_.heartbeat);
  if (worker.sessions++ > 0)
    return;
  worker.endpoint.state = worker.is_quiet ? WorkerEndpoint::State::kDraining : WorkerEndpoint::State::kReady;
  PostEndpoint(worker);
}

void WorkerRegistry::InitializeWorker(const std::string& name, const Hello& hello, Worker* worker) {
  // `started` stays 0, a time long past, because a worker that gets only the jobs that it fetches needs no
  // slow start.
  worker->endpoint.name = name;
  worker->endpoint.address = name;
  worker->endpoint.zone = hello.zone;
  worker->endpoint.kind = hello.kind;
  worker->timeout = std::make_unique<Timer>(base_, [this, name] {
    const bool is_connected = workers_.at(name).sessions > 0;
    Log(LogLevel::kWarning, "faktory_worker_lost",
        {{"worker", name}, {"why", is_connected ? "no heartbeat" : "not connected"}});
    RemoveWorker(name);
  });
}

void WorkerRegistry::Disconnect(Session* session) {
  CancelFetch(session);
  const std::string name = session->worker();
  Worker& worker = workers_.at(name);
  if (!session->ending() && worker.sessions == 1)
    return RemoveWorker(name);
  --worker.sessions;
  // Connection pools of client libraries close idle connections while their jobs run, acknowledge over any
  // connection, and may open a new connection shortly after they have closed the last one.
  const std::vector<AttemptId> detached = DetachInFlight(&worker, session);
  if (worker.sessions == 0) {
    worker.timeout->Set(timeouts_.reconnect);
    worker.endpoint.state = WorkerEndpoint::State::kDraining;
    PostEndpoint(worker);
  }
  if (session->ending())
    return;
  for (const AttemptId attempt : detached) {
    std::erase_if(worker.in_flight, [attempt](const auto& job) { return job.second.attempt == attempt; });
    EndAttempt(attempt, Outcome::kLost);
  }
}

std::vector<AttemptId> WorkerRegistry::DetachInFlight(Worker* worker, const Session* session) {
  std::vector<AttemptId> detached;
  for (auto& [jid, job] : worker->in_flight) {
    if (job.session != session)
      continue;
    job.session = nullptr;
    detached.push_back(job.attempt);
  }
  return detached;
}

void WorkerRegistry::RecordHeartbeat(const std::string& name) {
  workers_.at(name).timeout->Set(timeouts_.heartbeat);
}

void WorkerRegistry::ParkFetch(Session* session) {
  Worker& worker = Find(*session);
  if (const std::optional<UnsentAttempt> next = TakeUnsent(&worker))
    return Deliver(&worker, session, *next);
  worker.parked_fetches.push_back(session);
  if (worker.endpoint.state == WorkerEndpoint::State::kReady)
    PostFreeSlots(worker);
}

// Drops attempts whose time is over. The core's timers, which may fire late, end them.
std::optional<WorkerRegistry::UnsentAttempt> WorkerRegistry::TakeUnsent(Worker* worker) {
  while (!worker->unsent.empty()) {
    UnsentAttempt next = std::move(worker->unsent.front());
    worker->unsent.pop_front();
    if (next.give_up_at > SteadyNow())
      return next;
  }
  return std::nullopt;
}

void WorkerRegistry::CancelFetch(Session* session) {
  if (session->has_parked_fetch())
    std::erase(Find(*session).parked_fetches, session);
}

std::string WorkerRegistry::Acknowledge(const std::string& name, const Ack& ack, Outcome outcome) {
  Worker& worker = workers_.at(name);
  // An abandoned attempt with the same jid was fetched earlier, so its ACK comes first.
  if (const auto abandoned = worker.abandoned.find(ack.jid); abandoned != worker.abandoned.end()) {
    const AttemptId attempt = abandoned->second;
    worker.abandoned.erase(abandoned);
    sink_->Post(AbandonedAttemptEnded{.attempt = attempt, .acknowledged = true});
    return SimpleString("OK");
  }
  const auto job = worker.in_flight.find(ack.jid);
  if (job == worker.in_flight.end())
    return Error("ERR", "unknown job " + ack.jid);
  const AttemptId attempt = job->second.attempt;
  worker.in_flight.erase(job);
  attempts_.erase(attempt);
  sink_->Post(AttemptEnded{attempt, outcome, ack.result, {}});
  return SimpleString("OK");
}

std::string WorkerRegistry::HandleBeat(const std::string& name, const Beat& beat) {
  if (kNamePrefix + beat.wid != name)
    return Error("ERR", "BEAT of another wid");
  Worker& worker = workers_.at(name);
  if (beat.state.empty() || std::exchange(worker.is_quiet, true))
    return SimpleString("OK");
  worker.endpoint.state = WorkerEndpoint::State::kDraining;
  PostEndpoint(worker);
  return SimpleString("OK");
}

void WorkerRegistry::Start(const StartAttempt& start) {
  const auto found = workers_.find(start.worker);
  if (found == workers_.end()) {
    sink_->Post(AttemptEnded{start.attempt, Outcome::kConnectFailed, "", {}});
    return;
  }
  Worker& worker = found->second;
  attempts_[start.attempt] = start.worker;
  UnsentAttempt unsent{.start = start, .give_up_at = SteadyNow() + start.time_left};
  if (worker.parked_fetches.empty()) {
    worker.unsent.push_back(std::move(unsent));  // The core limits the waiting time.
    return;
  }
  Session* session = worker.parked_fetches.front();
  worker.parked_fetches.pop_front();
  Deliver(&worker, session, unsent);
}

void WorkerRegistry::Deliver(Worker* worker, Session* session, const UnsentAttempt& unsent) {
  const StartAttempt& start = unsent.start;
  worker->in_flight.emplace(start.job->id, InFlightJob{start.attempt, session});
  session->DeliverFetch(BulkString(EncodeFetched(*start.job, unsent.give_up_at - SteadyNow())));
  sink_->Post(AttemptSent{start.attempt});
}

void WorkerRegistry::Stop(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return;
  const auto found_worker = workers_.find(found->second);
  attempts_.erase(found);
  if (found_worker == workers_.end())
    return;  // The worker is lost with all its attempts.
  Worker& worker = found_worker->second;
  std::erase_if(worker.unsent, [attempt](const auto& unsent) { return unsent.start.attempt == attempt; });
  const auto job = std::find_if(worker.in_flight.begin(), worker.in_flight.end(),
                                [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (job == worker.in_flight.end())
    return;
  // The protocol cannot tell a worker to stop a job, so its ACK still arrives. Keeping the attempt
  // distinguishes that ACK from one for a job that the worker never had.
  if (worker.abandoned.size() >= kMaxAbandoned) {
    PostAbandonedEnded(worker);
    worker.abandoned.clear();
  }
  worker.abandoned.emplace(job->first, attempt);
  worker.in_flight.erase(job);
}

void WorkerRegistry::RemoveWorker(const std::string& name) {
  const auto found = workers_.find(name);
  Worker worker = std::move(found->second);
  workers_.erase(found);
  close_sessions_(name);
  std::vector<AttemptId> in_flight;
  for (const auto& [jid, job] : worker.in_flight)
    in_flight.push_back(job.attempt);
  // The endpoint update is posted first, so that the core does not send the lost jobs to this worker again.
  worker.endpoint.state = WorkerEndpoint::State::kGone;
  PostEndpoint(worker);
  PostAbandonedEnded(worker);
  for (const UnsentAttempt& unsent : worker.unsent)
    EndAttempt(unsent.start.attempt, Outcome::kConnectFailed);
  for (const AttemptId attempt : in_flight)
    EndAttempt(attempt, Outcome::kLost);
}

void WorkerRegistry::PostEndpoint(const Worker& worker) {
  sink_->Post(EndpointListUpdate{
      EndpointListUpdate::Form::kDelta, WorkerEndpoint::Source::kSession, {worker.endpoint}});
}

void WorkerRegistry::PostFreeSlots(const Worker& worker) {
  LoadReport report;
  report.free_slots =
      static_cast<double>(worker.parked_fetches.size()) - static_cast<double>(worker.unsent.size());
  sink_->Post(ProbeCompleted{worker.endpoint.name, Outcome::kServed, 0, report});
}

void WorkerRegistry::PostAbandonedEnded(const Worker& worker) {
  for (const auto& [jid, attempt] : worker.abandoned)
    sink_->Post(AbandonedAttemptEnded{attempt});
}

void WorkerRegistry::EndAttempt(AttemptId attempt, Outcome outcome) {
  attempts_.erase(attempt);
  sink_->Post(AttemptEnded{attempt, outcome, "", {}});
}

}  // namespace aldersill::faktory
