#include "net/input_discarder.h"

#include <sys/socket.h>

#include <cerrno>

namespace aldersill {
namespace {

// More than a well-behaved client sends by mistake.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{96} << 20;
constexpr std::size_t kReadSize = std::size_t{1} << 20;

}  // namespace

void InputDiscarder::Start(evutil_socket_t fd) {
  readable_.reset(event_new(base_, fd, EV_READ | EV_PERSIST, &InputDiscarder::OnReadable, this));
  event_add(readable_.get(), nullptr);
}

void InputDiscarder::OnReadable(evutil_socket_t fd, short, void* self) {
  static_cast<InputDiscarder*>(self)->Discard(fd);
}

void InputDiscarder::Discard(evutil_socket_t fd) {
  // With MSG_TRUNC the kernel drops the bytes without a copy.
  const ssize_t size = recv(fd, nullptr, kReadSize, MSG_TRUNC | MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size > 0) {
    discarded_bytes_ += static_cast<std::size_t>(size);
    if (discarded_bytes_ < kMaxDiscardedBytes)
      return;
  }
  const auto on_end = on_end_;  // a copy, as the call may destroy this object
  on_end(size == 0 ? End::kClosedByPeer : End::kFailed);
}

}  // namespace aldersill
