// The headers of a service client's request.
#ifndef ALDERSILL_TESTS_FLEET_JOB_REQUEST_H_
#define ALDERSILL_TESTS_FLEET_JOB_REQUEST_H_

#include <event2/http.h>

#include <string>

#include "fleet/deployment.h"

namespace aldersill::fleet {

struct JobRequest {
  std::string id;
  const JobClass& job_class;
  std::string tenant;
  int deadline_ms = 0;
};

void AddJobHeaders(evhttp_request* request, const Deployment& deployment, const JobRequest& job);

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_JOB_REQUEST_H_
