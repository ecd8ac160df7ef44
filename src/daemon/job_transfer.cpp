#include "daemon/job_transfer.h"

#include <unistd.h>

#include <utility>

#include "log/log.h"

namespace aldersill {
namespace {

// What could not go at once, as a request that was not written whole yet.
constexpr Micros kSendAgainEvery = 100 * kMillisecond;

}  // namespace

JobTransfer::JobTransfer(const ComponentContext& context, HttpFrontend* clients, WorkerClient* workers)
    : context_(context), clients_(clients), workers_(workers), again_(context.base, [this] { SendAll(); }) {}

void JobTransfer::ReceiveAt(const std::string& path) {
  receiver_ = std::make_unique<upgrade::DescriptorReceiver>(
      context_.base, path, [this](std::string_view message, std::vector<int> descriptors) {
        Receive(message, std::move(descriptors));
      });
}

void JobTransfer::SendTo(const std::string& path) {
  sender_ = std::make_unique<upgrade::DescriptorSender>(path);
  if (!sender_->connected())
    return Log(LogLevel::kWarning, "jobs_not_handed_over", {{"to", path}});
  SendAll();
}

void JobTransfer::SendAll() {
  std::int64_t sent = 0;
  for (const InFlightJob& in_flight : context_.reducer->InFlightJobs())
    sent += SendOne(in_flight);
  if (sent > 0)
    Log(LogLevel::kInfo, "jobs_handed_over", {{"count", sent}});
  again_.Set(kSendAgainEvery);
}

bool JobTransfer::SendOne(const InFlightJob& in_flight) {
  const auto client = clients_->PrepareTransfer(in_flight.client.number);
  if (!client)
    return false;
  std::vector<int> descriptors{client->fd};
  upgrade::TransferredJob transferred{
      *in_flight.job, in_flight.may_have_run, client->keep_alive, client->head_only, {}};
  transferred.job.time_left = in_flight.time_left;
  if (in_flight.running) {
    auto worker = workers_->PrepareTransfer(*in_flight.running);
    if (!worker)
      return false;
    descriptors.push_back(worker->fd);
    transferred.running = {in_flight.worker, std::move(worker->address), std::move(worker->received)};
  }
  if (!sender_->Send(upgrade::EncodeJob(transferred), descriptors))
    return false;
  clients_->CompleteTransfer(in_flight.client.number);
  if (in_flight.running)
    workers_->CompleteTransfer(*in_flight.running);
  context_.sink->Post(JobTransferred{in_flight.client});
  return true;
}

void JobTransfer::Receive(std::string_view message, std::vector<int> descriptors) {
  auto transferred = upgrade::DecodeJob(message);
  const std::size_t wanted = transferred && transferred->running ? 2 : 1;
  if (!transferred || descriptors.size() != wanted) {
    Log(LogLevel::kError, "job_handed_over_unreadable", {{"bytes", message.size()}});
    for (const int fd : descriptors)
      close(fd);
    return;
  }
  const std::uint64_t number =
      clients_->ReceiveTransfer({descriptors[0], transferred->keep_alive, transferred->head_only});
  const ClientRef client{ClientRef::Frontend::kHttp, number};
  if (!transferred->running)
    return context_.sink->Post(RequestTaken{client, std::move(transferred->job)});
  const std::uint64_t resume = next_++;
  JobReceived adopted{client, std::move(transferred->job), transferred->running->worker,
                      transferred->may_have_run, resume};
  arrived_.emplace(resume, Arrived{descriptors[1], std::move(*transferred->running)});
  context_.sink->Post(std::move(adopted));
  // One that the core did not take up, as of a class that is not known here, is given up.
  if (const auto left = arrived_.extract(resume); !left.empty())
    close(left.mapped().worker_fd);
}

void JobTransfer::Resume(const ResumeAttempt& resume) {
  auto arrived = arrived_.extract(resume.resume);
  if (arrived.empty())
    return;
  Arrived& a = arrived.mapped();
  workers_->ReceiveTransfer(resume.attempt, resume.job,
                            {a.worker_fd, std::move(a.running.address), std::move(a.running.received)});
}

}  // namespace aldersill
