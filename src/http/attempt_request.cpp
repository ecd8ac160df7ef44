#include "http/attempt_request.h"

#include <string_view>

#include "http/codec.h"

namespace aldersill {
namespace {

// The value is sent as it was received, except for CR and LF, which would end the header line.
std::string HeaderLine(std::string_view name, std::string_view value) {
  std::string line = std::string(name) + ": ";
  for (const char character : value) {
    if (character != '\r' && character != '\n')
      line.push_back(character);
  }
  return line + "\r\n";
}

}  // namespace

std::string EncodeAttemptRequest(const Job& job, const std::string& address, Micros time_left) {
  std::string text = job.method + " " + job.target + " HTTP/1.1\r\n" + HeaderLine("Host", address) +
                     HeaderLine("Req-Id", job.id) + HeaderLine("Req-Kind", job.job_class) +
                     HeaderLine("Req-Deadline", EncodeDeadline(time_left)) + "Connection: close\r\n";
  if (!job.tenant.empty())
    text += HeaderLine("Req-Owner", job.tenant);
  if (!job.idempotency_key.empty())
    text += HeaderLine("Idempotency-Key", job.idempotency_key);
  if (!job.content_type.empty())
    text += HeaderLine("Content-Type", job.content_type);
  return text + "Content-Length: " + std::to_string(job.body.size()) + "\r\n\r\n" + job.body;
}

std::string EncodeProbeRequest(const std::string& address) {
  return "GET /-/load HTTP/1.1\r\n" + HeaderLine("Host", address) + "Connection: close\r\n\r\n";
}

}  // namespace aldersill
