#include "daemon/job_transfer.h"

#include <utility>

#include "log/log.h"

namespace aldersill {
namespace {

constexpr Micros kRetryInterval = 100 * kMillisecond;

// Returns the number of descriptors that are sent with the job: the client's connection, and the worker's
// connection if an attempt is running.
std::size_t DescriptorCount(const upgrade::TransferredJob& job) { return job.running ? 2 : 1; }

}  // namespace

JobTransfer::JobTransfer(const ComponentContext& context, HttpFrontend* frontend, WorkerClient* workers)
    : context_(context),
      frontend_(frontend),
      workers_(workers),
      retry_timer_(context.base, [this] { TransferAll(); }) {}

void JobTransfer::Listen(const std::string& path) {
  receiver_ = std::make_unique<upgrade::DescriptorReceiver>(
      context_.base, path, [this](std::string_view message, std::vector<UniqueDescriptor> descriptors) {
        Receive(message, std::move(descriptors));
      });
}

void JobTransfer::TransferTo(const std::string& path) {
  sender_ = std::make_unique<upgrade::DescriptorSender>(path);
  if (!sender_->connected())
    return Log(LogLevel::kWarning, "job_transfer_failed", {{"to", path}});
  TransferAll();
}

void JobTransfer::TransferAll() {
  std::int64_t transferred = 0;
  for (const InFlightJob& in_flight : context_.reducer->InFlightJobs())
    transferred += Transfer(in_flight) ? 1 : 0;
  if (transferred > 0)
    Log(LogLevel::kInfo, "jobs_transferred", {{"count", transferred}});
  retry_timer_.Set(kRetryInterval);
}

bool JobTransfer::Transfer(const InFlightJob& in_flight) {
  const auto client = frontend_->PrepareTransfer(in_flight.client.number);
  if (!client)
    return false;
  std::vector<int> descriptors{client->fd};
  upgrade::TransferredJob transferred{.job = *in_flight.job,
                                      .may_have_run = in_flight.may_have_run,
                                      .keep_alive = client->keep_alive,
                                      .head_only = client->head_only,
                                      .running = {}};
  transferred.job.time_left = in_flight.time_left;
  // From now on both processes hold the id, so that it is never free in between.
  context_.registry->process_group.lock_job_id(in_flight.job->id, upgrade::JobIdLocks::Mode::kShared);
  if (in_flight.running) {
    auto worker = workers_->PrepareTransfer(*in_flight.running);
    if (!worker)
      return false;
    descriptors.push_back(worker->fd);
    transferred.running = {.worker = in_flight.worker,
                           .address = std::move(worker->address),
                           .received = std::move(worker->received)};
  }
  if (!sender_->Send(upgrade::EncodeJob(transferred), descriptors))
    return false;
  frontend_->CompleteTransfer(in_flight.client.number);
  if (in_flight.running)
    workers_->CompleteTransfer(*in_flight.running);
  context_.sink->Post(JobTransferred{in_flight.client});
  return true;
}

void JobTransfer::Receive(std::string_view message, std::vector<UniqueDescriptor> descriptors) {
  auto transferred = upgrade::DecodeJob(message);
  if (!transferred || descriptors.size() != DescriptorCount(*transferred))
    return Log(LogLevel::kError, "transferred_job_unreadable", {{"bytes", message.size()}});
  const std::uint64_t number = frontend_->ReceiveTransfer({.fd = descriptors[0].Release(),
                                                           .keep_alive = transferred->keep_alive,
                                                           .head_only = transferred->head_only});
  const ClientRef client{ClientRef::Frontend::kHttp, number};
  if (transferred->running)
    ReceiveRunning(client, std::move(*transferred), std::move(descriptors[1]));
  else
    context_.sink->Post(
        RequestReceived{.client = client, .job = std::move(transferred->job), .transferred = true});
}

void JobTransfer::ReceiveRunning(const ClientRef& client, upgrade::TransferredJob transferred,
                                 UniqueDescriptor worker_connection) {
  context_.registry->process_group.lock_job_id(transferred.job.id, upgrade::JobIdLocks::Mode::kShared);
  const std::uint64_t number = next_transfer_number_++;
  JobReceived received{.client = client,
                       .job = std::move(transferred.job),
                       .worker = transferred.running->worker,
                       .may_have_run = transferred.may_have_run,
                       .transfer_number = number};
  received_attempts_.emplace(number, ReceivedAttempt{.connection = std::move(worker_connection),
                                                     .attempt = std::move(*transferred.running)});
  context_.sink->Post(std::move(received));
  // Post has called Resume, which takes the attempt, unless the core does not resume the job, for example
  // because this process does not know its class.
  received_attempts_.erase(number);
}

void JobTransfer::Resume(const ResumeAttempt& resume) {
  auto found = received_attempts_.extract(resume.transfer_number);
  if (found.empty())
    return;
  ReceivedAttempt& received = found.mapped();
  workers_->ReceiveTransfer(resume.attempt, resume.job,
                            {.fd = received.connection.Release(),
                             .address = std::move(received.attempt.address),
                             .received = std::move(received.attempt.received)});
}

}  // namespace aldersill
