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
#include "net/listener.h"

namespace aldersill::membership {
namespace {

// Limit of datagrams received per iteration of the event loop, so that a flood does not delay other events.
constexpr int kMaxDatagramsPerIteration = 64;

std::uint64_t NewSession() {
  if (sodium_init() < 0)
    throw std::runtime_error("membership: libsodium could not be initialized");
  std::uint64_t session = 0;
  randombytes_buf(&session, sizeof(session));
  return session;
}

}  // namespace

Transport::Transport(event_base* base, const Endpoint& listen, std::vector<Key> keys,
                     std::function<Micros()> now, PacketHandler handler)
    : now_(std::move(now)), handler_(std::move(handler)), sealer_(std::move(keys), NewSession()) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(listen);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    const int error = errno;
    if (fd_ >= 0)
      close(fd_);
    throw std::runtime_error("membership.listen: cannot listen on " + ToText(listen) + ": " +
                             std::strerror(error));
  }
  port_ = LocalPort(fd_);
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

void Transport::OnReadable(evutil_socket_t, short, void* self) {
  auto* transport = static_cast<Transport*>(self);
  for (int received = 0; received < kMaxDatagramsPerIteration; ++received) {
    if (!transport->ReceiveOne())
      return;
  }
}

bool Transport::ReceiveOne() {
  std::array<char, kMaxDatagram + 1> bytes;  // the extra byte reveals a datagram that is too long
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  const ssize_t length =
      recvfrom(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&peer), &size);
  // Any error other than an empty queue reports that an earlier datagram was sent to a closed port. Reading
  // the error has cleared it, so receiving continues.
  if (length < 0)
    return errno != EAGAIN && errno != EWOULDBLOCK;
  ++counters_.received;
  counters_.received_bytes += static_cast<std::uint64_t>(length);
  const std::optional<std::string> opened =
      sealer_.Open(now_(), std::string_view(bytes.data(), static_cast<std::size_t>(length)));
  if (!opened)
    return true;
  std::optional<Packet> packet = Decode(*opened);
  if (!packet) {
    sealer_.CountMalformed();
    return true;
  }
  char host[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &peer.sin_addr, host, sizeof(host));
  handler_(ToText({host, ntohs(peer.sin_port)}), std::move(*packet));
  return true;
}

}  // namespace aldersill::membership
