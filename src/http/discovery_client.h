// Watches discovery's list, the name table, over HTTP, on evhttp's client: mostly one call out at a time, and
// more beside it where one may have been lost.
#ifndef ALDERSILL_SRC_HTTP_DISCOVERY_CLIENT_H_
#define ALDERSILL_SRC_HTTP_DISCOVERY_CLIENT_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/types.h"
#include "http/connect_probe.h"
#include "http/watch_scheduler.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill {

class DiscoveryClient {
 public:
  // `known_version`: of the list that is known already; none where it came from elsewhere, so that the first
  // news must be the whole list. `clock`: when calls may be made; it has begun. `left`: the watch at the
  // address before, if any; it is listened to until this one's first answer or its own end, as its end comes
  // seconds before that answer where all dispatchers move together.
  DiscoveryClient(event_base* base, const Endpoint& endpoint, std::optional<std::uint64_t> known_version,
                  WatchScheduler clock, EventSink* sink, std::unique_ptr<DiscoveryClient> left = nullptr);
  ~DiscoveryClient();

  // Begins to watch, unless begun, and goes on for the life of this: a watch that has ended or fallen silent
  // is opened anew when the clock allows it. What it brings is told as it comes, its end once, and with each
  // step for how long the list is good.
  void StartWatching();

 private:
  // One connection, and the call that is out on it, if any.
  struct Line {
    DiscoveryClient* owner = nullptr;
    EventPtr<evhttp_connection> connection;
    evhttp_request* out = nullptr;
    Micros called_at = 0, called_wait = 0;
  };
  static void OnDone(evhttp_request* request, void* line);
  void Leave(DiscoveryClient* after);
  void Call();
  void Answered(Line* line, evhttp_request* request);
  // `answered`: discovery itself said no.
  void Fail(Line* line, const char* why, bool answered = false);
  void Probed(bool refused);
  void Cancel(Line* line);
  void Schedule();
  bool AnyOut() const;

  event_base* base_;
  const Endpoint endpoint_;
  EventSink* sink_;
  WatchScheduler clock_;
  std::array<Line, 4> lines_;  // calls to an agent follow one another by 120 ms: one gets half a second
  Line* last_ = &lines_[0];    // its connection answered last
  std::unique_ptr<Timer> next_, next_probe_;
  ConnectProbe probe_;
  std::optional<std::uint64_t> version_;
  bool watching_ = false;    // begun
  bool continuing_ = false;  // the watch is on: the last call that ended was answered
  bool refused_ = false;     // nobody was there when it was tried last
  bool left_ = false;  // a discovery at another address has taken over: no new watch, no word of its end
  std::unique_ptr<DiscoveryClient> before_;
  DiscoveryClient* after_ = nullptr;  // the one that has taken over
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_DISCOVERY_CLIENT_H_
