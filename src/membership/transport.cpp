#include "membership/transport.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

#include "membership/codec.h"

namespace aldersill::membership {
namespace {

// Datagrams taken in one turn of the loop: jobs are not to wait for a flood.
constexpr int kTurn = 64;

std::uint64_t NewSession() {
  if (sodium_init() < 0)
    throw std::runtime_error("membership: libsodium cannot begin");
  std::uint64_t session = 0;
  randombytes_buf(&session, sizeof(session));
  return session;
}

}  // namespace

Transport::Transport(event_base* base, const Endpoint& listen, std::vector<Key> keys,
                     std::function<Micros()> now, Came came)
    : now_(std::move(now)), came_(std::move(came)), sealer_(std::move(keys), NewSession()) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(listen);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    const int error = errno;
    if (fd_ >= 0)
      close(fd_);
    throw std::runtime_error("membership.listen: cannot listen on " + ToText(listen) + ": " +
                             std::strerror(error));
  }
  port_ = PortOf(fd_);
  readable_.reset(event_new(base, fd_, EV_READ | EV_PERSIST, &Transport::OnReadable, this));
  event_add(readable_.get(), nullptr);
}

Transport::~Transport() {
  readable_.reset();
  close(fd_);
}

void Transport::Send(const std::string& address, const Packet& packet) {
  const std::optional<Endpoint> to = ParseEndpoint(address);
  if (!to || to->port == 0) {
    ++counters_.unsent;
    return;
  }
  const std::string sealed = sealer_.Seal(now_(), Encode(packet));
  const sockaddr_in peer = ToSockaddr(*to);
  if (sendto(fd_, sealed.data(), sealed.size(), 0, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) <
      0) {
    ++counters_.unsent;
    return;
  }
  ++counters_.sent;
  counters_.sent_bytes += sealed.size();
}

void Transport::OnReadable(evutil_socket_t fd, short, void* self) {
  auto* transport = static_cast<Transport*>(self);
  std::array<char, kMostDatagram + 1> bytes;  // one more, so that longer ones are seen to be
  for (int turn = 0; turn < kTurn; ++turn) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const ssize_t got =
        recvfrom(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&peer), &size);
    if (got < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK)
        return;
      continue;  // an earlier datagram met a closed port: told once, and no more than that
    }
    ++transport->counters_.received;
    transport->counters_.received_bytes += static_cast<std::uint64_t>(got);
    const auto opened = transport->sealer_.Open(
        transport->now_(), std::string_view(bytes.data(), static_cast<std::size_t>(got)));
    if (!opened)
      continue;
    std::optional<Packet> packet = Decode(*opened);
    if (!packet) {
      transport->sealer_.CountMalformed();
      continue;
    }
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &peer.sin_addr, host, sizeof(host));
    transport->came_(ToText({host, ntohs(peer.sin_port)}), std::move(*packet));
  }
}

}  // namespace aldersill::membership
