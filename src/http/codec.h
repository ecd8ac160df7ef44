// The platform's messages as small typed values: decoded once, encoded once.
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

// A request of a service client's that is answered with this code, and goes no further.
class BadRequest : public BadMessage {
 public:
  BadRequest(int status, const std::string& what) : BadMessage(what), code(status) {}
  const int code;
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;  // as they came
  std::string body;
};
std::string LowerCase(std::string_view text);
// Spaces and tabs behind a field's value are no part of it (RFC 9112, 5.1); http_parser drops those before
// it.
void TrimTrailingSpace(std::string* value);
// Throws BadRequest. `keyed`: by class, whether its jobs carry a key.
Job DecodeJob(HttpRequest request, const std::unordered_map<std::string, bool>& keyed);

// The value of Srv-Load. Garbage in it is no report: it must not fail the execution it came with.
LoadReport DecodeLoad(std::string_view text);

// One line of an instance's answer.
struct AttemptLine {
  enum class State { kStarted, kRunning, kDone, kFailed, kReturned, kLost } state = State::kDone;
  double share = 0.0;
  std::string result;
  LoadReport load;
};
AttemptLine DecodeAttemptLine(std::string_view line, const std::string& request_id);

// "480m" or "250000u".
Micros DecodeDeadline(std::string_view text);
std::string EncodeDeadline(Micros deadline);

// Req-Extra, "name=value,name=value"; names unknown to us are left alone.
void DecodeExtras(std::string_view text, Job* job);
// What a path's last part tells: hex digits as the number they write, anything else hashed, below 2^53.
std::optional<std::uint64_t> DecodeSubject(std::string_view path, std::string_view job_class);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CODEC_H_
