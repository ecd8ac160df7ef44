// Tests the discovery client over loopback against a scripted discovery that fails at critical moments: for
// how long the list stays valid, and which lists are accepted.
#include "http/discovery_client.h"

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
#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {
namespace {

constexpr Micros kTimeout = 30 * kSecond;  // long enough for a slow machine
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

// A scripted discovery, a client that watches it, and the events that the client has posted.
class DiscoveryScenario : public EventSink {
 public:
  // Returns the bytes to write immediately in answer to a poll, given its number (from 1) and its request
  // head; an empty string leaves the poll unanswered.
  using Script = std::function<std::string(int poll, const std::string& head)>;

  explicit DiscoveryScenario(Script script, Micros drain_grace = 300 * kMillisecond)
      : base_(event_base_new()),
        script_(std::move(script)),
        listener_(OpenListener(base_.get(), {"127.0.0.1", 0}, "discovery",
                               {.function = &DiscoveryScenario::OnAccept, .arg = this})),
        byte_timer_(base_.get(), [this] { WriteNextByte(); }),
        endpoint_{"127.0.0.1",
                  static_cast<std::uint16_t>(LocalPort(evconnlistener_get_fd(listener_.get())))} {
    const WatchScheduler::Settings settings{
        .kind = WatchScheduler::Kind::kPolled, .max_poll_interval = 10 * kSecond, .drain_grace = drain_grace};
    WatchScheduler scheduler(settings, PollBackoff(1, 5 * kSecond, 7));
    scheduler.Start(SteadyNow(), 10 * kSecond);
    discovery_ = std::make_unique<DiscoveryClient>(base_.get(), endpoint_, std::nullopt, std::move(scheduler),
                                                   this, nullptr);
    discovery_->StartWatching();
  }

  void Post(Event event) override {
    if (const auto* lease = std::get_if<EndpointListLease>(&event)) {
      valid_until = SteadyNow() + lease->remaining;
      if (failures > 0)
        latest_after_failure = std::max(latest_after_failure, valid_until);
    }
    if (std::holds_alternative<EndpointListWatchFailed>(event))
      ++failures;
    if (auto* update = std::get_if<EndpointListUpdate>(&event)) {
      list_received_at = SteadyNow();
      lists.push_back(std::move(*update));
    }
  }
  bool RunUntil(const std::function<bool()>& done) {
    for (const Micros end = SteadyNow() + kTimeout; !done();) {
      if (SteadyNow() > end)
        return false;
      event_base_loop(base_.get(), EVLOOP_ONCE);
    }
    return true;
  }
  // Stops listening and closes all connections of the discovery.
  void Stop() {
    listener_.reset();
    peers_.clear();
  }
  void WriteByteByByte(const std::string& text, bool repeat_first_byte) {
    unwritten_ = text;
    repeats_first_byte_ = repeat_first_byte;
    byte_timer_.Set(1);
  }
  event_base* base() { return base_.get(); }
  const Endpoint& endpoint() const { return endpoint_; }

