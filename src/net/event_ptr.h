// Owning pointers for libevent's objects. Each frees its object with libevent's own function.
#ifndef ALDERSILL_SRC_NET_EVENT_PTR_H_
#define ALDERSILL_SRC_NET_EVENT_PTR_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>

namespace aldersill {

struct EventDeleter {
  void operator()(event* object) const { event_free(object); }
  void operator()(event_base* object) const { event_base_free(object); }
  void operator()(evhttp* object) const { evhttp_free(object); }
  void operator()(evhttp_connection* object) const { evhttp_connection_free(object); }
  void operator()(bufferevent* object) const { bufferevent_free(object); }
  void operator()(evconnlistener* object) const { evconnlistener_free(object); }
  void operator()(evbuffer* object) const { evbuffer_free(object); }
};

template <typename T>
using EventPtr = std::unique_ptr<T, EventDeleter>;

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_EVENT_PTR_H_
