// What the core may go by when news comes between two callbacks of one turn of the event loop: an execution
// told as handed over may run, any other never ran and may go elsewhere.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "http/instance_link.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace aldersill {
namespace {

constexpr int kWaitMs = 20'000;  // for what the kernel does anyway: a machine this slow is out of order
constexpr ExecutionNo kExecution{7};

class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(fd_); }
  int fd() const { return fd_; }
  bool WaitReadable() const {
    pollfd p{fd_, POLLIN, 0};
    return poll(&p, 1, kWaitMs) == 1;
  }

 private:
  const int fd_;
};

// A link on a loop of its own, an instance that only listens, and what the link told.
class Scene : public EventSink {
 public:
  Scene() : base_(event_base_new()), link(base_.get(), kSecond, 8, this), listener_(Listen()) {}

  void Tell(Event event) override {
    if (std::holds_alternative<ExecutionConnected>(event)) {
      ++connected;
      if (!hand_over) return;
      link.HandOver({kExecution, Instance::Source::kDiscovery, kSecond});
      if (once_written) once_written();
    } else if (std::holds_alternative<ExecutionHandedOver>(event)) {
      ++handed_over;
      if (stop_when_told) link.Stop(kExecution);
    } else {
      ++others;
    }
  }

  // Returns once the kernel has connected the two, so that the link hears of it in the loop's next turn.
  void Start(const std::string& body = "last") {
    auto job = std::make_shared<Job>();
    job->id = "id";
    job->klass = "cobro";
    job->target = "/";
    job->body = body;
    link.Start({kExecution, "w", "127.0.0.1:" + std::to_string(PortOf(listener_.fd())), {}, job, kSecond});
    REQUIRE(listener_.WaitReadable());
  }

  int Accept() const {
    const int fd = accept(listener_.fd(), nullptr, nullptr);
    CHECK(fd >= 0);
    return fd;
  }

  // One turn. `between` runs after whatever was ready when the turn began, so after the stream has written,
  // and before what that has put off, so before the stream's deferred callbacks.
  void Turn(std::function<void()> between) {
    struct Step {
      EventPtr<event> trigger;
      std::function<void()> act;
    } late{nullptr, std::move(between)}, first{nullptr, [&late] { event_active(late.trigger.get(), 0, 0); }};
    for (Step* step : {&late, &first}) {
      const auto act = [](evutil_socket_t, short, void* self) { static_cast<Step*>(self)->act(); };
      step->trigger.reset(event_new(base_.get(), -1, 0, act, step));
    }
    event_active(first.trigger.get(), 0, 0);
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  }

 private:
  static int Listen() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in any_port = ToSockaddr({"127.0.0.1", 0});
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&any_port), sizeof(any_port)) == 0);
    REQUIRE(listen(fd, 8) == 0);
    return fd;
  }

  EventPtr<event_base> base_;

 public:
  InstanceLink link;
  bool stop_when_told = false;
  bool hand_over = true;               // at once, as a core that has nothing against it
  std::function<void()> once_written;  // called as soon as the link has been asked to write
  int connected = 0;
  int handed_over = 0;
  int others = 0;

 private:
  Socket listener_;
};

