#include "fleet/keep_alive_clients.h"

#include <utility>

#include "fleet/job_request.h"
#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

constexpr std::uint64_t kRandomStream = 3;
// On average, one request in this many has a deadline that outlasts a shutdown.
constexpr std::uint32_t kRequestsPerLongDeadline = 6;
constexpr int kLongDeadlineMs = 8'000;
constexpr int kMaxPauseMs = 150;
constexpr int kConnectRetryMs = 50;
constexpr int kNoDispatcher = -1;

}  // namespace

KeepAliveClients::KeepAliveClients(const RunContext& context, const Dispatchers* dispatchers)
    : context_(context), dispatchers_(dispatchers), random_(context.table.seed, kRandomStream) {}

void KeepAliveClients::Begin() {
  ends_at_ = SteadyNow() + context_.table.length_ms * kMillisecond;
  for (int number = 0; number < context_.table.keep_alive_clients; ++number) {
    Client* client = clients_.emplace_back(std::make_unique<Client>()).get();
    client->owner = this;
    client->number = number;
    client->pause = std::make_unique<Timer>(context_.base, [this, client] { SendNext(client); });
    client->pause->Set(static_cast<Micros>(random_(kMaxPauseMs)) * kMillisecond);
  }
}

void KeepAliveClients::SendNext(Client* client) {
  if (SteadyNow() >= ends_at_)
    return;
  if (!client->connection_open && !Connect(client, kNoDispatcher))
    return client->pause->Set(kConnectRetryMs * kMillisecond);
  DrawRequest(client);
  ++waiting_;
  Send(client);
}

void KeepAliveClients::DrawRequest(Client* client) {
  const auto& classes = context_.deployment.classes;
  const auto& tenants = context_.deployment.tenants;
  client->job_class = &classes[random_(static_cast<std::uint32_t>(classes.size()))];
  client->tenant = tenants[random_(static_cast<std::uint32_t>(tenants.size()))];
  const int deadline_ms = kMinDeadlineMs + static_cast<int>(random_(kMaxDeadlineMs - kMinDeadlineMs));
  client->deadline_ms = random_(kRequestsPerLongDeadline) == 0 ? kLongDeadlineMs : deadline_ms;
  client->id = client->job_class->name + "-k" + std::to_string(client->number) + "-" +
               std::to_string(++client->requests);
  client->sent_again = false;
}

bool KeepAliveClients::Connect(Client* client, int avoided) {
  std::vector<int> ready;
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher) {
    if (dispatcher != avoided && dispatchers_->IsReady(dispatcher))
      ready.push_back(dispatcher);
  }
  if (ready.empty())
    return false;
  client->dispatcher = ready[random_(static_cast<std::uint32_t>(ready.size()))];
  // The callback of the previous connection may still be running, so the connection must outlive it.
  client->previous_connection = std::move(client->connection);
  if (client->previous_connection != nullptr)
    evhttp_connection_set_closecb(client->previous_connection.get(), nullptr, nullptr);
  client->connection = NewClientConnection(context_.base, dispatchers_->http_port(client->dispatcher));
  evhttp_connection_set_closecb(client->connection.get(), &KeepAliveClients::OnClosed, client);
  client->kills_before = dispatchers_->kills(client->dispatcher);
  client->connection_open = true;
  client->requests_on_connection = 0;
  return true;
}

void KeepAliveClients::OnClosed(evhttp_connection*, void* arg) {
  static_cast<Client*>(arg)->connection_open = false;
}

void KeepAliveClients::Send(Client* client) {
  evhttp_request* request = evhttp_request_new(&KeepAliveClients::OnAnswer, client);
  AddJobHeaders(request, context_.deployment,
                {.id = client->id,
                 .job_class = *client->job_class,
                 .tenant = client->tenant,
                 .deadline_ms = client->deadline_ms});
  const Micros now = context_.recorder.clock().Now();
  context_.recorder.Record({.kind = Kind::kRequestSent,
                            .request = client->id,
                            .job_class = client->job_class->name,
                            .dispatcher = client->dispatcher,
                            .deadline = now + client->deadline_ms * kMillisecond + kAnswerSlack});
  const std::string path = "/" + client->job_class->name;
  if (evhttp_make_request(client->connection.get(), request, EVHTTP_REQ_POST, path.c_str()) != 0)
    ClosedUnanswered(client);
}

void KeepAliveClients::OnAnswer(evhttp_request* request, void* arg) {
  auto* client = static_cast<Client*>(arg);
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status != 0)
    return client->owner->Answered(client, request, status);
  client->connection_open = false;
  client->owner->ClosedUnanswered(client);
}

void KeepAliveClients::Answered(Client* client, evhttp_request* request, int status) {
  ++client->requests_on_connection;
  context_.recorder.Record(
      {.kind = Kind::kAnswered, .request = client->id, .status = status, .text = BodyOf(request)});
  Finish(client);
}

// A dispatcher may close a reused connection while a request is on its way. The client then sends the request
// once more, to another dispatcher. So the checker detects a request that the first one forwarded before the
// close.
void KeepAliveClients::ClosedUnanswered(Client* client) {
  const bool crossed = client->requests_on_connection > 0 && !std::exchange(client->sent_again, true);
  const bool killed = dispatchers_->kills(client->dispatcher) != client->kills_before;
  if (crossed && !killed) {
    context_.recorder.Record(
        {.kind = Kind::kClosedUnanswered, .request = client->id, .dispatcher = client->dispatcher});
    if (Connect(client, client->dispatcher))
      return Send(client);
  } else {
    context_.recorder.Record({.kind = Kind::kConnectionLost, .request = client->id});
  }
  Finish(client);
}

void KeepAliveClients::Finish(Client* client) {
  --waiting_;
  last_end_ = SteadyNow();
  client->pause->Set(static_cast<Micros>(1 + random_(kMaxPauseMs)) * kMillisecond);
}

}  // namespace aldersill::fleet
