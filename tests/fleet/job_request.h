// The requests of service clients of all kinds, and functions that send them and read the responses.
#ifndef ALDERSILL_TESTS_FLEET_JOB_REQUEST_H_
#define ALDERSILL_TESTS_FLEET_JOB_REQUEST_H_

#include <event2/http.h>

#include <cstdint>
#include <string>

#include "core/micros.h"
#include "fleet/deployment.h"
#include "net/event_ptr.h"

namespace aldersill::fleet {

struct JobRequest {
  std::string id;
  const JobClass& job_class;
  std::string tenant;
  int deadline_ms = 0;
};

// The range of the deadlines that clients choose for their requests, in milliseconds.
inline constexpr int kMinDeadlineMs = 400, kMaxDeadlineMs = 3'000;
// An answer counts as on time up to this long after the deadline.
inline constexpr Micros kAnswerSlack = 58 * kMillisecond;

// Returns a connection to a dispatcher on 127.0.0.1. It does not retry a failed connect.
EventPtr<evhttp_connection> NewClientConnection(event_base* base, std::uint16_t port);
// Returns the body of a response.
std::string BodyOf(evhttp_request* response);
// Returns the complete text of a request without a body, for clients that send it in pieces.
std::string JobRequestText(const Deployment& deployment, const JobRequest& job);
void AddJobHeaders(evhttp_request* request, const Deployment& deployment, const JobRequest& job);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_JOB_REQUEST_H_
