#include "fleet/slow_clients.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "fleet/job_request.h"
#include "net/endpoint.h"
#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

constexpr std::uint64_t kRandomStream = 5;
// The client completes its request after a delay in this range. Dispatchers allow 2.4 s for a request.
constexpr int kMinDelayMs = 100, kMaxDelayMs = 2'200;
constexpr int kDeadlineMs = 8'000;  // later than any SIGKILL that follows SIGTERM
constexpr int kRequestTimeout = 408;

struct Response {
  int status = 0;
  std::string body;
};

int NumberAfter(std::string_view text, std::string_view prefix) {
  const std::size_t at = text.find(prefix);
  int number = 0;
  if (at != std::string_view::npos)
    std::from_chars(text.data() + at + prefix.size(), text.data() + text.size(), number);
  return number;
}

// Returns nullopt until the response is complete.
std::optional<Response> ParseResponse(std::string_view text) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  const std::size_t head_end = text.find(kHeadEnd);
  if (head_end == std::string_view::npos)
    return std::nullopt;
  const std::string_view body = text.substr(head_end + kHeadEnd.size());
  const auto length = static_cast<std::size_t>(NumberAfter(text.substr(0, head_end), "Content-Length: "));
  if (body.size() < length)
    return std::nullopt;
  return Response{.status = NumberAfter(text, "HTTP/1.1 "), .body = std::string(body.substr(0, length))};
}

}  // namespace

SlowClients::SlowClients(const RunContext& context, const Dispatchers* dispatchers)
    : context_(context), dispatchers_(dispatchers), random_(context.table.seed, kRandomStream) {}

void SlowClients::Add(int dispatcher, int count, int for_ms) {
  const auto& classes = context_.deployment.classes;
  for (int index = 0; index < count; ++index) {
    Client* client = clients_.emplace_back(std::make_unique<Client>()).get();
    client->owner = this;
    client->job_class = &classes[static_cast<std::size_t>(index) % classes.size()];
    client->id = client->job_class->name + "-s" + std::to_string(clients_.size());
    client->dispatcher = dispatcher;
    client->deadline_ms = kDeadlineMs;
    context_.scheduler.RunIn(index * for_ms / count, [this, client] { Connect(client); });
  }
}

void SlowClients::Connect(Client* client) {
  if (!dispatchers_->IsRunning(client->dispatcher))
    return;
  const auto& tenants = context_.deployment.tenants;
  std::string request = JobRequestText(
      context_.deployment, {.id = client->id,
                            .job_class = *client->job_class,
                            .tenant = tenants[random_(static_cast<std::uint32_t>(tenants.size()))],
                            .deadline_ms = client->deadline_ms});
  client->rest = request.substr(request.size() / 2);
  request.resize(request.size() / 2);
  client->stream.reset(bufferevent_socket_new(context_.base, -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(client->stream.get(), &SlowClients::OnRead, nullptr, &SlowClients::OnEvent, client);
  bufferevent_enable(client->stream.get(), EV_READ | EV_WRITE);
  const sockaddr_in address = ToSockaddr({"127.0.0.1", dispatchers_->http_port(client->dispatcher)});
  bufferevent_socket_connect(client->stream.get(), reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  bufferevent_write(client->stream.get(), request.data(), request.size());
  const int delay_ms = kMinDelayMs + static_cast<int>(random_(kMaxDelayMs - kMinDelayMs));
  context_.scheduler.RunIn(delay_ms, [this, client] { Complete(client); });
}

void SlowClients::Complete(Client* client) {
  if (client->finished)
    return;
  client->complete = true;
  ++waiting_;
  const Micros now = context_.recorder.clock().Now();
  context_.recorder.Record({.kind = Kind::kRequestSent,
                            .request = client->id,
                            .job_class = client->job_class->name,
                            .dispatcher = client->dispatcher,
                            .deadline = now + client->deadline_ms * kMillisecond + kAnswerSlack});
  bufferevent_write(client->stream.get(), client->rest.data(), client->rest.size());
}

void SlowClients::OnRead(bufferevent*, void* arg) {
  auto* client = static_cast<Client*>(arg);
  client->owner->HandleInput(client);
}

void SlowClients::OnEvent(bufferevent*, short what, void* arg) {
  auto* client = static_cast<Client*>(arg);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    client->owner->HandleEnd(client);
}

void SlowClients::HandleInput(Client* client) {
  evbuffer* input = bufferevent_get_input(client->stream.get());
  const std::string_view text(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)),
                              evbuffer_get_length(input));
  std::optional<Response> response = ParseResponse(text);
  if (!response || client->finished)
    return;
  if (client->complete && response->status == kRequestTimeout) {
    // The dispatcher timed the request out while its rest was on the way. It must not forward the request.
    context_.recorder.Record(
        {.kind = Kind::kClosedUnanswered, .request = client->id, .dispatcher = client->dispatcher});
  } else if (client->complete) {
    context_.recorder.Record({.kind = Kind::kAnswered,
                              .request = client->id,
                              .status = response->status,
                              .text = std::move(response->body)});
  }
  Finish(client);
}

void SlowClients::HandleEnd(Client* client) {
  if (client->finished)
    return;
  if (client->complete)
    context_.recorder.Record({.kind = Kind::kConnectionLost, .request = client->id});
  Finish(client);
}

void SlowClients::Finish(Client* client) {
  client->finished = true;
  if (!client->complete)
    return;
  --waiting_;
  last_end_ = SteadyNow();
}

}  // namespace aldersill::fleet
