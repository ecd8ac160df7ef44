// Requests of service clients when further bytes, the end of the connection or a reset arrive at the same
// time, or while a request is in flight.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "client_scenario.h"

namespace aldersill::tests {
namespace {

TEST_CASE("a disconnect after any number of extra bytes stops the attempt") {
  for (const std::size_t extra_bytes : {std::size_t{0}, std::size_t{200} << 10, std::size_t{8} << 20}) {
    for (const bool reset : {false, true}) {
      CAPTURE(extra_bytes);
      CAPTURE(reset);
      ClientScenario scenario;
      Socket client = scenario.Connect();
      REQUIRE(Send(client, Request("r1")));
      const Socket attempt = scenario.AcceptAttempt("r1");
      CHECK(Send(client, std::string(extra_bytes, 'x')));
      reset ? Reset(&client) : client.Close();
      CHECK(Receive(attempt).end != End::kOpen);
    }
  }
}

TEST_CASE("a half-closed client counts as disconnected while its request is in flight") {
  ClientScenario scenario;
  const Socket client = scenario.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket attempt = scenario.AcceptAttempt("r1");
  shutdown(client.fd(), SHUT_WR);
  CHECK(Receive(attempt).end != End::kOpen);
  CHECK(Receive(client).text.empty());
}

TEST_CASE("a pipelined request of maximum size is served after the one in flight") {
  ClientScenario scenario;
  const Socket client = scenario.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket first = scenario.AcceptAttempt("r1");
  REQUIRE(Send(client, Request("r2", std::string(64 << 10, 'b'))));
  ClientScenario::Complete(first, "r1");
  CHECK(Receive(client, "ran r1").text.starts_with(kStatusOk));
  const Socket second = scenario.AcceptAttempt("r2");
  ClientScenario::Complete(second, "r2");
  CHECK(Receive(client, "ran r2").text.starts_with(kStatusOk));
}

TEST_CASE("too many bytes after a request close the connection after its answer") {
  ClientScenario scenario;
  const Socket client = scenario.Connect();
  REQUIRE(Send(client, Request("r1")));
  const Socket attempt = scenario.AcceptAttempt("r1");
  // More than the socket buffers hold, so the daemon has read most of it when Send returns.
  REQUIRE(Send(client, std::string(32 << 20, 'x')));
  ClientScenario::Complete(attempt, "r1");
  const Received received = Receive(client);
  CHECK(received.end == End::kClosed);
  CHECK(received.text.starts_with(kStatusOk + "Connection: close\r\n"));
  CHECK(received.text.ends_with("ran r1"));
}

TEST_CASE("a request that arrives together with the disconnect is not forwarded") {
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    ClientScenario scenario;
    Socket client = scenario.Connect();
    const long before = scenario.Descriptors();
    REQUIRE(Send(client, kReadyRequest));
    REQUIRE(Receive(client, "ready\n").text.starts_with(kStatusOk));
    CHECK(scenario.Descriptors() <= before + 1);
    scenario.daemon->Suspend();
    REQUIRE(Send(client, Request("r1")));
    reset ? Reset(&client) : client.Close();
    scenario.daemon->Signal(SIGCONT);
    scenario.daemon->Signal(SIGTERM);
    CHECK(scenario.daemon->WaitForExit() == 0);  // the daemon exits only after it has closed the connection
    CHECK(scenario.NothingForwarded());
  }
}

TEST_CASE("no retry starts when the disconnect arrives together with the loss of the attempt") {
  // Unread bytes before the close used to hide it.
  std::string sent_before_close;
  SUBCASE("nothing is unread before the close") {}
  SUBCASE("bytes are unread before the close") { sent_before_close = std::string(50'000, 'x'); }
  const Socket worker_a = tools::ListenOn(0), worker_b = tools::ListenOn(0);
  nlohmann::json servers;
  for (const Socket* listener : {&worker_a, &worker_b})
    servers.push_back({{"id", "s-" + std::to_string(servers.size())},
                       {"addr", "127.0.0.1:" + std::to_string(tools::PortOf(*listener))},
                       {"zone", "quilicura"},
                       {"state", "SERVING"}});
  ClientScenario scenario(nlohmann::json{{"/known/servers", servers}});
  Socket client = scenario.Connect();
  REQUIRE(Send(client, Request("r1", "", 9'000, "certificado")));  // an idempotent class: may be retried
  pollfd workers[] = {{worker_a.fd(), POLLIN, 0}, {worker_b.fd(), POLLIN, 0}};
  REQUIRE(poll(workers, 2, kWaitMs) == 1);
  Socket attempt = Accept(workers[0].revents != 0 ? worker_a : worker_b);
  REQUIRE(!Receive(attempt, "\r\n\r\n").text.empty());
  scenario.daemon->Suspend();
  attempt.Close();
  REQUIRE(Send(client, sent_before_close));
  client.Close();
  scenario.daemon->Signal(SIGCONT);
  scenario.daemon->Signal(SIGTERM);
  CHECK(scenario.daemon->WaitForExit() == 0);
  CHECK(poll(workers, 2, 0) == 0);
}

TEST_CASE("a first request that arrives at the same time as its timeout is read") {
  ClientScenario scenario;
  const long before = scenario.Descriptors();
  const Socket client = scenario.Connect();
  scenario.AwaitDescriptors(before + 1);
  scenario.daemon->Suspend();
  std::this_thread::sleep_for(std::chrono::milliseconds(2'600));  // longer than the request timeout
  REQUIRE(Send(client, kReadyRequest));
  scenario.daemon->Signal(SIGCONT);
  CHECK(Receive(client, "ready\n").text.starts_with(kStatusOk));
}

TEST_CASE("a request's deadline counts from its arrival, even if it is read late") {
  ClientScenario scenario;
  for (const bool accepted_before : {true, false}) {
    CAPTURE(accepted_before);
    const std::string id = accepted_before ? "accepted" : "queued";
    std::optional<Socket> client;
    if (accepted_before) {
      client.emplace(scenario.Connect());
      REQUIRE(Send(*client, kReadyRequest));
      Receive(*client, "ready\n");
    }
    scenario.daemon->Suspend();
    if (!accepted_before)
      client.emplace(scenario.Connect());
    const Clock::time_point sent_at = Clock::now();
    REQUIRE(Send(*client, Request(id, "", 3'000, "certificado")));
    std::this_thread::sleep_until(sent_at + std::chrono::milliseconds(2'000));
    scenario.daemon->Signal(SIGCONT);
    const Socket attempt = scenario.AcceptAttempt(id);  // the worker never answers
    Receive(*client, "\r\n\r\n");
    CHECK(Clock::now() - sent_at < std::chrono::milliseconds(4'000));
  }
}

TEST_CASE("a request whose deadline has passed when it is read is rejected and not forwarded") {
  ClientScenario scenario;
  const Socket client = scenario.Connect();
  scenario.daemon->Suspend();
  REQUIRE(Send(client, Request("late", "", 200, "certificado")));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  scenario.daemon->Signal(SIGCONT);
  CHECK(Receive(client, "\r\n\r\n").text.starts_with(kStatusUnavailable));
  CHECK(scenario.NothingForwarded());
}

}  // namespace
}  // namespace aldersill::tests
