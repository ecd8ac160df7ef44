// Watches discovery's list, the name table, over HTTP: one call out at a time, on evhttp's client.
#ifndef ALDERSILL_SRC_HTTP_DISCOVERY_H_
#define ALDERSILL_SRC_HTTP_DISCOVERY_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "core/types.h"
#include "http/call_pacing.h"
#include "net/event_loop.h"

namespace aldersill {

class Discovery {
 public:
  // `known_version`: of the list that is known already; none where it came from elsewhere, so that the first
  // news must be the whole list. `pacing`: when calls may be made. `left`: the watch at the address before, if any;
  // it is listened to until this one's first answer or its own end, as its end comes seconds before that answer
  // where all dispatchers move together.
  Discovery(event_base* base, const Endpoint& endpoint, std::optional<std::uint64_t> known_version,
            CallPacing pacing, EventSink* sink, std::unique_ptr<Discovery> left = nullptr);
  ~Discovery();

  // Begins a watch when the pacing allows the call, unless one is on. What it brings is told as it comes; its
  // end is told once.
  void Watch();

 private:
  static void OnDone(evhttp_request* request, void* self);
  void Leave();
  void Call(Micros wait);
  void Answered(evhttp_request* request);
  void Fail(const char* why);

  event_base* base_;
  const Endpoint endpoint_;
  EventSink* sink_;
  EventPtr<evhttp_connection> connection_;
  std::unique_ptr<Timer> overdue_;
  std::unique_ptr<Timer> renew_;
  std::unique_ptr<Timer> begin_;
  CallPacing pacing_;
  Micros called_at_ = 0, called_wait_ = 0;  // the last call, for the log
  Micros call_from_ = 0;                    // by the steady clock: no call that begins a watch is made before
  evhttp_request* out_ = nullptr;
  std::optional<std::uint64_t> version_;
  bool watching_ = false;    // asked for, and not yet ended
  bool continuing_ = false;  // a call of this watch has been answered
  bool left_ = false;        // a discovery at another address has taken over: no new watch, no word of its end
  std::unique_ptr<Discovery> before_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DISCOVERY_H_
