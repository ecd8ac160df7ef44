// Shared by the worker client's tests: a client on its own event loop, a worker that only listens, and a
// record of the events that the client has posted. A test can act between two callbacks of one iteration of
// the loop.
#ifndef ALDERSILL_TESTS_DAEMON_WORKER_CLIENT_SCENARIO_H_
#define ALDERSILL_TESTS_DAEMON_WORKER_CLIENT_SCENARIO_H_

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "http/worker_client.h"
#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/listener.h"

namespace aldersill::tests {

constexpr int kWaitMs = 20'000;  // for operations of the kernel that always complete, on a slow machine
constexpr AttemptId kAttempt{7};

class OwnedSocket {
 public:
  explicit OwnedSocket(int fd) : fd_(fd) {}
  OwnedSocket(const OwnedSocket&) = delete;
  OwnedSocket& operator=(const OwnedSocket&) = delete;
  ~OwnedSocket() { Close(); }
  void Close() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }
  bool WaitReadable() const {
    pollfd polled{fd_, POLLIN, 0};
    return poll(&polled, 1, kWaitMs) == 1;
  }

 private:
  int fd_;
};

class WorkerClientScenario : public EventSink {
 public:
  WorkerClientScenario()
      : base_(event_base_new()), client(base_.get(), kSecond, 8, this), listener_(Listen()) {}

  void Post(Event event) override {
    if (std::holds_alternative<AttemptConnected>(event)) {
      ++connected;
      if (send_when_connected)
        Send();
    } else if (std::holds_alternative<AttemptSent>(event)) {
      ++sent;
      if (stop_when_sent)
        client.Stop(kAttempt);
    } else {
      ++other_events;
      if (auto* attempt_ended = std::get_if<AttemptEnded>(&event))
        ended = std::move(*attempt_ended);
    }
  }

  // Starts an attempt. Returns once the kernel has established the connection, so that the client is notified
  // in the next iteration of the loop.
  void Start(const std::string& body = "last") {
    auto job = std::make_shared<Job>();
    job->id = "id";
    job->job_class = "cobro";
    job->target = "/";
    job->body = body;
    client.Start({.attempt = kAttempt,
                  .worker = "w",
                  .address = "127.0.0.1:" + std::to_string(LocalPort(listener_.fd())),
                  .source = {},
                  .job = job,
                  .time_left = kSecond});
    REQUIRE(listener_.WaitReadable());
  }

  // The worker's end of the connection.
  int Accept() const {
    const int fd = accept(listener_.fd(), nullptr, nullptr);
    CHECK(fd >= 0);
    return fd;
  }

  // Runs one iteration of the event loop. `between` is called after all events that were ready at its start,
  // and so after the stream has written, but before the deferred callbacks of streams.
  void RunLoopOnce(std::function<void()> between = [] {}) {
    struct Step {
      EventPtr<event> trigger;
      std::function<void()> act;
    };
    Step late{nullptr, std::move(between)};
    Step first{nullptr, [&late] { event_active(late.trigger.get(), 0, 0); }};
    for (Step* step : {&late, &first}) {
      const auto act = [](evutil_socket_t, short, void* self) { static_cast<Step*>(self)->act(); };
      step->trigger.reset(event_new(base_.get(), -1, 0, act, step));
    }
    event_active(first.trigger.get(), 0, 0);
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  }
  void RunLoop(int count) {
    for (int i = 0; i < count; ++i)
      RunLoopOnce();
  }
  void RunUntilSent() {
    while (sent == 0)
      RunLoopOnce();
  }
  // Returns false if the attempt does not end in time.
  bool RunUntilEnded() {
    const timeval wait{kWaitMs / 1000, 0};
    bool timed_out = false;
    const EventPtr<event> timer(event_new(
        base_.get(), -1, 0, [](evutil_socket_t, short, void* flag) { *static_cast<bool*>(flag) = true; },
        &timed_out));
    evtimer_add(timer.get(), &wait);
    while (!ended && !timed_out)
      event_base_loop(base_.get(), EVLOOP_ONCE);
    return ended.has_value();
  }

 private:
  void Send() {
    client.Send({kAttempt, WorkerEndpoint::Source::kDiscovery, kSecond});
    if (after_send)
      after_send();
  }
  static int Listen() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in any_port = ToSockaddr({"127.0.0.1", 0});
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&any_port), sizeof(any_port)) == 0);
    REQUIRE(listen(fd, 8) == 0);
    return fd;
  }

  EventPtr<event_base> base_;

 public:
  WorkerClient client;
  bool stop_when_sent = false;
  bool send_when_connected = true;   // calls Send on AttemptConnected, as the core normally does
  std::function<void()> after_send;  // called immediately after Send
  int connected = 0;
  int sent = 0;
  int other_events = 0;
  std::optional<AttemptEnded> ended;

 private:
  OwnedSocket listener_;
};

// Returns the bytes that have arrived, and leaves them unread. Uses only checks that do not throw, as it may
// be called from a callback of libevent.
inline std::string Peek(const OwnedSocket& peer) {
  CHECK(peer.WaitReadable());
  char bytes[4096];
  const ssize_t size = recv(peer.fd(), bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);
  CHECK(size >= 0);
  return {bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
}

// Whether `request` is complete, if its attempt was started with the body "last".
inline bool IsCompleteRequest(const std::string& request) { return request.ends_with("\r\n\r\nlast"); }

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_WORKER_CLIENT_SCENARIO_H_
