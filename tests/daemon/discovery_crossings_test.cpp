// Discovery's calls over loopback, against one that fails at the wrong moment: what counts is until when the
// list may be acted on, and what of a list is taken.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "http/connect_probe.h"
#include "http/discovery_client.h"
#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {
namespace {

constexpr Micros kPatience = 30 * kSecond;  // a machine this slow is out of order
constexpr Micros kNotificationBound = WatchScheduler::kNotificationBound;

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string List(int version, bool full, const std::string& names) {
  std::string servers;
  for (const char name : names) {
    servers += servers.empty() ? "" : ",";
    servers += std::string("\n  {\"id\":\"s-") + name +
               "\", \"addr\":\"127.0.0.1:9\", \"zone\":\"a\", \"kind\":\"m\", \"cell\":0,\n   "
               "\"state\":\"SERVING\", \"weight\":1.0, \"started_ms\":0}";
  }
  return "{ \"version\": " + std::to_string(version) + ",\n  \"full\": " + (full ? "true" : "false") +
         ",\n  \"servers\": [" + servers + "] }";
}
const std::string kUnavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// A discovery that answers by a script, and what a dispatcher is told of it.
class Scene : public EventSink {
 public:
  // Of the call's number, from 1, and its head: what is written at once; nothing for one that is left open.
  using Script = std::function<std::string(int call, const std::string& head)>;

  explicit Scene(Script script, Micros drain_grace = 300 * kMillisecond)
      : base_(event_base_new()),
        script_(std::move(script)),
        listener_(OpenListener(base_.get(), {"127.0.0.1", 0}, "discovery",
                               {.function = &Scene::OnAccept, .arg = this})),
        dribble_(base_.get(), [this] { Dribble(); }),
        endpoint_{"127.0.0.1",
                  static_cast<std::uint16_t>(LocalPort(evconnlistener_get_fd(listener_.get())))} {
    const WatchScheduler::Rules rules{WatchScheduler::Kind::kPolled, 10 * kSecond, drain_grace};
    WatchScheduler clock(rules, PollBackoff(1, 5 * kSecond, 7));
    clock.Start(SteadyNow(), 10 * kSecond);
    discovery_ = std::make_unique<DiscoveryClient>(base_.get(), endpoint_, std::nullopt, std::move(clock),
                                                   this, nullptr);
    discovery_->StartWatching();
  }

  void Post(Event event) override {
    if (const auto* good = std::get_if<EndpointListLease>(&event)) {
      valid_until = SteadyNow() + good->remaining;
      if (failures > 0)
        latest_after_failure = std::max(latest_after_failure, valid_until);
    }
    if (std::holds_alternative<EndpointListWatchFailed>(event))
      ++failures;
    if (auto* news = std::get_if<EndpointListUpdate>(&event)) {
      heard_at = SteadyNow();
      lists.push_back(std::move(*news));
    }
  }
  bool Until(const std::function<bool()>& done) {
    for (const Micros end = SteadyNow() + kPatience; !done();) {
      if (SteadyNow() > end)
        return false;
      event_base_loop(base_.get(), EVLOOP_ONCE);
    }
    return true;
  }
  // Nobody listens any more, and what was open ends.
  void Vanish() {
    listener_.reset();
    peers_.clear();
  }
  void DribbleTo(const std::string& text, bool forever) {
    rest_ = text;
    forever_ = forever;
    dribble_.Set(1);
  }
  event_base* base() { return base_.get(); }
  const Endpoint& endpoint() const { return endpoint_; }

