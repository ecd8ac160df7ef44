// What the core may go by when news comes between two callbacks of one turn of the event loop: an execution
// told as handed over may run, any other never ran and may go elsewhere.
#include "http/worker_client.h"

#include <doctest/doctest.h>
#include <malloc.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "net/endpoint.h"
#include "net/event_ptr.h"
#include "net/listener.h"

namespace aldersill {
namespace {

constexpr int kWaitMs = 20'000;  // for what the kernel does anyway: a machine this slow is out of order
constexpr AttemptId kAttempt{7};

class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }
  void Close() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }
  bool WaitReadable() const {
    pollfd p{fd_, POLLIN, 0};
    return poll(&p, 1, kWaitMs) == 1;
  }

 private:
  int fd_;
};

// A link on a loop of its own, an instance that only listens, and what the link told.
class Scene : public EventSink {
 public:
  Scene() : base_(event_base_new()), link(base_.get(), kSecond, 8, this), listener_(Listen()) {}

  void Post(Event event) override {
    if (std::holds_alternative<AttemptConnected>(event)) {
      ++connected;
      if (!send)
        return;
      link.Send({kAttempt, WorkerEndpoint::Source::kDiscovery, kSecond});
      if (once_written)
        once_written();
    } else if (std::holds_alternative<AttemptSent>(event)) {
      ++sent;
      if (stop_when_told)
        link.Stop(kAttempt);
    } else {
      ++others;
      if (auto* one = std::get_if<AttemptEnded>(&event))
        ended = std::move(*one);
    }
  }

