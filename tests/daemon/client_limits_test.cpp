// Connections of service clients when the daemon runs out of descriptors or reaches its connection limit.
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "client_scenario.h"

namespace aldersill::tests {
namespace {

TEST_CASE("without free descriptors the daemon does not busy-loop and serves new clients later") {
  ClientScenario scenario;
  std::vector<Socket> clients;
  std::vector<Socket> attempts;
  // Opens connections until the daemon's descriptors are numbered without a gap. A limit at their number then
  // keeps the daemon from accepting another connection.
  const auto lowest_free = [&] {
    int fd = 0;
    while (std::filesystem::exists(std::filesystem::symlink_status(
        "/proc/" + std::to_string(scenario.daemon->pid()) + "/fd/" + std::to_string(fd))))
      ++fd;
    return fd;
  };
  do {
    clients.push_back(scenario.Connect());
    const std::string id = "r" + std::to_string(clients.size());
    REQUIRE(Send(clients.back(), Request(id)));
    attempts.push_back(scenario.AcceptAttempt(id));
  } while (lowest_free() < scenario.Descriptors());
  rlimit limit{};
  REQUIRE(prlimit(scenario.daemon->pid(), RLIMIT_NOFILE, nullptr, &limit) == 0);
  limit.rlim_cur = static_cast<rlim_t>(scenario.Descriptors());
  REQUIRE(prlimit(scenario.daemon->pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
  const Socket new_client = scenario.Connect();
  REQUIRE(Send(new_client, kReadyRequest));
  CHECK(!WaitReadable(new_client, 500));
  for (Socket& client : clients)
    client.Close();
  CHECK(Receive(new_client, "ready\n").text.starts_with(kStatusOk));
  scenario.daemon->Signal(SIGTERM);
  CHECK(scenario.daemon->WaitForExit() == 0);
  CHECK(CountOf("\n", scenario.daemon->log()) < 200);
}

TEST_CASE(
    "a valid client is served while idle, silent and invalid ones use up the limit and discovery is down") {
  const Socket closed_discovery = tools::ListenOn(0);
  shutdown(closed_discovery.fd(), SHUT_RDWR);
  ClientScenario scenario(nlohmann::json{{"/limits/sockets", 64}});
  scenario.RestartWithCachedList(closed_discovery, std::chrono::milliseconds(500));
  std::vector<Socket> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(scenario.Connect());
    switch (i % 4) {
      case 0:
        REQUIRE(Send(clients.back(), kReadyRequest));
        break;
      case 1:
        static_cast<void>(Send(clients.back(), "hello\r\n\r\n"));
        break;
      case 2:
        static_cast<void>(Send(clients.back(), "POST /cobro HTTP/1.1\r\n"));
        break;
      default:
        break;
    }
  }
  const Socket valid_client = scenario.Connect();
  REQUIRE(Send(valid_client, Request("r1")));
  ClientScenario::Complete(scenario.AcceptAttempt("r1"), "r1");
  CHECK(Receive(valid_client, "ran r1").text.starts_with(kStatusOk));
}

// Guards against a request that is complete but finds its connection closed without an answer: the eviction
// of a stalled connection did not ask whether the rest of its request was there and only not read yet.
TEST_CASE("a slow request whose last bytes are unread when its descriptor is needed is served") {
  // More than the connections that 64 descriptors allow.
  constexpr int kNewcomers = 80;
  ClientScenario scenario(nlohmann::json{{"/limits/sockets", 64}});
  const Socket slow = scenario.Connect();
  const std::string request = Request("r1", "half, and the rest");
  REQUIRE(Send(slow, request.substr(0, request.size() - 8)));
  // A request in part counts as stalled after 500 ms.
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  // The newcomers and the last bytes wait for the daemon, which accepts the newcomers before it reads.
  scenario.daemon->Suspend();
  std::vector<Socket> newcomers;
  for (int i = 0; i < kNewcomers; ++i)
    newcomers.push_back(scenario.Connect());
  REQUIRE(Send(slow, request.substr(request.size() - 8)));
  scenario.daemon->Signal(SIGCONT);
  ClientScenario::Complete(scenario.AcceptAttempt("r1"), "r1");
  CHECK(Receive(slow, "ran r1").text.starts_with(kStatusOk));
}

// Guards against a request that is read but finds its connection closed without an answer: the eviction of a
// connection whose response is unread did not ask whether the next request was there.
TEST_CASE("a request behind an unread response is served although its descriptor is needed") {
  constexpr int kNewcomers = 80;
  const std::string padding(30'000, '-');
  ClientScenario scenario(nlohmann::json{{"/limits/sockets", 64}});
  const Socket slow = scenario.Connect();
  // Responses are left unread until the connection takes no more of them. The last request then waits.
  std::string id = "r1";
  REQUIRE(Send(slow, Request(id)));
  for (int number = 2; WaitReadable(scenario.worker, 300); ++number) {
    ClientScenario::Complete(scenario.AcceptAttempt(id), id, padding);
    id = "r" + std::to_string(number);
    REQUIRE(Send(slow, Request(id)));
  }
  // A response counts as unread after a second.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'100));
  std::vector<Socket> newcomers;
  for (int i = 0; i < kNewcomers; ++i)
    newcomers.push_back(scenario.Connect());
  Received received;
  {
    const std::jthread reader([&] { received = Receive(slow, "last response"); });
    ClientScenario::Complete(scenario.AcceptAttempt(id), id, "last response");
  }
  CHECK(received.text.ends_with("last response"));
}

TEST_CASE("a stalled request is rejected before its connection is closed for a new one") {
  constexpr int kNewcomers = 80;
  ClientScenario scenario(nlohmann::json{{"/limits/sockets", 64}});
  const Socket slow = scenario.Connect();
  REQUIRE(Send(slow, Request("r1", "half, and the rest").substr(0, 60)));
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  std::vector<Socket> newcomers;
  for (int i = 0; i < kNewcomers; ++i)
    newcomers.push_back(scenario.Connect());
  const Received received = Receive(slow);
  CHECK(received.text.starts_with("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: "));
  CHECK(scenario.NothingForwarded());
}

}  // namespace
}  // namespace aldersill::tests
