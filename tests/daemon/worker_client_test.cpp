// Tests when the worker client writes a request, and which events it posts between two callbacks of one
// iteration of the event loop. An attempt that was posted as sent may run; any other has not run and may be
// started elsewhere.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <string>

#include "worker_client_scenario.h"

namespace aldersill::tests {
namespace {

TEST_CASE("AttemptSent is posted before the worker can have the complete request") {
  WorkerClientScenario scenario;
  scenario.Start();
  std::string seen;
  int sent_by_then = 0;
  scenario.after_send = [&] {
    const OwnedSocket peer(scenario.Accept());
    seen = Peek(peer);
    sent_by_then = scenario.sent;
  };
  scenario.RunLoopOnce();
  REQUIRE(IsCompleteRequest(seen));
  CHECK(sent_by_then == 1);
  scenario.RunLoopOnce();
  CHECK(scenario.sent == 1);
}

TEST_CASE("a request written in pieces posts AttemptSent with its last piece") {
  WorkerClientScenario scenario;
  const std::string body(std::size_t{16} << 20, 'x');  // more than the buffers of both ends hold
  scenario.Start(body);
  const OwnedSocket peer(scenario.Accept());
  scenario.RunLoopOnce();
  CHECK(scenario.sent == 0);
  std::size_t head = 0, seen = 0, iterations = 0;
  const auto is_complete = [&] { return head > 0 && seen == head + body.size(); };
  for (; !is_complete() && iterations < 100'000; ++iterations) {
    scenario.RunLoopOnce([&] {  // after the stream has written and before its callbacks run
      std::string bytes(std::size_t{1} << 20, 0);
      ssize_t size = 0;
      while ((size = recv(peer.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
        if (head == 0)
          head = bytes.find("\r\n\r\n") + 4;
        seen += static_cast<std::size_t>(size);
      }
      CHECK(scenario.sent == (is_complete() ? 1 : 0));
    });
  }
  REQUIRE(is_complete());
  CHECK(scenario.other_events == 0);
}

TEST_CASE("an established connection writes nothing before Send, and nothing if stopped") {
  WorkerClientScenario scenario;
  scenario.send_when_connected = false;
  scenario.Start();
  const OwnedSocket peer(scenario.Accept());
  scenario.RunLoop(5);
  REQUIRE(scenario.connected == 1);
  char byte = 0;
  CHECK(recv(peer.fd(), &byte, 1, MSG_DONTWAIT) == -1);
  SUBCASE("sent") {
    scenario.client.Send({kAttempt, WorkerEndpoint::Source::kDiscovery, 123'456});
    const std::string seen = Peek(peer);
    CHECK(IsCompleteRequest(seen));
    CHECK(seen.find("\r\nReq-Deadline: 123456u\r\n") != std::string::npos);  // the time left at Send
    CHECK(scenario.sent == 1);
  }
  SUBCASE("stopped") {
    scenario.client.Stop(kAttempt);
    scenario.RunLoop(3);
    CHECK(Peek(peer).empty());
    CHECK(scenario.sent + scenario.other_events == 0);
  }
}

TEST_CASE("a connection that breaks before the request's last byte is written ends as connect failed") {
  WorkerClientScenario scenario;
  scenario.Start(std::string(std::size_t{16} << 20, 'x'));
  OwnedSocket peer(scenario.Accept());
  scenario.RunLoop(3);
  REQUIRE(scenario.sent == 0);
  peer.Close();
  REQUIRE(scenario.RunUntilEnded());
  CHECK(scenario.ended->outcome == Outcome::kConnectFailed);
}

TEST_CASE("an attempt stopped with its request partly written never sends the last byte") {
  WorkerClientScenario scenario;
  const std::string body(std::size_t{16} << 20, 'x');
  scenario.Start(body);
  const OwnedSocket peer(scenario.Accept());
  scenario.RunLoop(3);
  REQUIRE(scenario.sent == 0);
  scenario.client.Stop(kAttempt);
  scenario.RunLoop(3);
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
  CHECK(scenario.sent + scenario.other_events == 0);
}

TEST_CASE("an attempt stopped before Send writes nothing") {
  WorkerClientScenario scenario;
  scenario.Start();
  scenario.client.Stop(kAttempt);
  const OwnedSocket peer(scenario.Accept());
  scenario.RunLoop(3);
  CHECK(Peek(peer).empty());  // the connection ends without any bytes
  CHECK(scenario.sent + scenario.other_events == 0);
}

TEST_CASE("the receiver of AttemptSent may stop the attempt at once") {
  WorkerClientScenario scenario;
  scenario.stop_when_sent = true;
  scenario.Start();
  const OwnedSocket peer(scenario.Accept());
  scenario.RunLoop(3);
  CHECK(IsCompleteRequest(Peek(peer)));
  CHECK(scenario.sent == 1);
  CHECK(scenario.other_events == 0);
}

}  // namespace
}  // namespace aldersill::tests
