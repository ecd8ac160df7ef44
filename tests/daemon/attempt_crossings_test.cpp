// Moments in the life of an execution that seldom meet: a connection that comes up late, after its client has
// left, its time is over, its window has ended, or the program has been told to end. A listener whose backlog
// is full has the kernel drop the daemon's SYN; it comes again after a second, and by then there is room.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "daemon_under_test.h"
#include "player.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

constexpr int kWaitMs = 30'000;  // for what the kernel does anyway

// An instance at which connections come up when the test wants it.
class WorkerStandIn {
 public:
  WorkerStandIn() : listener_(tools::ListenOn(0)) {
    listen(listener_.fd(), 0);  // one connection waits to be accepted, no second
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(tools::PortOf(listener_)); }
  // From now on nobody gets a connection, until LetIn.
  void Fill() { filler_ = tools::ConnectTo(tools::PortOf(listener_)); }
  void LetIn() {
    tools::Socket unused = Accept();
    filler_.Close();
  }
  // What comes up next.
  tools::Socket Accept() {
    REQUIRE(IsUp());
    return tools::Socket(accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
  }
  bool IsUp(int wait_ms = kWaitMs) const {
    pollfd p{listener_.fd(), POLLIN, 0};
    return poll(&p, 1, wait_ms) == 1;
  }
  // Whether the kernel is trying to connect somebody here.
  bool IsDialled() const {
    std::ifstream connections("/proc/net/tcp");
    constexpr int kSynSent = 2;
    for (std::string line; std::getline(connections, line);) {
      std::istringstream words(line);
      std::string number, from, to, state;
      if (!(words >> number >> from >> to >> state) || to.find(':') == std::string::npos)
        continue;
      if (std::stoi(to.substr(to.find(':') + 1), nullptr, 16) == tools::PortOf(listener_) &&
          std::stoi(state, nullptr, 16) == kSynSent)
        return true;
    }
    return false;
  }
  // False if the client has been answered before.
  bool WaitUntilDialled(const tools::Wire& client) const {
    pollfd p{client.fd(), POLLIN, 0};
    for (int ms = 0; !IsDialled(); ++ms) {
      REQUIRE(ms < kWaitMs);
      if (poll(&p, 1, 1) != 0)
        return false;
    }
    return true;
  }
  // Bytes on connections that nobody has accepted yet.
  std::string Unasked() {
    std::string bytes;
    while (IsUp(0)) {
      const tools::Socket peer = Accept();
      char buffer[4096];
      for (ssize_t n; (n = recv(peer.fd(), buffer, sizeof(buffer), MSG_DONTWAIT)) > 0;)
        bytes.append(buffer, static_cast<std::size_t>(n));
    }
    return bytes;
  }

 private:
  tools::Socket listener_, filler_;
};

nlohmann::json Config(const WorkerStandIn& worker) {
  nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  config.erase("discovery");
  config["known"]["servers"] = {
      {{"id", "s-1"}, {"addr", worker.address()}, {"zone", "quilicura"}, {"state", "SERVING"}}};
  for (auto& tenant : config["settings"]["tenants"])
    tenant["quotaPerS"] = 1000.0;
  config["settings"]["limits"]["dialTimeout"] = 20'000'000;  // a dial outlives all that is tried here
  config["settings"]["limits"]["probes"] = false;
  return config;
}

const nlohmann::json kTraced = {{"logging", {{"level", "debug"}}}};

tools::Wire Ask(const DaemonUnderTest& daemon, const std::string& job_class, const std::string& id,
                int deadline_ms) {
  tools::Wire client(tools::ConnectTo(daemon.ports().at("http")));
  client.Write("POST /" + job_class + " HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nReq-Kind: " + job_class +
               "\r\nReq-Owner: hogar-del-sur\r\nReq-Deadline: " + std::to_string(deadline_ms) +
               "m\r\nIdempotency-Key: " + id + "\r\nContent-Length: 0\r\n\r\n");
  return client;
}

std::string Done(const std::string& id) {
  const std::string line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"ok\"}\n";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) + "\r\n\r\n" + line;
}

