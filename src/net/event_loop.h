// What every part that sits on libevent needs: owners for its objects, timers, listeners.
#ifndef ALDERSILL_SRC_NET_EVENT_LOOP_H_
#define ALDERSILL_SRC_NET_EVENT_LOOP_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/time.h>

#include <functional>
#include <memory>
#include <utility>

#include "core/types.h"
#include "net/endpoint.h"

namespace aldersill {

struct EventDeleter {
  void operator()(event* e) const { event_free(e); }
  void operator()(event_base* b) const { event_base_free(b); }
  void operator()(evhttp* h) const { evhttp_free(h); }
  void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  void operator()(bufferevent* b) const { bufferevent_free(b); }
  void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  void operator()(evbuffer* b) const { evbuffer_free(b); }
};
template <typename T>
using EventPtr = std::unique_ptr<T, EventDeleter>;

inline timeval ToTimeval(Micros delay) {
  return {static_cast<time_t>(delay / kSecond), static_cast<suseconds_t>(delay % kSecond)};
}

// One wait: its own timer of the library, calling `due` once each time it is set.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> due)
      : due_(std::move(due)), event_(evtimer_new(base, &Timer::OnDue, this)) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Set(Micros delay) {
    const timeval tv = ToTimeval(delay);
    evtimer_add(event_.get(), &tv);
  }
  void Clear() { evtimer_del(event_.get()); }

 private:
  static void OnDue(evutil_socket_t, short, void* self) {
    const auto due = static_cast<Timer*>(self)->due_;  // may destroy the timer
    due();
  }
  std::function<void()> due_;
  EventPtr<event> event_;
};

Micros SteadyNow();

sockaddr_in ToSockaddr(const Endpoint& endpoint);
// With TCP_NODELAY, which accepted sockets take over from it. Throws std::runtime_error that names the field.
EventPtr<evconnlistener> ListenOn(event_base* base, const Endpoint& endpoint, const char* field,
                                  evconnlistener_cb accepted, void* arg);
// The same, but nobody can connect before StartListening. `shared`: other processes of this user may have the
// endpoint as well, and the kernel deals out who comes.
EventPtr<evconnlistener> BindOn(event_base* base, const Endpoint& endpoint, const char* field, bool shared,
                                evconnlistener_cb accepted, void* arg);
void StartListening(evconnlistener* listener);
// Of the processes that share an endpoint, by the order in which they began to listen: who comes goes to this
// one from now on, where there is one of that number. False where the kernel does not do that.
bool RouteNewConnectionsTo(evutil_socket_t listener, unsigned number);
int PortOf(evutil_socket_t fd);  // where it listens: the kernel chose if the endpoint had none

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_EVENT_LOOP_H_
