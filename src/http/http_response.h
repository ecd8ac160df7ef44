// The frontend's responses to service clients.
#ifndef ALDERSILL_SRC_HTTP_HTTP_RESPONSE_H_
#define ALDERSILL_SRC_HTTP_HTTP_RESPONSE_H_

#include <string>

#include "core/types.h"

namespace aldersill {

struct HttpResponse {
  int status = 200;
  std::string body;     // plain text
  std::string headers;  // complete lines, beside those that each response has
};

// How a response is written on its connection.
struct ResponseOptions {
  bool close = false;      // the connection ends with it
  bool omit_body = false;  // the request was a HEAD
};

HttpResponse ToResponse(const FinalAnswer& answer);
// 503 with Retry-After: the request had no effect and may be sent again.
HttpResponse RejectionResponse(Micros retry_after);
// A Retry-After header line.
std::string RetryAfterHeader(Micros retry_after);
std::string Serialize(const HttpResponse& response, ResponseOptions options);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_HTTP_RESPONSE_H_
