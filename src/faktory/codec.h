// The Faktory messages that carry JSON, as typed values: decoded once, encoded once.
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

class BadCommand : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Hello {
  int version = 2;
  std::string wid;   // empty: a producer
  std::string zone;  // these come as labels, "zone:quilicura", "kind:tipo-grande"
  std::string kind;
};
Hello DecodeHello(std::string_view json);

// Class names with the longest time that a client of theirs waits.
using ClassDeadlines = std::unordered_map<std::string, Micros>;

// jobtype is the class; custom.tenant and custom.deadline_ms may be given, the latter up to the class's own.
Job DecodePush(std::string_view json, const ClassDeadlines& classes);
struct Pushed {
  std::string jid;  // empty if even that could not be read
  std::optional<Job> job;
  std::string error;
};
std::vector<Pushed> DecodePushBulk(std::string_view json, const ClassDeadlines& classes);
std::string EncodePushBulkReply(const std::vector<std::pair<std::string, std::string>>& errors);

// What a worker fetches. A job that came by PUSH goes out as it came; one from the platform's frontend is
// told as jid, jobtype, one argument (the body) and, in custom, what its path, key and tenant were.
std::string EncodeFetched(const Job& job, Micros time_left);

struct Ack {
  std::string jid;
  std::string result;  // an extension: what a client of the platform's frontend gets as its answer
};
Ack DecodeAck(std::string_view json);

struct Beat {
  std::string wid;
  std::string state;  // empty, "quiet" or "terminate"
};
Beat DecodeBeat(std::string_view json);

struct Info {
  std::size_t connections = 0;
  std::size_t workers = 0;
  std::uint64_t pushed = 0, done = 0, failed = 0;
  Micros uptime = 0;
};
std::string EncodeInfo(const Info& info);

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_CODEC_H_
