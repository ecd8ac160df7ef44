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
  for (const JobInHand& in_hand : context_.reducer->JobsInHand())
    sent += SendOne(in_hand);
  if (sent > 0)
    Log(LogLevel::kInfo, "jobs_handed_over", {{"count", sent}});
  again_.Set(kSendAgainEvery);
}

bool JobTransfer::SendOne(const JobInHand& in_hand) {
  const auto client = clients_->Borrow(in_hand.client.number);
  if (!client)
    return false;
  std::vector<int> descriptors{client->fd};
  upgrade::TransferredJob transferred{
      *in_hand.job, in_hand.may_have_run, client->keep_alive, client->head_only, {}};
  transferred.job.time_left = in_hand.time_left;
  if (in_hand.running) {
    auto worker = workers_->Borrow(*in_hand.running);
    if (!worker)
      return false;
    descriptors.push_back(worker->fd);
    transferred.running = {in_hand.worker, std::move(worker->address), std::move(worker->received)};
  }
  if (!sender_->Send(upgrade::EncodeJob(transferred), descriptors))
    return false;
  clients_->Forget(in_hand.client.number);
  if (in_hand.running)
    workers_->Forget(*in_hand.running);
  context_.sink->Tell(JobHandedAway{in_hand.client});
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
      clients_->AdoptHeld({descriptors[0], transferred->keep_alive, transferred->head_only});
  const ClientRef client{ClientRef::Frontend::kHttp, number};
  if (!transferred->running)
    return context_.sink->Tell(RequestTaken{client, std::move(transferred->job)});
  const std::uint64_t resume = next_++;
  JobAdopted adopted{client, std::move(transferred->job), transferred->running->worker,
                     transferred->may_have_run, resume};
  arrived_.emplace(resume, Arrived{descriptors[1], std::move(*transferred->running)});
  context_.sink->Tell(std::move(adopted));
  // One that the core did not take up, as of a class that is not known here, is given up.
  if (const auto left = arrived_.extract(resume); !left.empty())
    close(left.mapped().worker_fd);
}

void JobTransfer::Resume(const ResumeAttempt& resume) {
  auto arrived = arrived_.extract(resume.resume);
  if (arrived.empty())
    return;
  Arrived& a = arrived.mapped();
  workers_->Resume(resume.attempt, resume.job,
                   {a.worker_fd, std::move(a.running.address), std::move(a.running.received)});
}

}  // namespace aldersill
