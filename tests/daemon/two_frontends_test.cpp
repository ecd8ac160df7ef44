// Tests of the running program with both frontends: one rule applies, whichever frontend receives a job.
#include "two_frontends.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "blocked_worker.h"
#include "daemon_under_test.h"
#include "platform_config.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

using tools::FaktorySession;
using Clock = std::chrono::steady_clock;

// Guards against a client that is answered with the result of another client's job: a push with the id of an
// HTTP client's open request used to run, and its ACK answered the HTTP client.
TEST_CASE("a push with the id of an open HTTP request is refused, and the request gets its own result") {
  TwoFrontends dispatcher;
  tools::HttpMessage answer;
  std::thread client([&] { answer = dispatcher.Post("r1"); });
  CHECK(dispatcher.Fetch() == "r1");
  CHECK(dispatcher.Push("r1").starts_with("-ERR FAILED"));
  dispatcher.Acknowledge("r1", "result of r1");
  client.join();
  CHECK(answer.body == "result of r1");
}

TEST_CASE("an HTTP request with the id of an open push is refused, and the push gets its own reply") {
  TwoFrontends dispatcher;
  std::string reply;
  std::thread client([&] { reply = dispatcher.Push("r1"); });
  CHECK(dispatcher.Fetch() == "r1");
  CHECK(dispatcher.Post("r1").start == "HTTP/1.1 409 Conflict");
  dispatcher.Acknowledge("r1", "");
  client.join();
  CHECK(reply == "+OK");
}

// Times after SIGTERM. New sessions are accepted for some time, and a push counts as late after 0.6 s.
constexpr std::chrono::milliseconds kConnectAt{450};
constexpr std::chrono::milliseconds kPushAt{800};
// SIGKILL follows after 3 s, the longest deadline that counts, and 0.7 s more.
constexpr std::chrono::milliseconds kKillAt{3'700};

// Guards against a job that is taken and run but finds no answer before SIGKILL: a push late in the drain
// used to keep its own deadline.
TEST_CASE("a push late in the drain is answered before SIGKILL") {
  BlockedWorker worker;
  nlohmann::json config = TwoFrontends::PlatformConfig();
  config["known"]["servers"] = {KnownServer("s-1", worker.port())};
  for (int tries = 0;; ++tries) {
    DaemonUnderTest daemon(config, TwoFrontends::OperatorSettings());
    const auto signalled_at = Clock::now();
    daemon.Signal(SIGTERM);
    REQUIRE(daemon.WaitForLogLine("draining"));
    std::string reply;
    try {
      std::this_thread::sleep_until(signalled_at + kConnectAt);
      FaktorySession producer(daemon.ports().at("faktory"));
      std::this_thread::sleep_until(signalled_at + kPushAt);
      reply = producer.SendCommand(PushCommand("late")).value();
    } catch (const std::exception&) {
      REQUIRE(tries < 20);
      continue;  // the machine was too slow: the session was closed before the push
    }
    CHECK(Clock::now() - signalled_at < kKillAt);
    CHECK(reply.starts_with("-ERR FAILED"));
    worker.AwaitRun("late");
    CHECK(daemon.WaitForExit() == 0);
    break;
  }
}

}  // namespace
}  // namespace aldersill::tests
