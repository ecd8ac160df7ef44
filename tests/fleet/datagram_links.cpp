#include "fleet/datagram_links.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "net/endpoint.h"
#include "net/listener.h"
#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

constexpr std::uint64_t kRandomStream = 4;
constexpr std::size_t kMaxDatagram = 65'536;
constexpr std::uint32_t kRandomDatagramSize = 1'500;  // exclusive upper bound, in bytes

}  // namespace

DatagramLinks::DatagramLinks(event_base* base, int dispatchers, std::uint64_t seed)
    : due_(base, [this] { SendDue(); }), random_(seed, kRandomStream) {
  for (int dispatcher = 0; dispatcher < dispatchers; ++dispatcher) {
    Endpoint& endpoint = *endpoints_.emplace_back(std::make_unique<Endpoint>());
    endpoint.links = this;
    endpoint.dispatcher = dispatcher;
    endpoint.fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in any = ToSockaddr({"127.0.0.1", 0});
    if (endpoint.fd < 0 || bind(endpoint.fd, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) != 0)
      throw std::runtime_error("cannot bind the datagram socket of dispatcher " + std::to_string(dispatcher));
    endpoint.port = static_cast<std::uint16_t>(LocalPort(endpoint.fd));
    endpoint.readable.reset(
        event_new(base, endpoint.fd, EV_READ | EV_PERSIST, &DatagramLinks::OnReadable, &endpoint));
    event_add(endpoint.readable.get(), nullptr);
  }
}

DatagramLinks::~DatagramLinks() {
  for (auto& endpoint : endpoints_) {
    endpoint->readable.reset();
    close(endpoint->fd);
  }
}

void DatagramLinks::OnReadable(evutil_socket_t fd, short, void* arg) {
  const auto* endpoint = static_cast<Endpoint*>(arg);
  DatagramLinks* links = endpoint->links;
  std::string bytes(kMaxDatagram, '\0');
  sockaddr_in sender{};
  socklen_t size = sizeof(sender);
  const ssize_t received =
      recvfrom(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&sender), &size);
  if (received < 0)
    return;
  bytes.resize(static_cast<std::size_t>(received));
  const auto from = std::ranges::find(links->endpoints_, ntohs(sender.sin_port),
                                      [](const auto& candidate) { return candidate->process_port; });
  if (from == links->endpoints_.end())
    return;  // The sender has been killed in the meantime.
  links->Forward({(*from)->dispatcher, endpoint->dispatcher, std::move(bytes)});
}

void DatagramLinks::Forward(const Datagram& datagram) {
  const Impairment& impairment = impairments_[{datagram.from, datagram.to}];
  // All numbers are drawn in any case, so that an impairment does not change the draws for later datagrams.
  const int loss_draw = static_cast<int>(random_(100));
  const int duplicate_draw = static_cast<int>(random_(100));
  const std::uint32_t jitter_draw = random_();
  if (impairment.cut || loss_draw < impairment.loss_percent) {
    ++dropped_;
    return;
  }
  const Micros now = SteadyNow();
  for (int copy = duplicate_draw < impairment.duplicate_percent ? 2 : 1; copy > 0; --copy) {
    const Micros jitter =
        impairment.jitter > 0 ? (jitter_draw * static_cast<Micros>(copy)) % impairment.jitter : 0;
    delayed_.insert({now + impairment.delay + jitter, datagram});
  }
  SendDue();
}

void DatagramLinks::SendRandomDatagram(int from, int to) {
  std::string bytes(random_(kRandomDatagramSize), '\0');
  for (char& byte : bytes)
    byte = static_cast<char>(random_());
  delayed_.insert({SteadyNow(), {from, to, std::move(bytes)}});
  SendDue();
}

void DatagramLinks::SendDue() {
  const Micros now = SteadyNow();
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    const Datagram& next = delayed_.begin()->second;
    const sockaddr_in to = ToSockaddr({"127.0.0.1", endpoints_[next.to]->process_port});
    sendto(endpoints_[next.from]->fd, next.bytes.data(), next.bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    ++forwarded_;
    delayed_.erase(delayed_.begin());
  }
  if (!delayed_.empty())
    due_.Set(delayed_.begin()->first - now);
}

}  // namespace aldersill::fleet
