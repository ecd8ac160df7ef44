// Decodes and encodes the platform's HTTP messages: requests of service clients, and what workers answer.
#ifndef ALDERSILL_SRC_HTTP_CODEC_H_
#define ALDERSILL_SRC_HTTP_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.h"
#include "net/json_message.h"

namespace aldersill {

// A client's request that is answered with this HTTP status and not dispatched.
class BadRequest : public BadMessage {
 public:
  BadRequest(int status, const std::string& what) : BadMessage(what), code(status) {}
  const int code;
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;  // in the order and spelling of the request
  std::string body;
};

std::string LowerCase(std::string_view text);
// Spaces and tabs behind a field's value are not part of it (RFC 9112, 5.1); http_parser drops only those
// before it.
void TrimTrailingSpace(std::string* value);

// `requires_idempotency_key`: by job class, for all classes there are. Throws BadMessage; its text says what
// is wrong.
Job DecodeJob(HttpRequest request, const std::unordered_map<std::string, bool>& requires_idempotency_key);

// The value of Srv-Load, or a health check's body. Malformed text gives an empty report: it must not fail the
// attempt that it came with.
LoadReport DecodeLoad(std::string_view text);

// One line of a worker's response to an attempt.
struct AttemptLine {
  enum class State { kStarted, kRunning, kDone, kFailed, kReturned, kLost } state = State::kDone;
  double share = 0.0;  // of the work that is done, while it runs
  std::string result;
  LoadReport load;
};
// Throws BadMessage, also if the line answers another request.
AttemptLine DecodeAttemptLine(std::string_view line, const std::string& request_id);

// "480m" (milliseconds) or "250000u" (microseconds). Throws BadMessage.
Micros DecodeDeadline(std::string_view text);
std::string EncodeDeadline(Micros deadline);

// Req-Extra, "name=value,name=value"; unknown names are ignored. Throws BadMessage.
void DecodeExtras(std::string_view text, Job* job);
// The subject that the last segment of a path names: hexadecimal digits as their number, any other text
// hashed; below 2^53. Nothing if the path has no such segment.
std::optional<std::uint64_t> DecodeSubject(std::string_view path, std::string_view job_class);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CODEC_H_