  // Returns once the kernel has connected the two, so that the link hears of it in the loop's next turn.
  void Start(const std::string& body = "last") {
    auto job = std::make_shared<Job>();
    job->id = "id";
    job->job_class = "cobro";
    job->target = "/";
    job->body = body;
    link.Start({kAttempt, "w", "127.0.0.1:" + std::to_string(LocalPort(listener_.fd())), {}, job, kSecond});
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

  // Lets the loop run until the execution has ended; false if it does not.
  bool TurnsUntilEnded() {
    const timeval wait{kWaitMs / 1000, 0};
    bool over = false;
    const EventPtr<event> timer(event_new(
        base_.get(), -1, 0, [](evutil_socket_t, short, void* flag) { *static_cast<bool*>(flag) = true; },
        &over));
    evtimer_add(timer.get(), &wait);
    while (!ended && !over)
      event_base_loop(base_.get(), EVLOOP_ONCE);
    return ended.has_value();
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
  WorkerClient link;
  bool stop_when_told = false;
  bool send = true;                    // at once, as a core that has nothing against it
  std::function<void()> once_written;  // called as soon as the link has been asked to write
  int connected = 0;
  int sent = 0;
  int others = 0;
  std::optional<AttemptEnded> ended;

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
    told = scene.sent;
  };
  scene.Turn([] {});
  REQUIRE(IsWhole(seen));
  CHECK(told == 1);
  scene.Turn([] {});
  CHECK(scene.sent == 1);
}

TEST_CASE("a request that the kernel takes in pieces is told as handed over with its last one, not before") {
  Scene scene;
  const std::string body(std::size_t{16} << 20, 'x');  // more than both ends' buffers hold
  scene.Start(body);
  const Socket peer(scene.Accept());
  scene.Turn([] {});
  CHECK(scene.sent == 0);
  std::size_t head = 0, seen = 0, turns = 0;
  const auto is_whole = [&] { return head > 0 && seen == head + body.size(); };
  for (; !is_whole() && turns < 100'000; ++turns) {
    scene.Turn([&] {  // right after the stream has written, before its callbacks
      std::string bytes(std::size_t{1} << 20, 0);
      ssize_t size = 0;
      while ((size = recv(peer.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
        if (head == 0)
          head = bytes.find("\r\n\r\n") + 4;
        seen += static_cast<std::size_t>(size);
      }
      CHECK(scene.sent == (is_whole() ? 1 : 0));
    });
  }
  REQUIRE(is_whole());
  CHECK(scene.others == 0);
}

TEST_CASE(
    "a connection that has come up sends nothing until it is handed over, and nothing if it is stopped") {
  Scene scene;
  scene.send = false;
  scene.Start();
  const Socket peer(scene.Accept());
  for (int i = 0; i < 5; ++i)
    scene.Turn([] {});
  REQUIRE(scene.connected == 1);
  char byte = 0;
  CHECK(recv(peer.fd(), &byte, 1, MSG_DONTWAIT) == -1);
  SUBCASE("handed over") {
    scene.link.Send({kAttempt, WorkerEndpoint::Source::kDiscovery, 123'456});
    const std::string seen = Peek(peer);
    CHECK(IsWhole(seen));
    CHECK(seen.find("\r\nReq-Deadline: 123456u\r\n") != std::string::npos);  // what is left by then
    CHECK(scene.sent == 1);
  }
  SUBCASE("stopped") {
    scene.link.Stop(kAttempt);
    for (int i = 0; i < 3; ++i)
      scene.Turn([] {});
    CHECK(Peek(peer).empty());
    CHECK(scene.sent + scene.others == 0);
  }
}

TEST_CASE("a connection that breaks before the request's last byte is written could not connect") {
  Scene scene;
  scene.Start(std::string(std::size_t{16} << 20, 'x'));
  Socket peer(scene.Accept());
  for (int i = 0; i < 3; ++i)
    scene.Turn([] {});
  REQUIRE(scene.sent == 0);
  peer.Close();
  REQUIRE(scene.TurnsUntilEnded());
  CHECK(scene.ended->outcome == Outcome::kConnectFailed);
}

TEST_CASE("an execution stopped with a part of its request written never lets its last byte go") {
  Scene scene;
  const std::string body(std::size_t{16} << 20, 'x');
  scene.Start(body);
  const Socket peer(scene.Accept());
  for (int i = 0; i < 3; ++i)
    scene.Turn([] {});
  REQUIRE(scene.sent == 0);
  scene.link.Stop(kAttempt);
  for (int i = 0; i < 3; ++i)
    scene.Turn([] {});
  std::string bytes(std::size_t{1} << 20, 0);
  std::size_t seen = 0;
  while (peer.WaitReadable()) {
    const ssize_t size = recv(peer.fd(), bytes.data(), bytes.size(), 0);
    if (size <= 0)
      break;
    seen += static_cast<std::size_t>(size);
  }
  CHECK(seen > 0);
  CHECK(seen < body.size());
  CHECK(scene.sent + scene.others == 0);
}

TEST_CASE("an execution stopped before its hand-over sends no byte") {
  Scene scene;
  scene.Start();
  scene.link.Stop(kAttempt);
  const Socket peer(scene.Accept());
  for (int i = 0; i < 3; ++i)
    scene.Turn([] {});
  CHECK(Peek(peer).empty());  // the end of the stream, and nothing before it
  CHECK(scene.sent + scene.others == 0);
}

TEST_CASE("whoever is told of the hand-over may stop the execution there and then") {
  Scene scene;
  scene.stop_when_told = true;
  scene.Start();
  const Socket peer(scene.Accept());
  for (int i = 0; i < 3; ++i)
    scene.Turn([] {});
  CHECK(IsWhole(Peek(peer)));
  CHECK(scene.sent == 1);
  CHECK(scene.others == 0);
}

// What the instance writes after it has read the request, and how it ends the connection, if it does.
struct AnswerCase {
  std::string what;
  std::string bytes;
  enum class Then { kNothing, kClose, kReset } then;
  Outcome outcome;
};

std::string Chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

TEST_CASE("an answer is its first last line: nothing before it counts as one, and nothing after it is read") {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string until_end = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string done = R"({"id":"id","state":"done","result":"r"})";
  const std::string other = R"({"id":"other","state":"done","result":"x"})";
  const std::string failed = R"({"id":"id","state":"failed"})";
  const std::string returned = R"({"id":"id","state":"returned"})";
  const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(done.size()) + "\r\n\r\n";
  using Then = AnswerCase::Then;
  const AnswerCase cases[] = {
      {"whole", chunked + Chunk(done + "\n") + "0\r\n\r\n", Then::kNothing, Outcome::kServed},
      {"its framing not ended", chunked + Chunk(done + "\n"), Then::kNothing, Outcome::kServed},
      {"garbage in the place of the next chunk", chunked + Chunk(done + "\n") + "no chunk", Then::kNothing,
       Outcome::kServed},
      {"a second answer behind it", chunked + Chunk(done + "\n") + until_end + failed + "\n", Then::kNothing,
       Outcome::kServed},
      {"a second last line", chunked + Chunk(done + "\n" + failed + "\n"), Then::kNothing, Outcome::kServed},
      {"another request's line behind it", chunked + Chunk(done + "\n") + Chunk(other + "\n"), Then::kNothing,
       Outcome::kServed},
      {"another request's line before it", chunked + Chunk(other + "\n") + Chunk(done + "\n"), Then::kNothing,
       Outcome::kError},
      {"no line's end, sized", sized + done, Then::kNothing, Outcome::kServed},
      {"no line's end, chunked", chunked + Chunk(done) + "0\r\n\r\n", Then::kNothing, Outcome::kServed},
      {"no line's end, closed", until_end + done, Then::kClose, Outcome::kServed},
      {"no line's end, closed within the framing", chunked + Chunk(done), Then::kClose, Outcome::kServed},
      {"no line's end, handed back", chunked + Chunk(returned) + "0\r\n\r\n", Then::kNothing, Outcome::kFull},
      {"cut before the last line",
       chunked + Chunk(R"({"id":"id","state":"running"})"
                       "\n"),
       Then::kClose, Outcome::kLost},
      {"cut in the last line", chunked + "40\r\n" + done.substr(0, done.size() - 1), Then::kClose,
       Outcome::kLost},
      {"cut in the last line, with its framing ended",
       chunked + Chunk(done.substr(0, done.size() - 1)) + "0\r\n\r\n", Then::kNothing, Outcome::kLost},
      {"reset in the last line", chunked + "40\r\n" + done.substr(0, 10), Then::kReset, Outcome::kLost},
      {"reset before any", "", Then::kReset, Outcome::kLost},
      {"closed before any", "", Then::kClose, Outcome::kLost},
      {"half a head", chunked.substr(0, 20), Then::kClose, Outcome::kLost},
      {"another's at its end", chunked + Chunk(other) + "0\r\n\r\n", Then::kNothing, Outcome::kLost},
      {"no HTTP", "hello\r\n\r\n", Then::kNothing, Outcome::kError},
      {"a line without end", chunked + Chunk(std::string(200'000, 'x')), Then::kNothing, Outcome::kError},
      {"a head without end", "HTTP/1.1 200 OK\r\nX: " + std::string(200'000, 'x'), Then::kNothing,
       Outcome::kError},
      {"a chunk's extension without end", chunked + "1;" + std::string(200'000, 'x'), Then::kNothing,
       Outcome::kError},
      {"an error's body without end", "HTTP/1.1 500 No\r\n\r\n" + std::string(200'000, 'x'), Then::kNothing,
       Outcome::kError},
  };
  for (const AnswerCase& c : cases) {
    CAPTURE(c.what);
    Scene scene;
    scene.Start();
    Socket peer(scene.Accept());
    while (scene.sent == 0)
      scene.Turn([] {});
    REQUIRE(IsWhole(Peek(peer)));
    if (c.then != AnswerCase::Then::kReset) {  // else the request is left unread, and closing resets
      char bytes[4096];
      REQUIRE(recv(peer.fd(), bytes, sizeof(bytes), 0) > 0);
    }
    for (std::size_t sent = 0; sent < c.bytes.size() && !scene.ended;) {
      const ssize_t n =
          send(peer.fd(), c.bytes.data() + sent, c.bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n > 0)
        sent += static_cast<std::size_t>(n);
      if (sent < c.bytes.size())
        scene.Turn([] {});
    }
    if (c.then != AnswerCase::Then::kNothing)
      peer.Close();
    REQUIRE(scene.TurnsUntilEnded());
    CHECK(scene.ended->outcome == c.outcome);
    CHECK(scene.ended->result == std::string(c.outcome == Outcome::kServed ? "r" : ""));
  }
}

TEST_CASE("an answer that never ends holds no more than a line, and ends when the execution is given up") {
  const std::string endless[] = {"{\"id\":\"id\",\"state\":\"running\",\"share\":0.5}\n", "\n", " \r\n"};
  for (const std::string& line : endless) {
    CAPTURE(line);
    Scene scene;
    scene.Start();
    const Socket peer(scene.Accept());
    while (scene.sent == 0)
      scene.Turn([] {});
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\n";
    while (bytes.size() < (std::size_t{4} << 20))
      bytes += line;
    const std::size_t before = mallinfo2().uordblks;
    std::size_t most = 0;
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t n =
          send(peer.fd(), bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n > 0)
        sent += static_cast<std::size_t>(n);
      scene.Turn([] {});
      most = std::max(most, mallinfo2().uordblks);
    }
    CHECK(most < before + (std::size_t{1} << 20));
    CHECK_FALSE(scene.ended);
    scene.link.Stop(kAttempt);
    for (int i = 0; i < 3; ++i)
      scene.Turn([] {});
    CHECK(peer.WaitReadable());  // its end
    CHECK_FALSE(scene.ended);
  }
}

}  // namespace
}  // namespace aldersill
