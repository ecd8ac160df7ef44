// Watches discovery's list, the name table, over HTTP: one call out at a time, on evhttp's client.
#ifndef ALDERSILL_SRC_HTTP_DISCOVERY_H_
#define ALDERSILL_SRC_HTTP_DISCOVERY_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "core/types.h"
#include "net/event_loop.h"

namespace aldersill {

class Discovery {
 public:
  // `known_version`: of the list that is known already; none where it came from elsewhere, so that the first
  // news must be the whole list.
  Discovery(event_base* base, const Endpoint& endpoint, std::optional<std::uint64_t> known_version,
            EventSink* sink);
  ~Discovery();

  // Begins a watch, unless one is on. What it brings is told as it comes; its end is told once.
  void Watch();

 private:
  static void OnDone(evhttp_request* request, void* self);
  void Call(Micros wait);
  void Answered(evhttp_request* request);
  void Fail(const char* why);

  event_base* base_;
  const Endpoint endpoint_;
  EventSink* sink_;
  EventPtr<evhttp_connection> connection_;
  std::unique_ptr<Timer> overdue_;
  std::unique_ptr<Timer> renew_;
  evhttp_request* out_ = nullptr;
  std::optional<std::uint64_t> version_;
  bool watching_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DISCOVERY_H_
