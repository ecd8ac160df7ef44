// Decodes and encodes the JSON of Faktory messages as typed values. The decoders throw BadCommand.
#ifndef ALDERSILL_SRC_FAKTORY_CODEC_H_
#define ALDERSILL_SRC_FAKTORY_CODEC_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace aldersill::faktory {

// A command is malformed. what() is the text of the "-ERR" reply.
class BadCommand : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Hello {
  int version = 2;
  std::string wid;   // the worker's name; empty for a producer
  std::string zone;  // from a label such as "zone:quilicura"
  std::string kind;  // from a label such as "kind:tipo-grande"
};
Hello DecodeHello(std::string_view json);

// The deadline of each class, by class name, in microseconds. It is the longest time that a client waits.
using ClassDeadlines = std::unordered_map<std::string, Micros>;

// Decodes the job of a PUSH. Its jobtype is the class; custom.tenant, custom.deadline_ms and custom.slots are
// optional, and the deadline is limited to that of the class.
Job DecodePush(std::string_view json, const ClassDeadlines& classes);

// One job of a PUSHB, or the reason why it is invalid.
struct BulkPushItem {
  std::string jid;
  std::optional<Job> job;  // nullopt if the job is invalid
  std::string error;       // empty if the job is valid
};
// Throws BadCommand only if the message is not a list or a job has no jid.
std::vector<BulkPushItem> DecodePushBulk(std::string_view json, const ClassDeadlines& classes);
// Encodes the errors of a PUSHB, as pairs of jid and text.
std::string EncodePushBulkReply(const std::vector<std::pair<std::string, std::string>>& errors);

// Encodes the reply to a FETCH. A job from a PUSH keeps its JSON. A job from the platform's frontend is
// encoded as jid, jobtype, one argument (the body) and, in custom, its target, tenant and idempotency key. A
// body that is not UTF-8 is encoded in base64, and custom.args_encoding is then "base64".
// Both get queue, reserve_for (seconds) and custom.deadline_ms.
std::string EncodeFetched(const Job& job, Micros time_left);

struct Ack {
  std::string jid;
  // An extension of the protocol: the answer for a client of the platform's frontend.
  std::string result;
};
Ack DecodeAck(std::string_view json);

struct Beat {
  std::string wid;
  std::string state;  // current_state: empty, "quiet" or "terminate"
};
Beat DecodeBeat(std::string_view json);

// The counters that INFO reports.
struct ServerInfo {
  std::size_t connections = 0;
  std::size_t workers = 0;
  std::uint64_t pushed = 0, done = 0, failed = 0;  // jobs of producers
  Micros uptime = 0;
};
std::string EncodeInfo(const ServerInfo& info);

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_CODEC_H_
