#include "fleet/idle_clients.h"

#include <string_view>

#include "net/endpoint.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill::fleet {
namespace {

constexpr Micros kReconnectDelay = 50 * kMillisecond;
constexpr std::string_view kHalfHead = "POST / HTTP/1.1\r\nHost: ";

}  // namespace

IdleClients::IdleClients(const RunContext& context, const Dispatchers* dispatchers)
    : context_(context), dispatchers_(dispatchers) {}

void IdleClients::Add(int dispatcher, int count, int for_ms) {
  for (int index = 0; index < count; ++index) {
    Client* client = clients_.emplace_back(std::make_unique<Client>()).get();
    client->dispatcher = dispatcher;
    client->sends_half_head = index % 2 == 1;
    client->until = SteadyNow() + for_ms * kMillisecond;
    client->reconnect = std::make_unique<Timer>(context_.base, [this, client] { Connect(client); });
    Connect(client);
  }
}

// Opens a new connection, or only closes the old one if the client's time is over.
void IdleClients::Connect(Client* client) {
  client->stream.reset();
  if (SteadyNow() >= client->until)
    return;
  client->reconnect->Set(kReconnectDelay);
  if (!dispatchers_->IsUp(client->dispatcher))
    return;
  client->stream.reset(bufferevent_socket_new(context_.base, -1, BEV_OPT_CLOSE_ON_FREE));
  const sockaddr_in to = ToSockaddr({"127.0.0.1", dispatchers_->http_port(client->dispatcher)});
  bufferevent_setcb(client->stream.get(), nullptr, nullptr, &IdleClients::OnEvent, client);
  if (client->sends_half_head)
    bufferevent_write(client->stream.get(), kHalfHead.data(), kHalfHead.size());
  bufferevent_enable(client->stream.get(), EV_READ | EV_WRITE);
  client->reconnect->Set(client->until - SteadyNow());
  bufferevent_socket_connect(client->stream.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void IdleClients::OnEvent(bufferevent*, short what, void* arg) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    static_cast<Client*>(arg)->reconnect->Set(kReconnectDelay);
}

}  // namespace aldersill::fleet