// Throws nothing: libevent's frames may be above it.
std::string Peek(const Socket& peer) {
  CHECK(peer.WaitReadable());
  char bytes[4096];
  const ssize_t size = recv(peer.fd(), bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);
  CHECK(size >= 0);
  return {bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
}

bool IsWhole(const std::string& request) { return request.ends_with("\r\n\r\nlast"); }

TEST_CASE("once the instance can have the whole request, the hand-over has been told") {
  Scene scene;
  scene.Start();
  std::string seen;
  int told = 0;
  scene.once_written = [&] {
    const Socket peer(scene.Accept());
    seen = Peek(peer);
    told = scene.handed_over;
  };
  scene.Turn([] {});
  REQUIRE(IsWhole(seen));
  CHECK(told == 1);
  scene.Turn([] {});
  CHECK(scene.handed_over == 1);
}

TEST_CASE("a request that the kernel takes in pieces is told as handed over with its last one, not before") {
  Scene scene;
  const std::string body(std::size_t{16} << 20, 'x');  // more than both ends' buffers hold
  scene.Start(body);
  const Socket peer(scene.Accept());
  scene.Turn([] {});
  CHECK(scene.handed_over == 0);
  std::size_t head = 0, seen = 0, turns = 0;
  const auto is_whole = [&] { return head > 0 && seen == head + body.size(); };
  for (; !is_whole() && turns < 100'000; ++turns) {
    scene.Turn([&] {  // right after the stream has written, before its callbacks
      std::string bytes(std::size_t{1} << 20, 0);
      ssize_t size = 0;
      while ((size = recv(peer.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
        if (head == 0) head = bytes.find("\r\n\r\n") + 4;
        seen += static_cast<std::size_t>(size);
      }
      CHECK(scene.handed_over == (is_whole() ? 1 : 0));
    });
  }
  REQUIRE(is_whole());
  CHECK(scene.others == 0);
}

TEST_CASE(
    "a connection that has come up sends nothing until it is handed over, and nothing if it is stopped") {
  Scene scene;
  scene.hand_over = false;
  scene.Start();
  const Socket peer(scene.Accept());
  for (int i = 0; i < 5; ++i) scene.Turn([] {});
  REQUIRE(scene.connected == 1);
  char byte = 0;
  CHECK(recv(peer.fd(), &byte, 1, MSG_DONTWAIT) == -1);
  SUBCASE("handed over") {
    scene.link.HandOver({kExecution, Instance::Source::kDiscovery, 123'456});
    const std::string seen = Peek(peer);
    CHECK(IsWhole(seen));
    CHECK(seen.find("\r\nReq-Deadline: 123456u\r\n") != std::string::npos);  // what is left by then
    CHECK(scene.handed_over == 1);
  }
  SUBCASE("stopped") {
    scene.link.Stop(kExecution);
    for (int i = 0; i < 3; ++i) scene.Turn([] {});
    CHECK(Peek(peer).empty());
    CHECK(scene.handed_over + scene.others == 0);
  }
}

TEST_CASE("an execution stopped with a part of its request written never lets its last byte go") {
  Scene scene;
  const std::string body(std::size_t{16} << 20, 'x');
  scene.Start(body);
  const Socket peer(scene.Accept());
  for (int i = 0; i < 3; ++i) scene.Turn([] {});
  REQUIRE(scene.handed_over == 0);
  scene.link.Stop(kExecution);
  for (int i = 0; i < 3; ++i) scene.Turn([] {});
  std::string bytes(std::size_t{1} << 20, 0);
  std::size_t seen = 0;
  while (peer.WaitReadable()) {
    const ssize_t size = recv(peer.fd(), bytes.data(), bytes.size(), 0);
    if (size <= 0) break;
    seen += static_cast<std::size_t>(size);
  }
  CHECK(seen > 0);
  CHECK(seen < body.size());
  CHECK(scene.handed_over + scene.others == 0);
}

TEST_CASE("an execution stopped before its hand-over sends no byte") {
  Scene scene;
  scene.Start();
  scene.link.Stop(kExecution);
  const Socket peer(scene.Accept());
  for (int i = 0; i < 3; ++i) scene.Turn([] {});
  CHECK(Peek(peer).empty());  // the end of the stream, and nothing before it
  CHECK(scene.handed_over + scene.others == 0);
}

TEST_CASE("whoever is told of the hand-over may stop the execution there and then") {
  Scene scene;
  scene.stop_when_told = true;
  scene.Start();
  const Socket peer(scene.Accept());
  for (int i = 0; i < 3; ++i) scene.Turn([] {});
  CHECK(IsWhole(Peek(peer)));
  CHECK(scene.handed_over == 1);
  CHECK(scene.others == 0);
}

}  // namespace
}  // namespace aldersill
