// Checks whether a process listens at an endpoint, with a TCP connection that is closed immediately and
// carries no data.
#ifndef ALDERSILL_SRC_HTTP_CONNECT_PROBE_H_
#define ALDERSILL_SRC_HTTP_CONNECT_PROBE_H_

#include <netinet/in.h>

#include <functional>

#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill {

class ConnectProbe {
 public:
  // `done` is called once for each Start that is not cancelled, never from within Start. `refused` is true
  // only if the kernel reports this connect as refused: a connect that succeeded, timed out or failed
  // otherwise may have reached a listener.
  ConnectProbe(event_base* base, const Endpoint& endpoint, std::function<void(bool refused)> done);
  ~ConnectProbe() { Cancel(); }
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

  // Cancels a probe that is in progress and starts another.
  void Start();
  bool in_progress() const { return fd_ >= 0; }
  void Cancel();

 private:
  static void OnWritable(evutil_socket_t fd, short what, void* self);
  // Reports the result in the next iteration of the event loop.
  void FinishLater(int error);
  void Finish(int error);

  const sockaddr_in address_;
  const std::function<void(bool)> done_;
  event_base* const base_;
  Timer finish_timer_;
  EventPtr<event> writable_;
  evutil_socket_t fd_ = -1;
  int error_ = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CONNECT_PROBE_H_
