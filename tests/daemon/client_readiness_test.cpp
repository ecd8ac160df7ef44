// When a process that has no answer from discovery since its start reports readiness and serves requests.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <chrono>
#include <string>

#include "client_scenario.h"

namespace aldersill::tests {
namespace {

TEST_CASE("before discovery has answered, a recent cached list serves requests but gives no readiness") {
  const Socket discovery = tools::ListenOn(0);
  ClientScenario scenario;
  scenario.RestartWithCachedList(discovery, std::chrono::milliseconds(500));
  const Socket client = scenario.Connect();
  REQUIRE(Send(client, kReadyRequest));
  CHECK(Receive(client, "worker list yet\n").text.starts_with(kStatusUnavailable));
  REQUIRE(Send(client, Request("r1")));
  ClientScenario::Complete(scenario.AcceptAttempt("r1"), "r1");
  CHECK(Receive(client, "ran r1").text.starts_with(kStatusOk));
}

TEST_CASE("before discovery has answered, an old cached list is not used") {
  const Socket discovery = tools::ListenOn(0);
  ClientScenario scenario;
  scenario.RestartWithCachedList(discovery, std::chrono::hours(1));
  const Socket client = scenario.Connect(), prober = scenario.Connect();
  REQUIRE(Send(client, Request("r1")));
  REQUIRE(Send(prober, kReadyRequest));
  CHECK(Receive(prober, "worker list yet\n").text.starts_with(kStatusUnavailable));
  // Discovery has been polled and has not answered.
  const Socket poll_connection = Accept(discovery);
  REQUIRE(Receive(poll_connection, "\r\n\r\n").text.starts_with("GET /api/targets?index=1&wait=0 "));
  CHECK(scenario.NothingForwarded());
  const std::string list = R"({"version":2,"full":false,"servers":[]})";
  REQUIRE(Send(poll_connection,
               "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list));
  // The first job may have been rejected in the meantime; a job that arrives now is forwarded.
  REQUIRE(Receive(poll_connection, "\r\n\r\n").text.starts_with("GET /api/targets?index=2&wait="));
  REQUIRE(Send(prober, kReadyRequest));
  CHECK(Receive(prober, "ready\n").text.starts_with(kStatusOk));
  REQUIRE(Send(prober, Request("r2")));
  ClientScenario::Complete(scenario.AcceptAttempt("r2"), "r2");
  CHECK(Receive(prober, "ran r2").text.starts_with(kStatusOk));
}

TEST_CASE("with discovery down at the start the process is ready within 6 s") {
  const Socket discovery = tools::ListenOn(0);
  shutdown(discovery.fd(), SHUT_RDWR);
  ClientScenario scenario;
  scenario.RestartWithCachedList(discovery, std::chrono::hours(1));
  const Clock::time_point end = Clock::now() + std::chrono::milliseconds(5'900);
  std::string answer;
  while (!answer.starts_with(kStatusOk) && Clock::now() < end) {
    const Socket prober = scenario.Connect();
    REQUIRE(Send(prober, kReadyRequest));
    answer = Receive(prober, "\r\n\r\n").text;
  }
  CHECK(answer.starts_with(kStatusOk));
}

}  // namespace
}  // namespace aldersill::tests
