// Tests attempts whose connection is established late: after the client has disconnected, the deadline has
// passed, the deduplication window has ended, or SIGTERM has arrived. The delay is produced with a full
// listen backlog: the kernel drops the daemon's SYN and resends it after a second, when the backlog has room
// again.
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

constexpr int kWaitMs = 30'000;  // for operations of the kernel that always complete

// A worker whose incoming connections are established only when the test allows it.
class WorkerStandIn {
 public:
  WorkerStandIn() : listener_(tools::ListenOn(0)) {
    listen(listener_.fd(), 0);  // a backlog of one connection
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(tools::PortOf(listener_)); }
  // Prevents connections from being established until FreeBacklog.
  void FillBacklog() { filler_ = tools::ConnectTo(tools::PortOf(listener_)); }
  void FreeBacklog() {
    tools::Socket unused = Accept();
    filler_.Close();
  }
  // Waits for the next connection and returns it.
  tools::Socket Accept() {
    REQUIRE(WaitForConnection());
    return tools::Socket(accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
  }
  bool WaitForConnection(int wait_ms = kWaitMs) const {
    pollfd polled{listener_.fd(), POLLIN, 0};
    return poll(&polled, 1, wait_ms) == 1;
  }
  // Whether the kernel is trying to establish a connection to this worker.
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
  // Waits until the kernel is trying to connect to this worker; returns false if the client is answered
  // first.
  bool WaitUntilDialled(const tools::Wire& client) const {
    pollfd polled{client.fd(), POLLIN, 0};
    for (int ms = 0; !IsDialled(); ++ms) {
      REQUIRE(ms < kWaitMs);
      if (poll(&polled, 1, 1) != 0)
        return false;
    }
    return true;
  }
  // Accepts all pending connections and returns the bytes that have arrived on them.
  std::string ReadUnaccepted() {
    std::string bytes;
    while (WaitForConnection(0)) {
      const tools::Socket peer = Accept();
      char buffer[4096];
      for (ssize_t size; (size = recv(peer.fd(), buffer, sizeof(buffer), MSG_DONTWAIT)) > 0;)
        bytes.append(buffer, static_cast<std::size_t>(size));
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
  config["settings"]["limits"]["dialTimeout"] = 20'000'000;  // longer than any test here
  config["settings"]["limits"]["probes"] = false;
  return config;
}

const nlohmann::json kDebugLogging = {{"logging", {{"level", "debug"}}}};

tools::Wire SendRequest(const DaemonUnderTest& daemon, const std::string& job_class, const std::string& id,
                        int deadline_ms) {
  tools::Wire client(tools::ConnectTo(daemon.ports().at("http")));
  client.Write("POST /" + job_class + " HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nReq-Kind: " + job_class +
               "\r\nReq-Owner: hogar-del-sur\r\nReq-Deadline: " + std::to_string(deadline_ms) +
               "m\r\nIdempotency-Key: " + id + "\r\nContent-Length: 0\r\n\r\n");
  return client;
}

std::string CompletedResponse(const std::string& id) {
  const std::string line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"ok\"}\n";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) + "\r\n\r\n" + line;
}

TEST_CASE("a request whose client disconnects while its attempt connects is not sent, whatever the class") {
  for (const bool cancels : {true, false}) {
    for (const std::string job_class : {"certificado", "promesa", "cobro"}) {
      CAPTURE(cancels);
      CAPTURE(job_class);
      WorkerStandIn worker;
      nlohmann::json config = Config(worker);
      config["settings"]["limits"]["cancel"] = cancels;
      DaemonUnderTest daemon(config, kDebugLogging);
      worker.FillBacklog();
      {
        const tools::Wire client = SendRequest(daemon, job_class, "r1", 4000);
        REQUIRE(worker.WaitUntilDialled(client));
      }
      REQUIRE(daemon.WaitForLogLine("client_disconnected"));
      worker.FreeBacklog();
      daemon.Signal(SIGTERM);
      // The daemon exits once no attempt is running. An attempt that had been continued would have connected
      // by then, and its request would have been sent.
      CHECK(daemon.WaitForExit() == 0);
      CHECK(worker.ReadUnaccepted() == "");
    }
  }
}

constexpr int kMaxTries = 20;  // on a slow machine a test may miss the time window that it needs

// Returns false if the deadline passed before the daemon could be suspended.
bool TestConnectionAfterDeadline(const std::string& job_class) {
  WorkerStandIn worker;
  DaemonUnderTest daemon(Config(worker), kDebugLogging);
  worker.FillBacklog();
  tools::Wire client = SendRequest(daemon, job_class, "r1", 900);  // less than the SYN's retransmission time
  if (!worker.WaitUntilDialled(client))
    return false;
  daemon.Suspend();  // so that the connection is established before the daemon handles its timers
  if (!worker.IsDialled())
    return false;
  worker.FreeBacklog();
  const tools::Socket peer = worker.Accept();
  daemon.Signal(SIGCONT);
  CHECK_FALSE(tools::ReadHttp(&client).start.starts_with("HTTP/1.1 200"));
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
  char byte = 0;
  CHECK(recv(peer.fd(), &byte, 1, 0) <= 0);
  return true;
}

TEST_CASE("a connection established after the request's deadline carries no byte of it") {
  for (const std::string job_class : {"certificado", "promesa", "cobro"}) {
    CAPTURE(job_class);
    int tries = 1;
    while (tries <= kMaxTries && !TestConnectionAfterDeadline(job_class))
      ++tries;
    CHECK(tries <= kMaxTries);
  }
}

// Returns false if the window ended before the retry started or before the daemon could be suspended.
bool TestRetryAfterWindow(bool suspend_daemon) {
  WorkerStandIn worker;
  nlohmann::json config = Config(worker);
  config["settings"]["grades"][1]["dedupWindow"] = 900'000;  // less than the SYN's retransmission time
  DaemonUnderTest daemon(config, kDebugLogging);
  tools::Wire client = SendRequest(daemon, "promesa", "r1", 5000);
  {
    tools::Wire first(worker.Accept());
    REQUIRE(tools::ReadHttp(&first).Header("Req-Id") == "r1");
    worker.FillBacklog();
  }  // the connection closes without a response, so the job may have run
  if (!worker.WaitUntilDialled(client))
    return false;
  if (suspend_daemon)
    daemon.Suspend();
  if (suspend_daemon && !worker.IsDialled())
    return false;
  worker.FreeBacklog();
  std::optional<tools::Socket> second;
  if (suspend_daemon) {
    second = worker.Accept();
    daemon.Signal(SIGCONT);
  }
  CHECK(tools::ReadHttp(&client).start.starts_with("HTTP/1.1 503"));
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
  CHECK(worker.ReadUnaccepted() == "");
  char byte = 0;
  if (second)
    CHECK(recv(second->fd(), &byte, 1, 0) <= 0);
  return true;
}

TEST_CASE("a request with an idempotency key that may have run is not retried after its window") {
  for (const bool suspend_daemon : {false, true}) {
    CAPTURE(suspend_daemon);
    int tries = 1;
    while (tries <= kMaxTries && !TestRetryAfterWindow(suspend_daemon))
      ++tries;
    CHECK(tries <= kMaxTries);
  }
}

TEST_CASE("SIGTERM while a first attempt or a retry connects does not prevent the answer") {
  for (const bool is_retry : {false, true}) {
    CAPTURE(is_retry);
    WorkerStandIn worker;
    DaemonUnderTest daemon(Config(worker), kDebugLogging);
    if (!is_retry)
      worker.FillBacklog();
    tools::Wire client = SendRequest(daemon, "certificado", "r1", 9000);
    if (is_retry) {
      tools::Wire first(worker.Accept());
      REQUIRE(tools::ReadHttp(&first).Header("Req-Id") == "r1");
      worker.FillBacklog();
    }
    REQUIRE(worker.WaitUntilDialled(client));
    daemon.Signal(SIGTERM);
    REQUIRE(daemon.WaitForLogLine("draining"));
    worker.FreeBacklog();
    tools::Wire peer(worker.Accept());
    REQUIRE(tools::ReadHttp(&peer).Header("Req-Id") == "r1");
    peer.Write(CompletedResponse("r1"));
    CHECK(tools::ReadHttp(&client).body == "ok");
    CHECK(daemon.WaitForExit() == 0);
  }
}

}  // namespace
}  // namespace aldersill::tests
