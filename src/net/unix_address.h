// Addresses of Unix sockets in the file system.
#ifndef ALDERSILL_SRC_NET_UNIX_ADDRESS_H_
#define ALDERSILL_SRC_NET_UNIX_ADDRESS_H_

#include <sys/socket.h>
#include <sys/un.h>

#include <cstring>
#include <optional>
#include <string>

namespace aldersill {

// Returns nothing if the path is too long for a socket address (more than 107 bytes on Linux).
inline std::optional<sockaddr_un> MakeUnixAddress(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof(address.sun_path))
    return std::nullopt;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return address;
}

// The address in the type that connect and bind expect.
inline const sockaddr* ToGenericAddress(const sockaddr_un& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_UNIX_ADDRESS_H_
