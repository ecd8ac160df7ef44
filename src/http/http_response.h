// The HTTP frontend's responses to service clients: status, headers and text of each kind of answer.
#ifndef ALDERSILL_SRC_HTTP_HTTP_RESPONSE_H_
#define ALDERSILL_SRC_HTTP_HTTP_RESPONSE_H_

#include <string>

#include "core/types.h"

namespace aldersill {

struct HttpResponse {
  int status = 200;
  std::string body;     // plain text
  std::string headers;  // complete lines, in addition to those that every response has
};

// How a response is written on its connection.
struct ResponseOptions {
  bool close = false;      // the connection ends after the response
  bool omit_body = false;  // the request was a HEAD
};

// 200 if the job was served; else the status of the rejection or failure.
HttpResponse ToResponse(const FinalAnswer& answer);
// 503 with Retry-After. The request had no effect and may be sent again.
HttpResponse RejectionResponse(Micros retry_after);
// A complete Retry-After header line, in decimal seconds.
std::string RetryAfterHeader(Micros retry_after);
// The response as it is sent, with status line, Date and Content-Length.
std::string Serialize(const HttpResponse& response, ResponseOptions options);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_HTTP_RESPONSE_H_
