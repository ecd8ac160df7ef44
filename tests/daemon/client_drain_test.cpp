// Connections of service clients while the daemon drains after SIGTERM.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>

#include "client_scenario.h"

namespace aldersill::tests {
namespace {

TEST_CASE("a request that crosses the close of an idle connection is not forwarded and causes no reset") {
  ClientScenario scenario;
  const Socket client = scenario.Connect();
  REQUIRE(Send(client, kReadyRequest));
  REQUIRE(Receive(client, "ready\n").text.starts_with(kStatusOk));
  scenario.daemon->Signal(SIGTERM);
  REQUIRE(WaitReadable(client));  // the daemon has closed its sending side; the client has not read that
  CHECK(Send(client, Request("r1", "whole")));
  CHECK(Send(client, Request("r2", "whole")));  // fails if the connection was reset
  const Received received = Receive(client);
  CHECK(received.text.empty());
  CHECK(received.end == End::kClosed);
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(client.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  CHECK(error == 0);
  CHECK(scenario.daemon->WaitForExit() == 0);  // the client still keeps its side open
  CHECK(scenario.NothingForwarded());
}

TEST_CASE("a pipelined request is not accepted during the drain") {
  ClientScenario scenario;
  const Socket client = scenario.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket attempt = scenario.AcceptAttempt("r1");
  REQUIRE(Send(client, Request("r2")));
  for (const int number : {SIGTERM, SIGTERM, SIGHUP})
    scenario.daemon->Signal(number);
  REQUIRE(scenario.daemon->WaitForLogLine("draining"));
  ClientScenario::Complete(attempt, "r1");
  const Received received = Receive(client);
  CHECK(received.end == End::kClosed);
  CHECK(received.text.starts_with(kStatusOk + "Connection: close\r\n"));
  CHECK(CountOf("HTTP/1.1 ", received.text) == 1);
  CHECK(scenario.daemon->WaitForExit() == 0);
  CHECK(scenario.NothingForwarded());
}

TEST_CASE("a request completed during the drain is answered before SIGKILL") {
  ClientScenario scenario;
  const Socket client = scenario.Connect();
  const std::string request = Request("r1", "half, and the rest");
  REQUIRE(Send(client, request.substr(0, request.size() - 8)));
  const auto signalled_at = Clock::now();
  scenario.daemon->Signal(SIGTERM);
  REQUIRE(scenario.daemon->WaitForLogLine("draining"));
  // A request that is complete more than 600 ms after SIGTERM counts as late.
  std::this_thread::sleep_until(signalled_at + std::chrono::milliseconds(800));
  REQUIRE(Send(client, request.substr(request.size() - 8)));
  const Socket attempt = scenario.AcceptAttempt("r1");
  // The worker does not answer. The request's own deadline is 20 s, but SIGKILL would come 3.7 s after
  // SIGTERM.
  const Received received = Receive(client);
  CHECK(received.text.starts_with("HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\n"));
  CHECK(scenario.daemon->WaitForExit() == 0);
  CHECK(Clock::now() - signalled_at < std::chrono::seconds(10));
}

// Configuration changes that set the deadline of all job classes, in microseconds.
nlohmann::json DeadlineChanges(std::int64_t micros) {
  nlohmann::json changes;
  for (const char* job_class : {"0", "1", "2"})
    changes["/settings/grades/" + std::string(job_class) + "/deadline"] = micros;
  return changes;
}

TEST_CASE("a request completed too late in the drain is rejected at once") {
  ClientScenario scenario(DeadlineChanges(400'000));
  const Socket client = scenario.Connect();
  const std::string request = Request("r1", "half, and the rest", 400);
  REQUIRE(Send(client, request.substr(0, request.size() - 8)));
  scenario.daemon->Signal(SIGTERM);
  REQUIRE(scenario.daemon->WaitForLogLine("draining"));
  // The daemon is suspended until all answers are due: when it continues, the rest of the request is there
  // and the time is over.
  scenario.daemon->Suspend();
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  REQUIRE(Send(client, request.substr(request.size() - 8)));
  scenario.daemon->Signal(SIGCONT);
  const Received received = Receive(client);
  CHECK(received.text.starts_with("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: "));
  CHECK(received.end == End::kClosed);
  CHECK(scenario.daemon->WaitForExit() == 0);
  CHECK(scenario.NothingForwarded());
}

TEST_CASE("a request that is never completed does not delay a drain with short deadlines") {
  ClientScenario scenario(DeadlineChanges(100'000));
  const Socket client = scenario.Connect();
  const auto started_at = Clock::now();
  REQUIRE(Send(client, Request("r1", "half").substr(0, 40)));
  scenario.daemon->Signal(SIGTERM);
  CHECK(Receive(client).text.starts_with("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"));
  CHECK(scenario.daemon->WaitForExit() == 0);
  // Outside a drain a partial request times out after 2.4 s.
  CHECK(Clock::now() - started_at < std::chrono::milliseconds(2'300));
}

TEST_CASE("a client that reads late and never closes gets its answer and does not delay the drain") {
  ClientScenario scenario;
  const Socket late = scenario.Connect();
  REQUIRE(Send(late, Request("r1")));
  const Socket attempt = scenario.AcceptAttempt("r1");
  scenario.daemon->Signal(SIGTERM);
  REQUIRE(scenario.daemon->WaitForLogLine("draining"));
  ClientScenario::Complete(attempt, "r1");
  CHECK(scenario.daemon->WaitForExit() == 0);
  const Received received = Receive(late);
  CHECK(received.text.starts_with(kStatusOk + "Connection: close\r\n"));
  CHECK(received.text.ends_with("ran r1"));
}

TEST_CASE("a connection accepted right before SIGTERM is served") {
  // Less than the 600 ms for which a drain waits for the first request of a new connection.
  constexpr auto kWithinGrace = std::chrono::milliseconds(400);
  for (int tries = 0;; ++tries) {
    ClientScenario scenario;
    const long before = scenario.Descriptors();
    const Socket client = scenario.Connect();
    const auto connected_at = Clock::now();
    scenario.AwaitDescriptors(before + 1);
    scenario.daemon->Signal(SIGTERM);
    REQUIRE(scenario.daemon->WaitForLogLine("draining"));
    const bool sent = Send(client, kReadyRequest);
    if (Clock::now() - connected_at > kWithinGrace && tries < 20)
      continue;  // the machine was too slow for a valid result
    CHECK(sent);
    CHECK(Receive(client).text.starts_with(kStatusOk + "Connection: close\r\n"));
    CHECK(scenario.daemon->WaitForExit() == 0);
    break;
  }
}

}  // namespace
}  // namespace aldersill::tests
