// A numeric address and a port: what every part that listens or connects is told.
#ifndef ALDERSILL_SRC_NET_ENDPOINT_H_
#define ALDERSILL_SRC_NET_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace aldersill {

struct Endpoint {
  std::string host;  // a numeric IPv4 address: there is no DNS where the daemon runs
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};
// "address:port"; nothing for anything else.
std::optional<Endpoint> ParseEndpoint(const std::string& text);
std::string ToText(const Endpoint& endpoint);
bool IsLoopback(const Endpoint& endpoint);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_ENDPOINT_H_
