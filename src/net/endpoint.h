// The address and port of a TCP or UDP socket.
#ifndef ALDERSILL_SRC_NET_ENDPOINT_H_
#define ALDERSILL_SRC_NET_ENDPOINT_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

namespace aldersill {

struct Endpoint {
  std::string host;  // a numeric IPv4 address: there is no DNS where the daemon runs
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

// Parses "address:port"; returns nothing for any other text.
std::optional<Endpoint> ParseEndpoint(const std::string& text);
// The inverse of ParseEndpoint.
std::string ToText(const Endpoint& endpoint);
sockaddr_in ToSockaddr(const Endpoint& endpoint);
bool IsLoopback(const Endpoint& endpoint);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_ENDPOINT_H_
