#include "udp_relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <string>

namespace aldersill::tools {
namespace {

constexpr int kPollMs = 50;  // also the longest time that the destructor waits
constexpr std::size_t kMaxDatagram = 65'536;

}  // namespace

UdpRelay::UdpRelay(int members) : member_ports_(static_cast<std::size_t>(members), 0) {
  for (int member = 0; member < members; ++member) {
    Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const sockaddr_in any = Loopback(0);
    if (bind(socket.fd(), reinterpret_cast<const sockaddr*>(&any), sizeof(any)) != 0)
      throw std::runtime_error("udp relay: cannot bind a loopback socket for member " +
                               std::to_string(member));
    ports_.push_back(PortOf(socket));
    sockets_.push_back(std::move(socket));
  }
  thread_ = std::thread([this] { Run(); });
}

UdpRelay::~UdpRelay() {
  stop_ = true;
  thread_.join();
}

void UdpRelay::SetMemberPort(int member, std::uint16_t port) {
  const std::lock_guard lock(mutex_);
  member_ports_[static_cast<std::size_t>(member)] = port;
}

void UdpRelay::Cut(int from, int to) {
  const std::lock_guard lock(mutex_);
  cuts_.insert({from, to});
}

void UdpRelay::HealAll() {
  const std::lock_guard lock(mutex_);
  cuts_.clear();
}

void UdpRelay::Run() {
  std::vector<pollfd> polled;
  for (const Socket& socket : sockets_)
    polled.push_back({socket.fd(), POLLIN, 0});
  while (!stop_) {
    if (poll(polled.data(), polled.size(), kPollMs) <= 0)
      continue;
    for (std::size_t to = 0; to < polled.size(); ++to) {
      if ((polled[to].revents & POLLIN) != 0)
        Receive(to);
    }
  }
}

void UdpRelay::Receive(std::size_t to) {
  std::vector<char> bytes(kMaxDatagram);
  sockaddr_in sender{};
  socklen_t size = sizeof(sender);
  const ssize_t received = recvfrom(sockets_[to].fd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                    reinterpret_cast<sockaddr*>(&sender), &size);
  if (received >= 0)
    Forward(ntohs(sender.sin_port), to, {bytes.data(), static_cast<std::size_t>(received)});
}

void UdpRelay::Forward(std::uint16_t sender_port, std::size_t to, std::span<const char> datagram) {
  const std::lock_guard lock(mutex_);
  const auto from = std::ranges::find(member_ports_, sender_port) - member_ports_.begin();
  if (from == std::ssize(member_ports_) || member_ports_[to] == 0 ||
      cuts_.contains({static_cast<int>(from), static_cast<int>(to)})) {
    ++dropped_;
    return;
  }
  const sockaddr_in address = Loopback(member_ports_[to]);
  sendto(sockets_[static_cast<std::size_t>(from)].fd(), datagram.data(), datagram.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

}  // namespace aldersill::tools
