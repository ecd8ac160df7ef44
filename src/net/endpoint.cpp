#include "net/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace aldersill {

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, endpoint.port);
  in_addr parsed{};
  if (error != std::errc() || end != last || first == last ||
      inet_pton(AF_INET, endpoint.host.c_str(), &parsed) != 1)
    return std::nullopt;
  return endpoint;
}

std::string ToText(const Endpoint& endpoint) { return endpoint.host + ":" + std::to_string(endpoint.port); }

sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

bool IsLoopback(const Endpoint& endpoint) { return endpoint.host.starts_with("127."); }

}  // namespace aldersill
