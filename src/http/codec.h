// Decodes and encodes the platform's HTTP messages: requests of service clients and answers of workers.
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

// Thrown for a client's request that is not dispatched. The client gets this HTTP status and the text.
class BadRequest : public BadMessage {
 public:
  BadRequest(int status, const std::string& what) : BadMessage(what), http_status(status) {}
  const int http_status;
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;  // in the order and spelling of the request
  std::string body;
};

// Converts ASCII letters to lower case.
std::string LowerCase(std::string_view text);
// Removes spaces and tabs after a field's value, which are not part of it (RFC 9112, section 5.1).
// http_parser removes only those before the value.
void TrimTrailingSpace(std::string* value);

// Decodes a client's request. `requires_idempotency_key` has one entry for each configured job class. Throws
// BadMessage whose text says what is wrong.
Job DecodeJob(HttpRequest request, const std::unordered_map<std::string, bool>& requires_idempotency_key);

// Decodes the value of Srv-Load or the body of a health check's response. Malformed text gives an empty
// report, as it must not fail the attempt that it came with.
LoadReport DecodeLoad(std::string_view text);

// One line of a worker's response to an attempt.
struct AttemptLine {
  enum class State { kStarted, kRunning, kDone, kFailed, kReturned, kLost } state = State::kDone;
  double share = 0.0;  // only if kRunning: the share of the job's work that is done
  std::string result;
  LoadReport load;
};
// Throws BadMessage if the line is malformed or answers another request than `request_id`.
AttemptLine DecodeAttemptLine(std::string_view line, const std::string& request_id);

// Decodes "480m" (milliseconds) or "250000u" (microseconds). Throws BadMessage if the text has another form.
Micros DecodeDeadline(std::string_view text);
// Encodes a deadline in microseconds; a negative one gives "0u".
std::string EncodeDeadline(Micros deadline);

// Decodes Req-Extra, "name=value,name=value", into the job's fields. Unknown names are ignored. Throws
// BadMessage if the text has another form or a value is out of range.
void DecodeExtras(std::string_view text, Job* job);
// The number, below 2^53, of the subject that the last segment of a path names. Hexadecimal digits give their
// value, any other text gives a hash. Nothing if the last segment is empty or the job class.
std::optional<std::uint64_t> DecodeSubject(std::string_view path, std::string_view job_class);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CODEC_H_
