#include "net/timer.h"

#include <utility>

namespace aldersill {

timeval ToTimeval(Micros delay) {
  return {static_cast<time_t>(delay / kSecond), static_cast<suseconds_t>(delay % kSecond)};
}

Timer::Timer(event_base* base, std::function<void()> expired)
    : expired_(std::move(expired)), event_(evtimer_new(base, &Timer::OnExpired, this)) {}

void Timer::Set(Micros delay) {
  const timeval value = ToTimeval(delay);
  evtimer_add(event_.get(), &value);
}

void Timer::Clear() { evtimer_del(event_.get()); }

void Timer::OnExpired(evutil_socket_t, short, void* self) {
  const auto expired = static_cast<Timer*>(self)->expired_;  // a copy, as the call may destroy the timer
  expired();
}

}  // namespace aldersill
