#include "http/http_response.h"

#include <ctime>
#include <variant>

#include "core/text.h"

namespace aldersill {
namespace {

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Request Entity Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Bad Request";
  }
}

std::string DateHeaderValue() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[64];
  return {text, std::strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &parts)};
}

HttpResponse FailureResponse(Failure::Reason reason) {
  switch (reason) {
    case Failure::Reason::kTooLate:
      return {.status = 504, .body = "no answer in time: it may have run\n", .headers = ""};
    case Failure::Reason::kRepeat:
      return {.status = 409, .body = "a repeat that its class forbids\n", .headers = ""};
    case Failure::Reason::kFailed:
      break;
  }
  return {.status = 502, .body = "failed: it may have run\n", .headers = ""};
}

}  // namespace

std::string RetryAfterHeader(Micros retry_after) {
  return "Retry-After: " + DecimalSeconds(retry_after) + "\r\n";
}

HttpResponse RejectionResponse(Micros retry_after) {
  return {
      .status = 503, .body = "refused: trying again is harmless\n", .headers = RetryAfterHeader(retry_after)};
}

HttpResponse ToResponse(const FinalAnswer& answer) {
  if (const auto* served = std::get_if<Served>(&answer))
    return {.status = 200, .body = served->result, .headers = ""};
  if (const auto* rejection = std::get_if<Rejection>(&answer))
    return RejectionResponse(rejection->retry_after);
  return FailureResponse(std::get<Failure>(answer).reason);
}

std::string Serialize(const HttpResponse& response, ResponseOptions options) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + " " + ReasonPhrase(response.status) + "\r\n";
  if (options.close)
    text += "Connection: close\r\n";
  text += response.headers;
  text += "Content-Type: text/plain; charset=utf-8\r\nDate: " + DateHeaderValue() +
          "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
  if (!options.omit_body)
    text += response.body;
  return text;
}

}  // namespace aldersill
