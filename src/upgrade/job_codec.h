// The message in which one process transfers a job to the next: everything but the connections themselves,
// which travel beside it as descriptors (descriptor_channel.h). MessagePack of one map that names its format.
// Pure.
#ifndef ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_
#define ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace aldersill::upgrade {

// An attempt whose request was written completely to its worker.
struct RunningAttempt {
  std::string worker;    // its id
  std::string address;   // address:port
  std::string received;  // the bytes of the response so far
};

struct TransferredJob {
  Job job;                                // its time_left counts from the transfer on
  bool may_have_run = false;              // by an attempt before the running one
  bool keep_alive = false;                // the client's connection stays open after the response
  bool head_only = false;                 // the response goes without its body
  std::optional<RunningAttempt> running;  // nothing where no attempt was made yet
};

std::string EncodeJob(const TransferredJob& transferred);
// Nothing if `bytes` are incomplete or in another format.
std::optional<TransferredJob> DecodeJob(std::string_view bytes);

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_
