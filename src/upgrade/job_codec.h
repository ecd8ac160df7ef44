// A job in hand as one process hands it to the next: everything but the connections themselves. Pure.
#ifndef ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_
#define ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace aldersill::upgrade {

// An attempt that a worker has whole.
struct RunningAttempt {
  std::string worker;
  std::string address;
  std::string received;  // of its answer so far
};

struct TransferredJob {
  Job job;  // its time_left counts from the hand-over
  bool may_have_run = false;
  bool keep_alive = false;  // the client's connection, after the answer
  bool head_only = false;
  std::optional<RunningAttempt> running;
};

std::string EncodeJob(const TransferredJob& job);
// Nothing for what no process of ours has written.
std::optional<TransferredJob> DecodeJob(std::string_view bytes);

}  // namespace aldersill::upgrade

#endif  // ALDERSILL_SRC_UPGRADE_JOB_CODEC_H_
