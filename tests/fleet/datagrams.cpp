#include "fleet/datagrams.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace aldersill::fleet {

DatagramLinks::DatagramLinks(event_base* base, int dispatchers, std::uint64_t seed)
    : due_(base, [this] { SendDue(); }), random_(seed, 4) {
  for (int d = 0; d < dispatchers; ++d) {
    Place& place = *places_.emplace_back(std::make_unique<Place>());
    place.links = this;
    place.number = d;
    place.fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in any = ToSockaddr({"127.0.0.1", 0});
    if (place.fd < 0 || bind(place.fd, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) != 0)
      throw std::runtime_error("a datagram link cannot bind its socket");
    place.port = static_cast<std::uint16_t>(PortOf(place.fd));
    place.readable.reset(event_new(base, place.fd, EV_READ | EV_PERSIST, &DatagramLinks::OnReadable, &place));
    event_add(place.readable.get(), nullptr);
  }
}

DatagramLinks::~DatagramLinks() {
  for (auto& place : places_) {
    place->readable.reset();
    close(place->fd);
  }
}

void DatagramLinks::OnReadable(evutil_socket_t fd, short, void* arg) {
  const auto* place = static_cast<Place*>(arg);
  DatagramLinks* links = place->links;
  std::string bytes(65'536, '\0');
  sockaddr_in sender{};
  socklen_t size = sizeof(sender);
  const ssize_t got =
      recvfrom(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&sender), &size);
  if (got < 0)
    return;
  bytes.resize(static_cast<std::size_t>(got));
  const auto from =
      std::ranges::find(links->places_, ntohs(sender.sin_port), [](const auto& p) { return p->real; });
  if (from == links->places_.end())
    return;  // of one that has been killed since
  links->Carry((*from)->number, place->number, std::move(bytes));
}

void DatagramLinks::Carry(int from, int to, std::string bytes) {
  const Trouble& trouble = troubles_[{from, to}];
  // Drawn in any case, so that a trouble does not reshuffle what follows.
  const int lost = static_cast<int>(random_(100)), doubled = static_cast<int>(random_(100));
  const std::uint32_t drawn = random_();
  if (trouble.cut || lost < trouble.lost_percent) {
    ++dropped_;
    return;
  }
  const Micros now = SteadyNow();
  for (int copy = doubled < trouble.doubled_percent ? 2 : 1; copy > 0; --copy) {
    const Micros later = trouble.jitter > 0 ? (drawn * static_cast<Micros>(copy)) % trouble.jitter : 0;
    waiting_.insert({now + trouble.delay + later, {from, to, bytes}});
  }
  SendDue();
}

void DatagramLinks::Stray(int from, int to) {
  std::string bytes(random_(1'500), '\0');
  for (char& byte : bytes)
    byte = static_cast<char>(random_());
  waiting_.insert({SteadyNow(), {from, to, std::move(bytes)}});
  SendDue();
}

void DatagramLinks::SendDue() {
  const Micros now = SteadyNow();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    const Waiting& next = waiting_.begin()->second;
    const sockaddr_in to = ToSockaddr({"127.0.0.1", places_[next.to]->real});
    sendto(places_[next.from]->fd, next.bytes.data(), next.bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    ++carried_;
    waiting_.erase(waiting_.begin());
  }
  if (!waiting_.empty())
    due_.Set(waiting_.begin()->first - now);
}

}  // namespace aldersill::fleet
