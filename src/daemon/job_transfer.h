// Hands the jobs that this process has in hand to another of the same dispatcher, and takes those handed to
// it.
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
#include "upgrade/descriptor_channel.h"
#include "upgrade/job_codec.h"

namespace aldersill {

class JobTransfer {
 public:
  JobTransfer(const ComponentContext& context, HttpFrontend* clients, WorkerClient* workers);

  // Where jobs come to this process. Throws std::runtime_error if it cannot listen there.
  void ReceiveAt(const std::string& path);
  // Hands over what can go, now and from time to time until this process ends.
  void SendTo(const std::string& path);
  // Carries on with an attempt that was handed to this process.
  void Resume(const ResumeAttempt& resume);

 private:
  struct Arrived {
    int worker_fd = -1;
    upgrade::RunningAttempt running;
  };

  void SendAll();
  bool SendOne(const InFlightJob& in_flight);
  void Receive(std::string_view message, std::vector<int> descriptors);

  const ComponentContext context_;
  HttpFrontend* clients_;
  WorkerClient* workers_;
  std::unique_ptr<upgrade::DescriptorReceiver> receiver_;
  std::unique_ptr<upgrade::DescriptorSender> sender_;
  Timer again_;
  std::map<std::uint64_t, Arrived> arrived_;  // between the event and its effect
  std::uint64_t next_ = 1;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_JOB_TRANSFER_H_
