// Encodes the HTTP requests that are sent to workers.
#ifndef ALDERSILL_SRC_HTTP_ATTEMPT_REQUEST_H_
#define ALDERSILL_SRC_HTTP_ATTEMPT_REQUEST_H_

#include <string>

#include "core/types.h"

namespace aldersill {

// The request for an attempt at `job`. `address`: the worker's, "address:port". `time_left`: until the job's
// deadline.
std::string EncodeAttemptRequest(const Job& job, const std::string& address, Micros time_left);
// The request for a health check, which the worker answers with a load report.
std::string EncodeProbeRequest(const std::string& address);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_ATTEMPT_REQUEST_H_
