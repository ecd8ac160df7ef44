#include "fleet/service_clients.h"

#include <sys/socket.h>

#include <utility>

#include "fleet/job_request.h"
#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

constexpr std::uint64_t kRandomStream = 2;
constexpr std::uint32_t kClientsPerDeparture = 12;  // on average, one client in this many leaves early
constexpr std::size_t kFloodBytes = std::size_t{256} * 1024;
constexpr int kIdleMs = 200;  // time that connections are idle before SIGTERM
constexpr int kTurnsBeforeSigterm = 10;

}  // namespace

ServiceClients::ServiceClients(const RunContext& context, Dispatchers* dispatchers)
    : context_(context), dispatchers_(dispatchers), random_(context.table.seed, kRandomStream) {}

void ServiceClients::SendRequest(int number) {
  const auto& classes = context_.deployment.classes;
  const auto& tenants = context_.deployment.tenants;
  // All numbers are drawn in any case, so that a fault does not change the draws for later requests.
  const JobClass& job_class = classes[random_(static_cast<std::uint32_t>(classes.size()))];
  const std::string& tenant = tenants[random_(static_cast<std::uint32_t>(tenants.size()))];
  const int deadline_ms = kMinDeadlineMs + static_cast<int>(random_(kMaxDeadlineMs - kMinDeadlineMs));
  const bool leaves = random_(kClientsPerDeparture) == 0;
  const int leaves_after_ms = static_cast<int>(random_(static_cast<std::uint32_t>(deadline_ms)));
  const std::uint32_t dispatcher_draw = random_();
  std::vector<int> up;
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher) {
    if (dispatchers_->IsUp(dispatcher))
      up.push_back(dispatcher);
  }
  if (up.empty())
    return;
  Client* client = AddClient(job_class, tenant, deadline_ms, number, up[dispatcher_draw % up.size()]);
  if (leaves)
    context_.scheduler.RunIn(leaves_after_ms, [this, client] { Leave(client, Departure{}); });
  SendAndWait(client);
}

ServiceClients::Client* ServiceClients::AddClient(const JobClass& job_class, const std::string& tenant,
                                                  int deadline_ms, int number, int dispatcher) {
  Client* client = clients_.emplace_back(std::make_unique<Client>()).get();
  client->owner = this;
  client->id = job_class.name + "-" + std::to_string(number);
  client->job_class = &job_class;
  client->tenant = tenant;
  client->deadline_ms = deadline_ms;
  Connect(client, dispatcher);
  return client;
}

void ServiceClients::Connect(Client* client, int dispatcher) {
  client->dispatcher = dispatcher;
  // The callback of the previous connection may still be running, so the connection must outlive it.
  client->previous_connection = std::move(client->connection);
  client->connection = NewClientConnection(context_.base, dispatchers_->http_port(dispatcher));
}

void ServiceClients::SendAndWait(Client* client) {
  ++waiting_;
  Send(client);
}

void ServiceClients::Send(Client* client) {
  evhttp_request* request = MakeRequest(client);
  Micros deadline = context_.recorder.clock().Now();
  deadline += client->deadline_ms * kMillisecond + kAnswerSlack;
  context_.recorder.Record({.kind = Kind::kRequestSent,
                            .request = client->id,
                            .job_class = client->job_class->name,
                            .dispatcher = client->dispatcher,
                            .deadline = deadline});
  const std::string path = "/" + client->job_class->name;
  if (evhttp_make_request(client->connection.get(), request, EVHTTP_REQ_POST, path.c_str()) != 0)
    ConnectionLost(client);
}

evhttp_request* ServiceClients::MakeRequest(Client* client) const {
  evhttp_request* request = evhttp_request_new(&ServiceClients::OnAnswer, client);
  AddJobHeaders(request, context_.deployment,
                {.id = client->id,
                 .job_class = *client->job_class,
                 .tenant = client->tenant,
                 .deadline_ms = client->deadline_ms});
  evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  return request;
}

