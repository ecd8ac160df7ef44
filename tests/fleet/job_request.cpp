#include "fleet/job_request.h"

#include <utility>
#include <vector>

namespace aldersill::fleet {
namespace {

constexpr int kClientTimeoutSeconds = 60;
constexpr int kHalfCostPerMs = 500;  // the cost is 1,000 per millisecond of the mean run time

using Headers = std::vector<std::pair<std::string, std::string>>;

Headers HeadersOf(const Deployment& deployment, const JobRequest& job) {
  Headers headers = {{"Host", "origin.svc"},
                     {"Req-Id", job.id},
                     {"Req-Kind", job.job_class.name},
                     {"Req-Owner", job.tenant},
                     {"Req-Deadline", std::to_string(job.deadline_ms) + "m"}};
  if (job.job_class.has_idempotency_key)
    headers.emplace_back("Idempotency-Key", job.id);
  if (!deployment.clients_report_cost)
    return headers;
  const int cost = (job.job_class.min_ms + job.job_class.max_ms) * kHalfCostPerMs;
  headers.emplace_back("Req-Cost", std::to_string(cost));
  headers.emplace_back("Req-Extra", "slots=1,memory=0.6");
  return headers;
}

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
  for (const auto& [name, value] : HeadersOf(deployment, job))
    evhttp_add_header(headers, name.c_str(), value.c_str());
}

std::string JobRequestText(const Deployment& deployment, const JobRequest& job) {
  std::string text = "POST /" + job.job_class.name + " HTTP/1.1\r\n";
  for (const auto& [name, value] : HeadersOf(deployment, job))
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: 0\r\n\r\n";
}

}  // namespace aldersill::fleet
