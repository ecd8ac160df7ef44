// Moves jobs in flight between two processes of one dispatcher during an upgrade, so that the draining
// process can end before its jobs are done.
//
// A job moves in two steps. PrepareTransfer of the frontend, and of the worker client for a running attempt,
// gives the connections' descriptors and leaves both in charge. The job and duplicates of the descriptors
// then go to the other process in one message. Only after the kernel has taken the message does
// CompleteTransfer close the local descriptors, with no message to the peers on these connections.
//
// If the message cannot be sent, nothing has changed and the job is tried again later. If this process is
// killed before CompleteTransfer, the receiver alone has the job. If the receiver is killed before it reads
// the message, the kernel closes the descriptors in it: the client sees its connection end without an answer.
#ifndef ALDERSILL_SRC_DAEMON_JOB_TRANSFER_H_
#define ALDERSILL_SRC_DAEMON_JOB_TRANSFER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/component.h"
#include "http/frontend.h"
#include "http/worker_client.h"
#include "net/timer.h"
#include "net/unique_descriptor.h"
#include "upgrade/descriptor_channel.h"
#include "upgrade/job_codec.h"

namespace aldersill {

// Owned by the platform component, whose frontend and worker client must outlive it.
class JobTransfer {
 public:
  JobTransfer(const ComponentContext& context, HttpFrontend* frontend, WorkerClient* workers);

  // Receives jobs at the Unix socket `path`. Throws std::runtime_error if it cannot listen there.
  void Listen(const std::string& path);
  // Transfers jobs to the process that listens at `path`: those that can move now, and periodically what can
  // move later, such as a request that was not yet written completely.
  void TransferTo(const std::string& path);
  // Carries out ResumeAttempt: continues an attempt that was received with its job.
  void Resume(const ResumeAttempt& resume);

 private:
  struct ReceivedAttempt {
    UniqueDescriptor connection;  // to the worker
    upgrade::RunningAttempt attempt;
  };

  void TransferAll();
  // False if the job cannot move now; nothing has changed then.
  bool Transfer(const InFlightJob& in_flight);
  void Receive(std::string_view message, std::vector<UniqueDescriptor> descriptors);
  void ReceiveRunning(const ClientRef& client, upgrade::TransferredJob transferred,
                      UniqueDescriptor worker_connection);

  const ComponentContext context_;
  HttpFrontend* frontend_;
  WorkerClient* workers_;
  std::unique_ptr<upgrade::DescriptorReceiver> receiver_;
  std::unique_ptr<upgrade::DescriptorSender> sender_;
  Timer retry_timer_;
  // By the number in JobReceived, until the core emits ResumeAttempt with the same number.
  std::map<std::uint64_t, ReceivedAttempt> received_attempts_;
  std::uint64_t next_resume_number_ = 1;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_JOB_TRANSFER_H_
