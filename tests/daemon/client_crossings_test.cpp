// Service clients' connections in narrow moments: what comes, ends or is reset just while the daemon holds,
// answers, closes or is told to end. Each crossing is forced over loopback, with a worker that answers only
// when the test wants it to.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "daemon_under_test.h"
#include "player.h"

namespace aldersill::tests {
namespace {

using tools::Socket;
using Clock = std::chrono::steady_clock;

constexpr int kPatienceMs = 15'000;

bool Readable(const Socket& socket, int patience_ms = kPatienceMs) {
  pollfd one{socket.fd(), POLLIN, 0};
  return poll(&one, 1, patience_ms) == 1;
}

Socket Accept(const Socket& listener) {
  REQUIRE(Readable(listener));
  return Socket(accept(listener.fd(), nullptr, nullptr));
}

// False where the peer takes no more for too long, or has gone.
bool Send(const Socket& socket, const std::string& text) {
  const timeval patience{kPatienceMs / 1'000, 0};
  setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = send(socket.fd(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

enum class End { kOpen, kClosed, kReset };
struct Heard {
  std::string text;
  End end = End::kOpen;
};
// Reads up to `marker`, or to the end where it is empty, or as long as patience lasts.
Heard Hear(const Socket& socket, const std::string& marker = "") {
  Heard heard;
  char buffer[4096];
  while ((marker.empty() || heard.text.find(marker) == std::string::npos) && Readable(socket)) {
    const ssize_t size = recv(socket.fd(), buffer, sizeof(buffer), 0);
    if (size <= 0) {
      heard.end = size == 0 ? End::kClosed : End::kReset;
      break;
    }
    heard.text.append(buffer, static_cast<std::size_t>(size));
  }
  return heard;
}

std::string Request(const std::string& id, const std::string& body = "", int deadline_ms = 20'000,
                    const std::string& job_class = "cobro") {
  return "POST /" + job_class + " HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nReq-Kind: " + job_class +
         "\r\nReq-Owner: hogar-del-sur\r\nReq-Deadline: " + std::to_string(deadline_ms) +
         "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kReady = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kServed = "HTTP/1.1 200 OK\r\n";
const std::string kUnavailable = "HTTP/1.1 503 Service Unavailable\r\n";

// The daemon with one worker, which the test plays.
class Rig {
 public:
  explicit Rig(nlohmann::json changes = nlohmann::json::object()) {
    config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config.erase("discovery");
    config["known"]["servers"] = {{{"id", "s-1"},
                                   {"addr", "127.0.0.1:" + std::to_string(tools::PortOf(worker))},
                                   {"zone", "quilicura"},
                                   {"state", "SERVING"}}};
    // No job waits for its tokens here.
    for (auto& tenant : config["settings"]["tenants"])
      tenant["quotaPerS"] = 1000.0;
    for (const auto& [pointer, value] : changes.items())
      config[nlohmann::json::json_pointer(pointer)] = value;
    daemon.emplace(config, nlohmann::json::object());
    REQUIRE(daemon->ports().contains("http"));
  }
  Socket Connect() const { return tools::ConnectTo(daemon->ports().at("http")); }
  // The next execution's connection, with its whole head read.
  Socket Attempt(const std::string& id) const {
    Socket attempt = Accept(worker);
    REQUIRE(Hear(attempt, "\r\n\r\n").text.find("Req-Id: " + id + "\r\n") != std::string::npos);
    return attempt;
  }
  static void Done(const Socket& attempt, const std::string& id) {
    const std::string line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"ran " + id + "\"}\n";
    REQUIRE(Send(attempt,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) + "\r\n\r\n" + line));
  }
  bool NothingSentOn() const { return !Readable(worker, 0); }

  const Socket worker = tools::ListenOn(0);
  nlohmann::json config;
  std::optional<DaemonUnderTest> daemon;
};

// The configuration of a daemon that has `discovery` and remembers its worker, and another that was started
// so long ago.
nlohmann::json Remembering(const Rig& rig, const Socket& discovery, std::chrono::milliseconds started_ago) {
  using std::chrono::system_clock, std::chrono::duration_cast, std::chrono::milliseconds;
  const auto started = duration_cast<milliseconds>(system_clock::now().time_since_epoch()) - started_ago;
  nlohmann::json config = rig.config;
  nlohmann::json other = config["known"]["servers"][0];
  other["id"] = "s-2";
  other["started_ms"] = started.count();
  config["known"]["servers"].push_back(other);
  config["discovery"] = "127.0.0.1:" + std::to_string(tools::PortOf(discovery));
  return config;
}

void Reset(Socket* socket) {
  const linger at_once{1, 0};
  setsockopt(socket->fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  socket->Close();
}

// ---- A request in hand ----

TEST_CASE("a client that sends much behind its request and goes is seen to go") {
  for (const std::size_t flood : {std::size_t{0}, std::size_t{200} << 10, std::size_t{8} << 20}) {
    for (const bool reset : {false, true}) {
      CAPTURE(flood);
      CAPTURE(reset);
      Rig rig;
      Socket client = rig.Connect();
      REQUIRE(Send(client, Request("r1")));
      const Socket attempt = rig.Attempt("r1");
      CHECK(Send(client, std::string(flood, 'x')));
      reset ? Reset(&client) : client.Close();
      CHECK(Hear(attempt).end != End::kOpen);
    }
  }
}

TEST_CASE("a client that only ends its sending counts as gone while its request is in hand") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket attempt = rig.Attempt("r1");
  shutdown(client.fd(), SHUT_WR);
  CHECK(Hear(attempt).end != End::kOpen);
  CHECK(Hear(client).text.empty());
}

TEST_CASE("a second request behind the one in hand is served after it, however large it may be") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket first = rig.Attempt("r1");
  REQUIRE(Send(client, Request("r2", std::string(64 << 10, 'b'))));
  Rig::Done(first, "r1");
  CHECK(Hear(client, "ran r1").text.starts_with(kServed));
  const Socket second = rig.Attempt("r2");
  Rig::Done(second, "r2");
  CHECK(Hear(client, "ran r2").text.starts_with(kServed));
}

TEST_CASE("what no honest client sends behind its request ends the connection, after its answer") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket attempt = rig.Attempt("r1");
  // More than the system holds: what is sent has been read, but for some of it.
  REQUIRE(Send(client, std::string(32 << 20, 'x')));
  Rig::Done(attempt, "r1");
  const Heard heard = Hear(client);
  CHECK(heard.end == End::kClosed);
  CHECK(heard.text.starts_with(kServed + "Connection: close\r\n"));
  CHECK(heard.text.ends_with("ran r1"));
}

// ---- What comes in one moment ----

// Until the daemon holds so many descriptors: it has accepted.
void AwaitDescriptors(const Rig& rig, long count) {
  const std::filesystem::path folder = "/proc/" + std::to_string(rig.daemon->pid()) + "/fd";
  while (std::distance(std::filesystem::directory_iterator(folder), {}) < count)
    std::this_thread::yield();
}
long Descriptors(const Rig& rig) {
  const std::filesystem::path folder = "/proc/" + std::to_string(rig.daemon->pid()) + "/fd";
  return std::distance(std::filesystem::directory_iterator(folder), {});
}

TEST_CASE("nothing is sent on for a client whose end comes with its whole request") {
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    Rig rig;
    Socket client = rig.Connect();
    const long before = Descriptors(rig);
    REQUIRE(Send(client, kReady));
    REQUIRE(Hear(client, "ready\n").text.starts_with(kServed));
    CHECK(Descriptors(rig) <= before + 1);
    rig.daemon->Suspend();
    REQUIRE(Send(client, Request("r1")));
    reset ? Reset(&client) : client.Close();
    rig.daemon->Signal(SIGCONT);
    rig.daemon->Signal(SIGTERM);
    CHECK(rig.daemon->WaitForExit() == 0);  // not before it has let go of the client
    CHECK(rig.NothingSentOn());
  }
}

TEST_CASE("no further attempt begins for a client whose end comes with the loss of the attempt before") {
  const Socket one = tools::ListenOn(0), two = tools::ListenOn(0);
  nlohmann::json servers;
  for (const Socket* listener : {&one, &two})
    servers.push_back({{"id", "s-" + std::to_string(servers.size())},
                       {"addr", "127.0.0.1:" + std::to_string(tools::PortOf(*listener))},
                       {"zone", "quilicura"},
                       {"state", "SERVING"}});
  Rig rig(nlohmann::json{{"/known/servers", servers}});
  Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1", "", 9'000, "certificado")));  // may be sent again
  pollfd both[] = {{one.fd(), POLLIN, 0}, {two.fd(), POLLIN, 0}};
  REQUIRE(poll(both, 2, kPatienceMs) == 1);
  Socket attempt = Accept(both[0].revents != 0 ? one : two);
  REQUIRE(!Hear(attempt, "\r\n\r\n").text.empty());
  rig.daemon->Suspend();
  attempt.Close();
  client.Close();
  rig.daemon->Signal(SIGCONT);
  rig.daemon->Signal(SIGTERM);
  CHECK(rig.daemon->WaitForExit() == 0);
  CHECK(poll(both, 2, 0) == 0);
}

TEST_CASE("the first request on a connection is read though its time is over in the same moment") {
  Rig rig;
  const long before = Descriptors(rig);
  const Socket client = rig.Connect();
  AwaitDescriptors(rig, before + 1);
  rig.daemon->Suspend();
  std::this_thread::sleep_for(std::chrono::milliseconds(2'600));  // longer than a request may take to come
  REQUIRE(Send(client, kReady));
  rig.daemon->Signal(SIGCONT);
  CHECK(Hear(client, "ready\n").text.starts_with(kServed));
}

int Count(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

// ---- SIGTERM ----

TEST_CASE("what crosses the close of an idle connection is not sent on, and resets nothing") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, kReady));
  REQUIRE(Hear(client, "ready\n").text.starts_with(kServed));
  rig.daemon->Signal(SIGTERM);
  REQUIRE(Readable(client));  // its end, which this client has not looked at
  CHECK(Send(client, Request("r1", "whole")));
  CHECK(Send(client, Request("r2", "whole")));  // it would fail after a reset
  const Heard heard = Hear(client);
  CHECK(heard.text.empty());
  CHECK(heard.end == End::kClosed);
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(client.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  CHECK(error == 0);
  CHECK(rig.daemon->WaitForExit() == 0);  // though the client keeps its side open
  CHECK(rig.NothingSentOn());
}

TEST_CASE("a second request behind the one in hand is not taken once the daemon is told to end") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket attempt = rig.Attempt("r1");
  REQUIRE(Send(client, Request("r2")));
  for (const int number : {SIGTERM, SIGTERM, SIGHUP})
    rig.daemon->Signal(number);
  REQUIRE(rig.daemon->WaitForLogLine("draining"));
  Rig::Done(attempt, "r1");
  const Heard heard = Hear(client);
  CHECK(heard.end == End::kClosed);
  CHECK(heard.text.starts_with(kServed + "Connection: close\r\n"));
  CHECK(Count(heard.text, "HTTP/1.1 ") == 1);
  CHECK(rig.daemon->WaitForExit() == 0);
  CHECK(rig.NothingSentOn());
}

TEST_CASE("half a request comes whole during the drain: it is answered before SIGKILL may come") {
  Rig rig;
  const Socket client = rig.Connect();
  const std::string request = Request("r1", "half, and the rest");
  REQUIRE(Send(client, request.substr(0, request.size() - 8)));
  const auto signalled = Clock::now();
  rig.daemon->Signal(SIGTERM);
  REQUIRE(rig.daemon->WaitForLogLine("draining"));
  std::this_thread::sleep_until(signalled + std::chrono::milliseconds(800));  // when it counts as late
  REQUIRE(Send(client, request.substr(request.size() - 8)));
  const Socket attempt = rig.Attempt("r1");
  // The worker does not answer. By its own word the client waits for 20 s, SIGKILL comes after 3.7 s.
  const Heard heard = Hear(client);
  CHECK(heard.text.starts_with("HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\n"));
  CHECK(rig.daemon->WaitForExit() == 0);
  CHECK(Clock::now() - signalled < std::chrono::seconds(10));
}

// All classes have this deadline.
nlohmann::json Deadlines(std::int64_t micros) {
  nlohmann::json changes;
  for (const char* job_class : {"0", "1", "2"})
    changes["/settings/grades/" + std::string(job_class) + "/deadline"] = micros;
  return changes;
}

TEST_CASE("a request that comes whole too late in the drain is refused at once") {
  Rig rig(Deadlines(400'000));
  const Socket client = rig.Connect();
  const std::string request = Request("r1", "half, and the rest", 400);
  REQUIRE(Send(client, request.substr(0, request.size() - 8)));
  rig.daemon->Signal(SIGTERM);
  REQUIRE(rig.daemon->WaitForLogLine("draining"));
  // It stands still past the time when all answers have to be out, so that the rest and the end of that time
  // come in one moment.
  rig.daemon->Suspend();
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  REQUIRE(Send(client, request.substr(request.size() - 8)));
  rig.daemon->Signal(SIGCONT);
  const Heard heard = Hear(client);
  CHECK(heard.text.starts_with("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: "));
  CHECK(heard.end == End::kClosed);
  CHECK(rig.daemon->WaitForExit() == 0);
  CHECK(rig.NothingSentOn());
}

TEST_CASE("half a request that never comes whole does not hold up the drain of short deadlines") {
  Rig rig(Deadlines(100'000));
  const Socket client = rig.Connect();
  const auto began = Clock::now();
  REQUIRE(Send(client, Request("r1", "half").substr(0, 40)));
  rig.daemon->Signal(SIGTERM);
  CHECK(Hear(client).text.starts_with("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"));
  CHECK(rig.daemon->WaitForExit() == 0);
  CHECK(Clock::now() - began <
        std::chrono::milliseconds(2'300));  // what half a request has otherwise is 2.4 s
}

TEST_CASE("a client that never closes and one that reads late do not keep the drain, and lose nothing") {
  Rig rig;
  const Socket late = rig.Connect();
  REQUIRE(Send(late, Request("r1")));
  const Socket attempt = rig.Attempt("r1");
  rig.daemon->Signal(SIGTERM);
  REQUIRE(rig.daemon->WaitForLogLine("draining"));
  Rig::Done(attempt, "r1");
  CHECK(rig.daemon->WaitForExit() == 0);
  const Heard heard = Hear(late);
  CHECK(heard.text.starts_with(kServed + "Connection: close\r\n"));
  CHECK(heard.text.ends_with("ran r1"));
}

TEST_CASE("a newcomer from right before SIGTERM is served") {
  constexpr auto kSoon = std::chrono::milliseconds(400);  // of the grace that newcomers have
  for (int tries = 0;; ++tries) {
    Rig rig;
    const long before = Descriptors(rig);
    const Socket client = rig.Connect();
    const auto came = Clock::now();
    AwaitDescriptors(rig, before + 1);
    rig.daemon->Signal(SIGTERM);
    REQUIRE(rig.daemon->WaitForLogLine("draining"));
    const bool sent = Send(client, kReady);
    if (Clock::now() - came > kSoon && tries < 20)
      continue;  // the machine was too slow to tell
    CHECK(sent);
    CHECK(Hear(client).text.starts_with(kServed + "Connection: close\r\n"));
    CHECK(rig.daemon->WaitForExit() == 0);
    break;
  }
}

// ---- Descriptors ----

TEST_CASE("descriptors that are spent do not make the daemon spin, and newcomers are served later") {
  Rig rig;
  std::vector<Socket> clients;
  std::vector<Socket> attempts;
  // Until its descriptors lie without a gap: the next connection cannot be accepted then.
  const auto least_free = [&] {
    int fd = 0;
    while (std::filesystem::exists(std::filesystem::symlink_status(
        "/proc/" + std::to_string(rig.daemon->pid()) + "/fd/" + std::to_string(fd))))
      ++fd;
    return fd;
  };
  do {
    clients.push_back(rig.Connect());
    const std::string id = "r" + std::to_string(clients.size());
    REQUIRE(Send(clients.back(), Request(id)));
    attempts.push_back(rig.Attempt(id));
  } while (least_free() < Descriptors(rig));
  rlimit most{};
  REQUIRE(prlimit(rig.daemon->pid(), RLIMIT_NOFILE, nullptr, &most) == 0);
  most.rlim_cur = static_cast<rlim_t>(Descriptors(rig));
  REQUIRE(prlimit(rig.daemon->pid(), RLIMIT_NOFILE, &most, nullptr) == 0);
  const Socket newcomer = rig.Connect();
  REQUIRE(Send(newcomer, kReady));
  CHECK(!Readable(newcomer, 500));
  for (Socket& client : clients)
    client.Close();
  CHECK(Hear(newcomer, "ready\n").text.starts_with(kServed));
  rig.daemon->Signal(SIGTERM);
  CHECK(rig.daemon->WaitForExit() == 0);
  CHECK(Count(rig.daemon->log(), "\n") < 200);
}

TEST_CASE("idle, silent and bad clients fill the table while discovery is down: a good one is served") {
  const Socket nowhere = tools::ListenOn(0);
  shutdown(nowhere.fd(), SHUT_RDWR);
  Rig rig(nlohmann::json{{"/limits/sockets", 64}});
  rig.daemon.emplace(Remembering(rig, nowhere, std::chrono::milliseconds(500)), nlohmann::json::object());
  std::vector<Socket> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(rig.Connect());
    switch (i % 4) {
      case 0:
        REQUIRE(Send(crowd.back(), kReady));
        break;
      case 1:
        static_cast<void>(Send(crowd.back(), "hello\r\n\r\n"));
        break;
      case 2:
        static_cast<void>(Send(crowd.back(), "POST /cobro HTTP/1.1\r\n"));
        break;
      default:
        break;
    }
  }
  const Socket good = rig.Connect();
  REQUIRE(Send(good, Request("r1")));
  Rig::Done(rig.Attempt("r1"), "r1");
  CHECK(Hear(good, "ran r1").text.starts_with(kServed));
}

// ---- Ready ----

TEST_CASE(
    "with discovery silent at the start a young remembered list serves, and clients are sent elsewhere") {
  const Socket discovery = tools::ListenOn(0);
  Rig rig;
  rig.daemon.emplace(Remembering(rig, discovery, std::chrono::milliseconds(500)), nlohmann::json::object());
  const Socket client = rig.Connect();
  REQUIRE(Send(client, kReady));
  CHECK(Hear(client, "worker list yet\n").text.starts_with(kUnavailable));
  REQUIRE(Send(client, Request("r1")));
  Rig::Done(rig.Attempt("r1"), "r1");
  CHECK(Hear(client, "ran r1").text.starts_with(kServed));
}

TEST_CASE("nothing is sent by an old remembered list before discovery has answered") {
  const Socket discovery = tools::ListenOn(0);
  Rig rig;
  rig.daemon.emplace(Remembering(rig, discovery, std::chrono::hours(1)), nlohmann::json::object());
  const Socket client = rig.Connect(), prober = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  REQUIRE(Send(prober, kReady));
  CHECK(Hear(prober, "worker list yet\n").text.starts_with(kUnavailable));
  // Discovery is asked, and has not answered.
  const Socket call = Accept(discovery);
  REQUIRE(Hear(call, "\r\n\r\n").text.starts_with("GET /api/targets?index=1&wait=0 "));
  CHECK(rig.NothingSentOn());
  const std::string list = R"({"version":2,"full":false,"servers":[]})";
  REQUIRE(
      Send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list));
  // The job may have been refused meanwhile; one that comes now is sent.
  REQUIRE(Hear(call, "\r\n\r\n").text.starts_with("GET /api/targets?index=2&wait="));
  REQUIRE(Send(prober, kReady));
  CHECK(Hear(prober, "ready\n").text.starts_with(kServed));
  REQUIRE(Send(prober, Request("r2")));
  Rig::Done(rig.Attempt("r2"), "r2");
  CHECK(Hear(prober, "ran r2").text.starts_with(kServed));
}

TEST_CASE("with discovery down at the start it is ready in time for all that") {
  const Socket discovery = tools::ListenOn(0);
  shutdown(discovery.fd(), SHUT_RDWR);
  Rig rig;
  rig.daemon.emplace(Remembering(rig, discovery, std::chrono::hours(1)), nlohmann::json::object());
  const Clock::time_point end = Clock::now() + std::chrono::milliseconds(5'900);
  std::string answer;
  while (!answer.starts_with(kServed) && Clock::now() < end) {
    const Socket prober = rig.Connect();
    REQUIRE(Send(prober, kReady));
    answer = Hear(prober, "\r\n\r\n").text;
  }
  CHECK(answer.starts_with(kServed));
}

}  // namespace
}  // namespace aldersill::tests
