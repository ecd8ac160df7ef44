#include "http/connect_probe.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace aldersill {
namespace {

constexpr Micros kConnectTimeout = kSecond;

}  // namespace

ConnectProbe::ConnectProbe(event_base* base, const Endpoint& endpoint, std::function<void(bool refused)> done)
    : address_(ToSockaddr(endpoint)),
      done_(std::move(done)),
      base_(base),
      finish_timer_(base, [this] { Finish(error_); }) {}

void ConnectProbe::Start() {
  Cancel();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0)
    return FinishLater(errno);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address_), sizeof(address_)) == 0)
    return FinishLater(0);
  if (errno != EINPROGRESS)
    return FinishLater(errno);
  const timeval timeout = ToTimeval(kConnectTimeout);
  writable_.reset(event_new(base_, fd_, EV_WRITE, &ConnectProbe::OnWritable, this));
  event_add(writable_.get(), &timeout);
}

void ConnectProbe::Cancel() {
  finish_timer_.Clear();
  writable_.reset();
  if (fd_ >= 0)
    evutil_closesocket(std::exchange(fd_, -1));
}

void ConnectProbe::OnWritable(evutil_socket_t fd, short what, void* self) {
  int error = ETIMEDOUT;
  socklen_t size = sizeof(error);
  if ((what & EV_WRITE) != 0 && getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    error = errno;
  static_cast<ConnectProbe*>(self)->Finish(error);
}

void ConnectProbe::FinishLater(int error) {
  error_ = error;
  finish_timer_.Set(0);
}

void ConnectProbe::Finish(int error) {
  Cancel();
  done_(error == ECONNREFUSED);
}

}  // namespace aldersill
