#include "udp_relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace aldersill::tools {
UdpRelay::UdpRelay(int instances) : real_(static_cast<std::size_t>(instances), 0) {
  for (int i = 0; i < instances; ++i) {
    Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const sockaddr_in any = Loopback(0);
    if (bind(socket.fd(), reinterpret_cast<const sockaddr*>(&any), sizeof(any)) != 0)
      throw std::runtime_error("cannot bind a relay's socket");
    ports_.push_back(PortOf(socket));
    sockets_.push_back(std::move(socket));
  }
  thread_ = std::thread([this] { Carry(); });
}

UdpRelay::~UdpRelay() {
  stop_ = true;
  thread_.join();
}

void UdpRelay::SetMemberPort(int instance, std::uint16_t port) {
  const std::lock_guard lock(mutex_);
  real_[static_cast<std::size_t>(instance)] = port;
}

void UdpRelay::Cut(int from, int to) {
  const std::lock_guard lock(mutex_);
  cuts_.insert({from, to});
}

void UdpRelay::HealAll() {
  const std::lock_guard lock(mutex_);
  cuts_.clear();
}

void UdpRelay::Carry() {
  std::vector<pollfd> polled;
  for (const Socket& socket : sockets_)
    polled.push_back({socket.fd(), POLLIN, 0});
  std::vector<char> bytes(65'536);
  while (!stop_) {
    if (poll(polled.data(), polled.size(), 50) <= 0)
      continue;
    for (std::size_t to = 0; to < polled.size(); ++to) {
      if ((polled[to].revents & POLLIN) == 0)
        continue;
      sockaddr_in peer{};
      socklen_t size = sizeof(peer);
      const ssize_t got = recvfrom(polled[to].fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                   reinterpret_cast<sockaddr*>(&peer), &size);
      if (got < 0)
        continue;
      const std::lock_guard lock(mutex_);
      const auto from = std::find(real_.begin(), real_.end(), ntohs(peer.sin_port)) - real_.begin();
      if (from == std::ssize(real_) || real_[to] == 0 ||
          cuts_.contains({static_cast<int>(from), static_cast<int>(to)})) {
        ++dropped_;
        continue;
      }
      const sockaddr_in real = Loopback(real_[to]);
      sendto(sockets_[static_cast<std::size_t>(from)].fd(), bytes.data(), static_cast<std::size_t>(got), 0,
             reinterpret_cast<const sockaddr*>(&real), sizeof(real));
    }
  }
}

}  // namespace aldersill::tools