  std::vector<EndpointListUpdate> lists;
  std::vector<std::string> calls;
  int failures = 0;
  Micros valid_until = 0, heard_at = 0, latest_after_failure = 0;

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<Scene*>(arg);
    self->peers_.emplace_back(bufferevent_socket_new(self->base_.get(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(self->peers_.back().get(), &Scene::OnRead, nullptr, nullptr, self);
    bufferevent_enable(self->peers_.back().get(), EV_READ | EV_WRITE);
  }
  static void OnRead(bufferevent* peer, void* arg) {
    auto* self = static_cast<Scene*>(arg);
    evbuffer* input = bufferevent_get_input(peer);
    std::string head(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, head.data(), head.size());
    if (!head.ends_with("\r\n\r\n"))
      return;
    evbuffer_drain(input, head.size());
    self->calls.push_back(head);
    self->last_ = peer;
    const std::string answer = self->script_(static_cast<int>(self->calls.size()), head);
    bufferevent_write(peer, answer.data(), answer.size());
  }
  // A byte in each turn of the loop.
  void Dribble() {
    if (rest_.empty())
      return;
    bufferevent_write(last_, rest_.data(), 1);
    if (!forever_)
      rest_.erase(0, 1);
    dribble_.Set(forever_ ? kMillisecond : 1);
  }

  EventPtr<event_base> base_;
  Script script_;
  EventPtr<evconnlistener> listener_;
  std::vector<EventPtr<bufferevent>> peers_;
  bufferevent* last_ = nullptr;
  std::string rest_;
  bool forever_ = false;
  Timer dribble_;
  Endpoint endpoint_;
  std::unique_ptr<DiscoveryClient> discovery_;
};

TEST_CASE("calls that fail do not renew the list: it is good for 6 s from when it was heard") {
  for (const std::string& failing : {kUnavailable, Ok("no list"), Ok("{\"version\":1,\"full\":true}")}) {
    CAPTURE(failing);
    Scene s([&](int call, const std::string&) { return call == 1 ? Ok(List(41, true, "ab")) : failing; });
    REQUIRE(s.Until([&] { return s.failures >= 4; }));
    REQUIRE(s.lists.size() == 1);
    CHECK(s.latest_after_failure <= s.heard_at + kNotificationBound);
  }
}

TEST_CASE("while connects are refused the list stays good: nothing can have been told") {
  Scene s(
      [&](int call, const std::string&) {
        return call == 1 ? Ok(List(41, true, "ab")) : call == 2 ? Ok(List(41, false, "")) : std::string();
      },
      5 * kSecond);
  REQUIRE(s.Until([&] { return s.calls.size() == 3; }));  // a watch that has been heard as one, and goes on
  const Micros gone = SteadyNow();
  s.Vanish();
  CHECK(s.Until([&] { return s.valid_until > gone + kNotificationBound + 500 * kMillisecond; }));
}

TEST_CASE("a connect tells refused only where nobody listens") {
  Scene s([](int, const std::string&) { return std::string(); });
  int refused = 0, met = 0;
  ConnectProbe probe(s.base(), s.endpoint(), [&](bool none) { ++(none ? refused : met); });
  probe.Start();
  REQUIRE(s.Until([&] { return met + refused == 1; }));
  CHECK(met == 1);
  s.Vanish();
  probe.Start();
  REQUIRE(s.Until([&] { return met + refused == 2; }));
  CHECK(refused == 1);
  // Without a descriptor nothing is known; were nobody told, discovery would never be called again.
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const rlimit spent{3, before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &spent);
  probe.Start();
  const bool told = s.Until([&] { return met + refused == 3; });
  setrlimit(RLIMIT_NOFILE, &before);
  REQUIRE(told);
  CHECK(met == 2);
}

TEST_CASE("a list that comes byte by byte, indented, is taken whole") {
  Scene* scene = nullptr;
  Scene s([&](int call, const std::string&) {
    if (call == 1)
      scene->DribbleTo(Ok(List(41, true, "abc")), false);
    return std::string();
  });
  scene = &s;
  REQUIRE(s.Until([&] { return !s.lists.empty(); }));
  CHECK(s.lists[0].form == EndpointListUpdate::Form::kSnapshot);
  CHECK(s.lists[0].workers.size() == 3);
}

TEST_CASE("a list that never ends is called again beside it") {
  Scene* scene = nullptr;
  Scene s([&](int call, const std::string&) {
    if (call > 1)
      return call == 2 ? Ok(List(41, true, "a")) : std::string();
    scene->DribbleTo(" ", true);
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
  });
  scene = &s;
  REQUIRE(s.Until([&] { return !s.lists.empty(); }));
  CHECK(s.lists[0].workers.size() == 1);
}

TEST_CASE("a discovery whose versions began anew is followed from its whole list on") {
  Scene s([&](int call, const std::string&) {
    return call == 1 ? Ok(List(41, true, "ab")) : call == 2 ? Ok(List(3, true, "c")) : std::string();
  });
  REQUIRE(s.Until([&] { return s.calls.size() == 3; }));
  CHECK(s.calls[1].find("index=41&") != std::string::npos);
  CHECK(s.calls[2].find("index=3&") != std::string::npos);
  REQUIRE(s.lists.size() == 2);
  CHECK(s.lists[1].form == EndpointListUpdate::Form::kSnapshot);
  CHECK(s.lists[1].workers.size() == 1);
}

}  // namespace
}  // namespace aldersill
