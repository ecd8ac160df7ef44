#include "fleet/job_request.h"

namespace aldersill::fleet {
namespace {

constexpr int kClientTimeoutSeconds = 60;
constexpr int kCostPerMeanMs = 500;  // of the sum of the shortest and the longest time

}  // namespace

EventPtr<evhttp_connection> NewClientConnection(event_base* base, std::uint16_t port) {
  EventPtr<evhttp_connection> connection(evhttp_connection_base_new(base, nullptr, "127.0.0.1", port));
  evhttp_connection_set_retries(connection.get(), 0);
  evhttp_connection_set_timeout(connection.get(), kClientTimeoutSeconds);
  return connection;
}

std::string BodyOf(evhttp_request* response) {
  evbuffer* body = evhttp_request_get_input_buffer(response);
  std::string text(evbuffer_get_length(body), '\0');
  evbuffer_copyout(body, text.data(), text.size());
  return text;
}

void AddJobHeaders(evhttp_request* request, const Deployment& deployment, const JobRequest& job) {
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", "origin.svc");
  evhttp_add_header(headers, "Req-Id", job.id.c_str());
  evhttp_add_header(headers, "Req-Kind", job.job_class.name.c_str());
  evhttp_add_header(headers, "Req-Owner", job.tenant.c_str());
  evhttp_add_header(headers, "Req-Deadline", (std::to_string(job.deadline_ms) + "m").c_str());
  if (job.job_class.has_idempotency_key)
    evhttp_add_header(headers, "Idempotency-Key", job.id.c_str());
  if (!deployment.clients_report_cost)
    return;
  const int cost = (job.job_class.min_ms + job.job_class.max_ms) * kCostPerMeanMs;
  evhttp_add_header(headers, "Req-Cost", std::to_string(cost).c_str());
  evhttp_add_header(headers, "Req-Extra", "slots=1,memory=0.6");
}

}  // namespace aldersill::fleet
