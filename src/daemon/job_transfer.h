// Transfers in-flight jobs between two processes of one dispatcher during an upgrade, so that the draining
// process can exit before its jobs are done.
//
// A job is transferred in two steps. First, PrepareTransfer of the frontend, and of the worker client if an
// attempt is running, returns the connections' descriptors; the frontend and the worker client keep the
// connections. The job and duplicates of the descriptors are then sent to the other process in one message.
// Second, after the kernel has accepted the message, CompleteTransfer closes the local descriptors without
// sending anything to the client or the worker.
//
// If the message cannot be sent, nothing has changed and the transfer is retried later. If this process is
// killed before CompleteTransfer, only the receiver has the job. If the receiver is killed before it reads
// the message, the kernel closes the descriptors in it, and the client's connection ends without an answer.
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
  // Transfers all jobs to the process that listens at `path`. Jobs that cannot be transferred yet, for
  // example because the request has not been written completely, are retried every kRetryInterval. Logs a
  // warning if no process listens there.
  void TransferTo(const std::string& path);
  // Carries out ResumeAttempt: continues an attempt that was received together with its job.
  void Resume(const ResumeAttempt& resume);

 private:
  struct ReceivedAttempt {
    UniqueDescriptor connection;  // the connection to the worker
    upgrade::RunningAttempt attempt;
  };

  // Transfers every job that can be transferred now, and sets the timer for the next try.
  void TransferAll();
  // Returns false if the job cannot be transferred now; nothing has changed then.
  bool Transfer(const InFlightJob& in_flight);
  // Takes over a job from another process. If the message is invalid, closes the descriptors and logs an
  // error.
  void Receive(std::string_view message, std::vector<UniqueDescriptor> descriptors);
  // Takes over a job with its running attempt. `worker_connection`: the connection of that attempt.
  void ReceiveRunning(const ClientRef& client, upgrade::TransferredJob transferred,
                      UniqueDescriptor worker_connection);

  const ComponentContext context_;
  HttpFrontend* frontend_;
  WorkerClient* workers_;
  std::unique_ptr<upgrade::DescriptorReceiver> receiver_;
  std::unique_ptr<upgrade::DescriptorSender> sender_;
  Timer retry_timer_;
  // By JobReceived::transfer_number. Each entry lasts until the core emits ResumeAttempt with that number.
  std::map<std::uint64_t, ReceivedAttempt> received_attempts_;
  std::uint64_t next_transfer_number_ = 1;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_JOB_TRANSFER_H_
