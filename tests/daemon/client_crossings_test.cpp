// Service clients' connections in narrow moments: what comes, ends or is reset just while the daemon holds,
// answers, closes or is told to end. Each crossing is forced over loopback, with a worker that answers only
// when the test wants it to.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <vector>

#include "daemon_under_test.h"
#include "player.h"

namespace aldersill::tests {
namespace {

using tools::Socket;

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
    if (size <= 0) return false;
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

std::string Request(const std::string& id, const std::string& body = "", int deadline_ms = 20'000) {
  return "POST /cobro HTTP/1.1\r\nHost: a\r\nReq-Id: " + id +
         "\r\nReq-Kind: cobro\r\nReq-Owner: hogar-del-sur\r\nReq-Deadline: " + std::to_string(deadline_ms) +
         "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kReady = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kServed = "HTTP/1.1 200 OK\r\n";

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
    for (auto& tenant : config["settings"]["tenants"]) tenant["quotaPerS"] = 1000.0;
    for (const auto& [pointer, value] : changes.items()) config[nlohmann::json::json_pointer(pointer)] = value;
    daemon.emplace(config, nlohmann::json::object());
    REQUIRE(daemon->ports().contains("http"));
  }
  Socket Connect() const { return tools::ConnectTo(daemon->ports().at("http")); }
  // The next execution's connection, with its whole head read.
  Socket Execution(const std::string& id) const {
    Socket execution = Accept(worker);
    REQUIRE(Hear(execution, "\r\n\r\n").text.find("Req-Id: " + id + "\r\n") != std::string::npos);
    return execution;
  }
  static void Done(const Socket& execution, const std::string& id) {
    const std::string line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"ran " + id + "\"}\n";
    REQUIRE(Send(execution, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) + "\r\n\r\n" +
                                line));
  }
  bool NothingSentOn() const { return !Readable(worker, 0); }

  const Socket worker = tools::ListenOn(0);
  nlohmann::json config;
  std::optional<DaemonUnderTest> daemon;
};

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
      const Socket execution = rig.Execution("r1");
      CHECK(Send(client, std::string(flood, 'x')));
      reset ? Reset(&client) : client.Close();
      CHECK(Hear(execution).end != End::kOpen);
    }
  }
}

TEST_CASE("a client that only ends its sending counts as gone while its request is in hand") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket execution = rig.Execution("r1");
  shutdown(client.fd(), SHUT_WR);
  CHECK(Hear(execution).end != End::kOpen);
  CHECK(Hear(client).text.empty());
}

TEST_CASE("a second request behind the one in hand is served after it, however large it may be") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket first = rig.Execution("r1");
  REQUIRE(Send(client, Request("r2", std::string(64 << 10, 'b'))));
  Rig::Done(first, "r1");
  CHECK(Hear(client, "ran r1").text.starts_with(kServed));
  const Socket second = rig.Execution("r2");
  Rig::Done(second, "r2");
  CHECK(Hear(client, "ran r2").text.starts_with(kServed));
}

TEST_CASE("what no honest client sends behind its request ends the connection, after its answer") {
  Rig rig;
  const Socket client = rig.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket execution = rig.Execution("r1");
  // More than the system holds: what is sent has been read, but for some of it.
  REQUIRE(Send(client, std::string(32 << 20, 'x')));
  Rig::Done(execution, "r1");
  const Heard heard = Hear(client);
  CHECK(heard.end == End::kClosed);
  CHECK(heard.text.starts_with(kServed + "Connection: close\r\n"));
  CHECK(heard.text.ends_with("ran r1"));
}

}  // namespace
}  // namespace aldersill::tests