  std::vector<EndpointListUpdate> lists;
  std::vector<std::string> polls;
  int failures = 0;
  Micros valid_until = 0, list_received_at = 0, latest_after_failure = 0;

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<DiscoveryScenario*>(arg);
    self->peers_.emplace_back(bufferevent_socket_new(self->base_.get(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(self->peers_.back().get(), &DiscoveryScenario::OnRead, nullptr, nullptr, self);
    bufferevent_enable(self->peers_.back().get(), EV_READ | EV_WRITE);
  }
  static void OnRead(bufferevent* peer, void* arg) {
    auto* self = static_cast<DiscoveryScenario*>(arg);
    evbuffer* input = bufferevent_get_input(peer);
    std::string head(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, head.data(), head.size());
    if (!head.ends_with("\r\n\r\n"))
      return;
    evbuffer_drain(input, head.size());
    self->polls.push_back(head);
    self->last_polled_peer_ = peer;
    const std::string answer = self->script_(static_cast<int>(self->polls.size()), head);
    bufferevent_write(peer, answer.data(), answer.size());
  }
  // Writes one byte in each iteration of the event loop.
  void WriteNextByte() {
    if (unwritten_.empty())
      return;
    bufferevent_write(last_polled_peer_, unwritten_.data(), 1);
    if (!repeats_first_byte_)
      unwritten_.erase(0, 1);
    byte_timer_.Set(repeats_first_byte_ ? kMillisecond : 1);
  }

  EventPtr<event_base> base_;
  Script script_;
  EventPtr<evconnlistener> listener_;
  std::vector<EventPtr<bufferevent>> peers_;
  bufferevent* last_polled_peer_ = nullptr;
  std::string unwritten_;
  bool repeats_first_byte_ = false;
  Timer byte_timer_;
  Endpoint endpoint_;
  std::unique_ptr<DiscoveryClient> discovery_;
};

TEST_CASE("failed polls do not extend the lease: the list is valid for 6 s after it was received") {
  for (const std::string& failing : {kUnavailable, Ok("no list"), Ok("{\"version\":1,\"full\":true}")}) {
    CAPTURE(failing);
    DiscoveryScenario scenario(
        [&](int poll, const std::string&) { return poll == 1 ? Ok(List(41, true, "ab")) : failing; });
    REQUIRE(scenario.RunUntil([&] { return scenario.failures >= 4; }));
    REQUIRE(scenario.lists.size() == 1);
    CHECK(scenario.latest_after_failure <= scenario.list_received_at + kNotificationBound);
  }
}

TEST_CASE("the list stays valid while connects are refused, as no change can have been notified") {
  DiscoveryScenario scenario(
      [&](int poll, const std::string&) {
        return poll == 1 ? Ok(List(41, true, "ab")) : poll == 2 ? Ok(List(41, false, "")) : std::string();
      },
      5 * kSecond);
  REQUIRE(scenario.RunUntil([&] {
    return scenario.polls.size() == 3;
  }));  // the second poll was answered on a watch, and the third continues the watch
  const Micros stopped_at = SteadyNow();
  scenario.Stop();
  CHECK(scenario.RunUntil(
      [&] { return scenario.valid_until > stopped_at + kNotificationBound + 500 * kMillisecond; }));
}

TEST_CASE("a connect probe reports refused only if no process listens") {
  DiscoveryScenario scenario([](int, const std::string&) { return std::string(); });
  int refused = 0, not_refused = 0;
  ConnectProbe probe(scenario.base(), scenario.endpoint(),
                     [&](bool was_refused) { ++(was_refused ? refused : not_refused); });
  probe.Start();
  REQUIRE(scenario.RunUntil([&] { return not_refused + refused == 1; }));
  CHECK(not_refused == 1);
  scenario.Stop();
  probe.Start();
  REQUIRE(scenario.RunUntil([&] { return not_refused + refused == 2; }));
  CHECK(refused == 1);
  // Without a free descriptor the result is unknown. `done` must still be called, or discovery would never be
  // polled again.
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const rlimit exhausted{3, limit.rlim_max};
  setrlimit(RLIMIT_NOFILE, &exhausted);
  probe.Start();
  const bool finished = scenario.RunUntil([&] { return not_refused + refused == 3; });
  setrlimit(RLIMIT_NOFILE, &limit);
  REQUIRE(finished);
  CHECK(not_refused == 2);
}

TEST_CASE("an indented list that arrives byte by byte is accepted completely") {
  DiscoveryScenario* target = nullptr;
  DiscoveryScenario scenario([&](int poll, const std::string&) {
    if (poll == 1)
      target->WriteByteByByte(Ok(List(41, true, "abc")), false);
    return std::string();
  });
  target = &scenario;
  REQUIRE(scenario.RunUntil([&] { return !scenario.lists.empty(); }));
  CHECK(scenario.lists[0].form == EndpointListUpdate::Form::kSnapshot);
  CHECK(scenario.lists[0].workers.size() == 3);
}

TEST_CASE("another poll is sent while an answer that never ends is being received") {
  DiscoveryScenario* target = nullptr;
  DiscoveryScenario scenario([&](int poll, const std::string&) {
    if (poll > 1)
      return poll == 2 ? Ok(List(41, true, "a")) : std::string();
    target->WriteByteByByte(" ", true);
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
  });
  target = &scenario;
  REQUIRE(scenario.RunUntil([&] { return !scenario.lists.empty(); }));
  CHECK(scenario.lists[0].workers.size() == 1);
}

TEST_CASE("after discovery's versions restart, polls continue from the version of its snapshot") {
  DiscoveryScenario scenario([&](int poll, const std::string&) {
    return poll == 1 ? Ok(List(41, true, "ab")) : poll == 2 ? Ok(List(3, true, "c")) : std::string();
  });
  REQUIRE(scenario.RunUntil([&] { return scenario.polls.size() == 3; }));
  CHECK(scenario.polls[1].find("index=41&") != std::string::npos);
  CHECK(scenario.polls[2].find("index=3&") != std::string::npos);
  REQUIRE(scenario.lists.size() == 2);
  CHECK(scenario.lists[1].form == EndpointListUpdate::Form::kSnapshot);
  CHECK(scenario.lists[1].workers.size() == 1);
}

}  // namespace
}  // namespace aldersill
