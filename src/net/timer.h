// A one-shot timer on a libevent loop.
#ifndef ALDERSILL_SRC_NET_TIMER_H_
#define ALDERSILL_SRC_NET_TIMER_H_

#include <sys/time.h>

#include <functional>

#include "core/types.h"
#include "net/event_ptr.h"

namespace aldersill {

timeval ToTimeval(Micros delay);

// Calls `expired` once for each Set, unless it is cleared or set again first. The callback may destroy the
// timer.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> expired);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Expires `delay` microseconds from now; replaces an earlier setting.
  void Set(Micros delay);
  void Clear();

 private:
  static void OnExpired(evutil_socket_t, short, void* self);

  std::function<void()> expired_;
  EventPtr<event> event_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_TIMER_H_