TEST_CASE("a request whose client has left while its connection came up is not sent, whatever the class") {
  for (const bool cancels : {true, false}) {
    for (const std::string job_class : {"certificado", "promesa", "cobro"}) {
      CAPTURE(cancels);
      CAPTURE(job_class);
      WorkerStandIn worker;
      nlohmann::json config = Config(worker);
      config["settings"]["limits"]["cancel"] = cancels;
      DaemonUnderTest daemon(config, kTraced);
      worker.Fill();
      {
        const tools::Wire client = Ask(daemon, job_class, "r1", 4000);
        REQUIRE(worker.WaitUntilDialled(client));
      }
      REQUIRE(daemon.WaitForLogLine("client_disconnected"));
      worker.LetIn();
      daemon.Signal(SIGTERM);
      // It ends when no execution is out: one that was let go on would have come up by then, and been sent.
      CHECK(daemon.WaitForExit() == 0);
      CHECK(worker.Unasked() == "");
    }
  }
}

constexpr int kTries = 20;  // a slow machine may miss the moment that a test wants to force

// False if its time was over before it could be made to stand still.
bool ComesUpTooLate(const std::string& job_class) {
  WorkerStandIn worker;
  DaemonUnderTest daemon(Config(worker), kTraced);
  worker.Fill();
  tools::Wire client = Ask(daemon, job_class, "r1", 900);  // less than it takes the SYN to come again
  if (!worker.WaitUntilDialled(client))
    return false;
  daemon.Suspend();  // so that the connection is there before its timers have rung
  if (!worker.IsDialled())
    return false;
  worker.LetIn();
  const tools::Socket peer = worker.Accept();
  daemon.Signal(SIGCONT);
  CHECK_FALSE(tools::ReadHttp(&client).start.starts_with("HTTP/1.1 200"));
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
  char byte = 0;
  CHECK(recv(peer.fd(), &byte, 1, 0) <= 0);
  return true;
}

TEST_CASE("a connection that comes up after its request's time is over carries no byte of it") {
  for (const std::string job_class : {"certificado", "promesa", "cobro"}) {
    CAPTURE(job_class);
    int tries = 1;
    while (tries <= kTries && !ComesUpTooLate(job_class))
      ++tries;
    CHECK(tries <= kTries);
  }
}

// False if the window was over before the request was tried again, or before the daemon could be made to
// stand still.
bool TriesAgainTooLate(bool stands_still) {
  WorkerStandIn worker;
  nlohmann::json config = Config(worker);
  config["settings"]["grades"][1]["dedupWindow"] = 900'000;  // less than it takes the SYN to come again
  DaemonUnderTest daemon(config, kTraced);
  tools::Wire client = Ask(daemon, "promesa", "r1", 5000);
  {
    tools::Wire first(worker.Accept());
    REQUIRE(tools::ReadHttp(&first).Header("Req-Id") == "r1");
    worker.Fill();
  }  // ends without a word: it may have run
  if (!worker.WaitUntilDialled(client))
    return false;
  if (stands_still)
    daemon.Suspend();
  if (stands_still && !worker.IsDialled())
    return false;
  worker.LetIn();
  std::optional<tools::Socket> second;
  if (stands_still) {
    second = worker.Accept();
    daemon.Signal(SIGCONT);
  }
  CHECK(tools::ReadHttp(&client).start.starts_with("HTTP/1.1 503"));
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
  CHECK(worker.Unasked() == "");
  char byte = 0;
  if (second)
    CHECK(recv(second->fd(), &byte, 1, 0) <= 0);
  return true;
}

TEST_CASE("a keyed request that may have run is not begun again after its window, however late it connects") {
  for (const bool stands_still : {false, true}) {
    CAPTURE(stands_still);
    int tries = 1;
    while (tries <= kTries && !TriesAgainTooLate(stands_still))
      ++tries;
    CHECK(tries <= kTries);
  }
}

TEST_CASE(
    "SIGTERM while an execution connects, a first or a further one, does not keep it from being served") {
  for (const bool repeat : {false, true}) {
    CAPTURE(repeat);
    WorkerStandIn worker;
    DaemonUnderTest daemon(Config(worker), kTraced);
    if (!repeat)
      worker.Fill();
    tools::Wire client = Ask(daemon, "certificado", "r1", 9000);
    if (repeat) {
      tools::Wire first(worker.Accept());
      REQUIRE(tools::ReadHttp(&first).Header("Req-Id") == "r1");
      worker.Fill();
    }
    REQUIRE(worker.WaitUntilDialled(client));
    daemon.Signal(SIGTERM);
    REQUIRE(daemon.WaitForLogLine("draining"));
    worker.LetIn();
    tools::Wire peer(worker.Accept());
    REQUIRE(tools::ReadHttp(&peer).Header("Req-Id") == "r1");
    peer.Write(Done("r1"));
    CHECK(tools::ReadHttp(&client).body == "ok");
    CHECK(daemon.WaitForExit() == 0);
  }
}

}  // namespace
}  // namespace aldersill::tests
