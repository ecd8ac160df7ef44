// Whether anybody listens at an endpoint: a TCP connect that carries nothing and is closed at once.
#ifndef ALDERSILL_SRC_HTTP_CONNECT_PROBE_H_
#define ALDERSILL_SRC_HTTP_CONNECT_PROBE_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <functional>
#include <utility>

#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill {

class ConnectProbe {
 public:
  // `done`: not from within Start. `refused` is told only where the kernel says so of this very connect: one
  // that came up, was reset later, or did not come up in time may have met somebody.
  ConnectProbe(event_base* base, const Endpoint& endpoint, std::function<void(bool refused)> done)
      : to_(ToSockaddr(endpoint)),
        done_(std::move(done)),
        base_(base),
        known_at_once_(base, [this] { Done(error_); }) {}
  ~ConnectProbe() { Close(); }
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

  // Begins anew where one is under way.
  void Start() {
    Close();
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0)
      return DoneSoon(errno);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&to_), sizeof(to_)) == 0)
      return DoneSoon(0);
    if (errno != EINPROGRESS)
      return DoneSoon(errno);
    const timeval patience = ToTimeval(kPatience);
    writable_.reset(event_new(base_, fd_, EV_WRITE, &ConnectProbe::OnWritable, this));
    event_add(writable_.get(), &patience);
  }
  bool under_way() const { return fd_ >= 0; }
  void Close() {
    known_at_once_.Clear();
    writable_.reset();
    if (fd_ >= 0)
      evutil_closesocket(std::exchange(fd_, -1));
  }

 private:
  static constexpr Micros kPatience = kSecond;

  static void OnWritable(evutil_socket_t fd, short what, void* self) {
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if ((what & EV_WRITE) != 0 && getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
      error = errno;
    static_cast<ConnectProbe*>(self)->Done(error);
  }
  void DoneSoon(int error) {
    error_ = error;
    known_at_once_.Set(0);
  }
  void Done(int error) {
    Close();
    done_(error == ECONNREFUSED);
  }

  const sockaddr_in to_;
  const std::function<void(bool)> done_;
  event_base* const base_;
  Timer known_at_once_;
  EventPtr<event> writable_;
  evutil_socket_t fd_ = -1;
  int error_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CONNECT_PROBE_H_
