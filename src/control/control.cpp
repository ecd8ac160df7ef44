#include "control/control.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/unique_descriptor.h"
#include "net/unix_address.h"

namespace aldersill::control {
namespace {

constexpr LineServer::Limits kServerLimits{8, 128, 2 * kSecond};
constexpr int kBacklog = 8;
constexpr timeval kQueryTimeout{5, 0};
constexpr mode_t kOwnerOnlyMask = 0177;  // the umask that leaves read and write access to the owner alone
constexpr std::size_t kMaxAnswerBytes = std::size_t{1} << 24;

// Throws std::runtime_error if the path is too long for a Unix socket.
sockaddr_un AddressOf(const std::string& path) {
  const auto address = MakeUnixAddress(path);
  if (!address)
    throw std::runtime_error("control.socket: " + path +
                             " is too long for a Unix socket (at most 107 bytes)");
  return *address;
}

bool Connect(const UniqueDescriptor& socket, const sockaddr_un& address) {
  return connect(socket.get(), ToGenericAddress(address), sizeof(address)) == 0;
}

// Returns whether a process listens at `address`.
bool HasListener(const sockaddr_un& address) {
  const UniqueDescriptor probe(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  return Connect(probe, address);
}

// Does nothing if the file at `path` is not a socket.
void RemoveSocketFile(const std::string& path) {
  struct stat status {};
  if (lstat(path.c_str(), &status) == 0 && S_ISSOCK(status.st_mode))
    unlink(path.c_str());
}

// Creates a socket whose file only the owner can access. Throws std::runtime_error if it cannot be bound.
UniqueDescriptor BindForOwner(const std::string& path, const sockaddr_un& address) {
  UniqueDescriptor bound(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const mode_t previous_mask = umask(kOwnerOnlyMask);
  const int result = bind(bound.get(), ToGenericAddress(address), sizeof(address));
  const int error = errno;
  umask(previous_mask);
  if (result != 0)
    throw std::runtime_error("control.socket: cannot listen on " + path + ": " + std::strerror(error));
  return bound;
}

bool SendAll(const UniqueDescriptor& socket, std::string_view text) {
  return send(socket.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// Returns one line without its line end; nothing if the line does not arrive complete.
std::optional<std::string> ReceiveLine(const UniqueDescriptor& socket) {
  std::string line;
  std::array<char, 4096> buffer{};
  while (!line.ends_with('\n')) {
    if (line.size() > kMaxAnswerBytes)
      return std::nullopt;
    const ssize_t received = recv(socket.get(), buffer.data(), buffer.size(), 0);
    if (received <= 0)
      return std::nullopt;
    line.append(buffer.data(), static_cast<std::size_t>(received));
  }
  line.pop_back();
  return line;
}

}  // namespace

Server::Server(event_base* base, std::string path, QueryHandler handler)
    : path_(std::move(path)),
      server_(base, kServerLimits, [handler = std::move(handler)](const std::string& query) {
        return handler(query).value_or(R"({"error":"no such question"})") + "\n";
      }) {
  const sockaddr_un address = AddressOf(path_);
  if (HasListener(address))
    throw std::runtime_error("control.socket: another instance listens on " + path_);
  RemoveSocketFile(path_);
  UniqueDescriptor bound = BindForOwner(path_, address);
  const AcceptCallback accepted = server_.accept_callback();
  EventPtr<evconnlistener> listener(evconnlistener_new(base, accepted.function, accepted.arg,
                                                       LEV_OPT_CLOSE_ON_FREE, kBacklog, bound.get()));
  if (listener == nullptr)
    throw std::runtime_error("control.socket: cannot listen on " + path_);
  bound.Release();  // the listener owns the descriptor
  server_.Listen(std::move(listener));
}

Server::~Server() { unlink(path_.c_str()); }

std::optional<std::string> Query(const std::string& path, const std::string& query) {
  const sockaddr_un address = AddressOf(path);
  const UniqueDescriptor connection(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  for (const int option : {SO_RCVTIMEO, SO_SNDTIMEO})
    setsockopt(connection.get(), SOL_SOCKET, option, &kQueryTimeout, sizeof(kQueryTimeout));
  if (!Connect(connection, address) || !SendAll(connection, query + "\n"))
    return std::nullopt;
  return ReceiveLine(connection);
}

}  // namespace aldersill::control
