// The message with which one process transfers a job to the next. It holds everything except the connections,
// which are sent with it as descriptors (descriptor_channel.h). It is encoded as one MessagePack map with the
// format's name. Does no I/O.
#ifndef ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_
#define ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace aldersill::upgrade {

// An attempt whose request has been written completely to its worker.
struct RunningAttempt {
  std::string worker;    // the worker's id
  std::string address;   // the worker's address:port
  std::string received;  // the bytes of the response that have arrived so far
};

struct TransferredJob {
  Job job;                                // its time_left counts from the time of the transfer
  bool may_have_run = false;              // whether an attempt before `running` may have run the job
  bool keep_alive = false;                // whether the client's connection stays open after the response
  bool head_only = false;                 // whether the response is sent without its body
  std::optional<RunningAttempt> running;  // none if no attempt has been made yet
};

std::string EncodeJob(const TransferredJob& transferred);
// Returns nothing if `bytes` is incomplete or in another format.
std::optional<TransferredJob> DecodeJob(std::string_view bytes);

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_
