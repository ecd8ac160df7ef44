// What service clients of all kinds send and read.
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

// How long clients wait for an answer, in milliseconds.
inline constexpr int kMinDeadlineMs = 400, kMaxDeadlineMs = 3'000;
// An answer may come this long after the deadline.
inline constexpr Micros kAnswerSlack = 58 * kMillisecond;

// A connection to a dispatcher on this machine, that is not retried.
EventPtr<evhttp_connection> NewClientConnection(event_base* base, std::uint16_t port);
// The body of a response.
std::string BodyOf(evhttp_request* response);
// The complete request, without a body, for clients that send it in pieces.
std::string JobRequestText(const Deployment& deployment, const JobRequest& job);
void AddJobHeaders(evhttp_request* request, const Deployment& deployment, const JobRequest& job);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_JOB_REQUEST_H_