void ServiceClients::SendDuringShutdown(int dispatcher, int count, int for_ms) {
  std::vector<Client*> clients;
  clients.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index)
    clients.push_back(AddIdleConnection(index, dispatcher));
  context_.scheduler.RunIn(kIdleMs, [this, dispatcher, clients, for_ms] {
    if (!dispatchers_->IsUp(dispatcher))
      return;  // Another fault has killed, paused or terminated the dispatcher.
    dispatchers_->BeginTermination(dispatcher);
    context_.scheduler.RunAfterTurns(kTurnsBeforeSigterm, [this, dispatcher, clients, for_ms] {
      TerminateAmongRequests(dispatcher, clients, for_ms);
    });
  });
}

// Adds a client whose connection has carried one answer, to a readiness request.
ServiceClients::Client* ServiceClients::AddIdleConnection(int index, int dispatcher) {
  const auto& classes = context_.deployment.classes;
  const auto& tenants = context_.deployment.tenants;
  const int number = context_.table.requests + ++shutdown_requests_;
  Client* client = AddClient(classes[index % classes.size()], tenants[index % tenants.size()], kMaxDeadlineMs,
                             number, dispatcher);
  client->reuses_connection = true;
  evhttp_request* request = evhttp_request_new([](evhttp_request*, void*) {}, nullptr);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "origin.svc");
  evhttp_make_request(client->connection.get(), request, EVHTTP_REQ_GET, "/-/ready");
  return client;
}

// Sends SIGTERM halfway through the requests. Every fourth request is sent later.
void ServiceClients::TerminateAmongRequests(int dispatcher, const std::vector<Client*>& clients, int for_ms) {
  const int count = static_cast<int>(clients.size());
  for (int index = 0; index < count; ++index) {
    if (index == count / 2)
      dispatchers_->SendTerminate(dispatcher);
    Client* client = clients[index];
    if (index % 4 != 3) {
      SendAndWait(client);
    } else {
      context_.scheduler.RunIn(index * for_ms / count, [this, client] { SendAndWait(client); });
    }
  }
}

// Retries a request that received no byte of an answer on a reused connection. Returns false if it is not
// retried, because the connection was new or no other dispatcher is up.
bool ServiceClients::RetryElsewhere(Client* client) {
  if (!std::exchange(client->reuses_connection, false))
    return false;
  const int from = client->dispatcher;
  context_.recorder.Record({.kind = Kind::kClosedUnanswered, .request = client->id, .dispatcher = from});
  for (int step = 1; step < context_.table.dispatchers; ++step) {
    const int dispatcher = (from + step) % context_.table.dispatchers;
    if (!dispatchers_->IsUp(dispatcher))
      continue;
    ++retried_elsewhere_;
    Connect(client, dispatcher);
    Send(client);
    return true;
  }
  return false;
}

void ServiceClients::OnAnswer(evhttp_request* request, void* arg) {
  auto* client = static_cast<Client*>(arg);
  if (client->finished)
    return;
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status != 0) {
    client->owner->Answered(client, request, status);
  } else if (!client->owner->RetryElsewhere(client)) {
    client->owner->ConnectionLost(client);
  }
}

void ServiceClients::Answered(Client* client, evhttp_request* request, int status) {
  client->finished = true;
  --waiting_;
  last_end_ = SteadyNow();
  context_.recorder.Record(
      {.kind = Kind::kAnswered, .request = client->id, .status = status, .text = BodyOf(request)});
}

void ServiceClients::ConnectionLost(Client* client) {
  if (std::exchange(client->finished, true))
    return;
  --waiting_;
  context_.recorder.Record({.kind = Kind::kConnectionLost, .request = client->id});
}

void ServiceClients::LeaveAll(int dispatcher, Departure departure) {
  for (const auto& client : clients_) {
    if (client->dispatcher == dispatcher)
      Leave(client.get(), departure);
  }
}

void ServiceClients::Leave(Client* client, Departure departure) {
  if (std::exchange(client->finished, true))
    return;
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(client->connection.get()));
  if (departure.floods_before) {
    const std::string flood(kFloodBytes, 'x');
    // Sends as much as the kernel accepts without blocking.
    const auto sent = send(fd, flood.data(), flood.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    flooding_ += sent > 0 ? 1 : 0;
  }
  const linger reset_on_close{1, 0};
  if (departure.reset)
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  --waiting_;
  last_end_ = SteadyNow();
  context_.recorder.Record({.kind = Kind::kClientLeft, .request = client->id});
  client->connection.reset();
}

}  // namespace aldersill::fleet
