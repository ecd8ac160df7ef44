// Tests of the running program's Faktory sessions: pipelined commands, clients that leave, times and bodies.
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "stand_ins.h"
#include "two_frontends.h"

namespace aldersill::tests {
namespace {

using std::chrono::milliseconds;
using tools::FaktorySession;

std::uint16_t PortOf(FaktorySession& session) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  REQUIRE(getsockname(session.wire().fd(), reinterpret_cast<sockaddr*>(&address), &size) == 0);
  return ntohs(address.sin_port);
}

// Pushes that take up at least this many bytes.
std::string PushesOf(std::size_t bytes, const std::string& jid_prefix) {
  std::string pushes;
  for (int number = 1; pushes.size() < bytes; ++number)
    pushes += PushCommand(jid_prefix + std::to_string(number)) + "\r\n";
  return pushes;
}

// The bytes that wait in the kernel on the connections from this port, in either direction.
std::uint64_t WaitingBytes(std::uint16_t client_port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // the header
  std::uint64_t waiting = 0;
  while (std::getline(table, line)) {
    unsigned local = 0;
    unsigned remote = 0;
    unsigned sending = 0;
    unsigned receiving = 0;
    if (std::sscanf(line.c_str(), " %*u: %*x:%x %*x:%x %*x %x:%x", &local, &remote, &sending, &receiving) ==
            4 &&
        (local == client_port || remote == client_port))
      waiting += sending + receiving;
  }
  return waiting;
}

void AwaitAllRead(std::uint16_t client_port) {
  while (WaitingBytes(client_port) > 0)
    std::this_thread::sleep_for(milliseconds(10));
}

// Guards against a job that runs after its client has given up: the deadline of a push that waited behind
// another one used to count from when it was read.
TEST_CASE("the deadline of a pipelined push counts from its last byte") {
  TwoFrontends dispatcher;
  FaktorySession producer(dispatcher.faktory_port());
  producer.wire().Write(PushCommand("first") + "\r\n" + PushCommand("second", 500) + "\r\n");
  CHECK(dispatcher.Fetch() == "first");
  std::this_thread::sleep_for(milliseconds(600));
  dispatcher.Acknowledge("first", "");
  CHECK(producer.wire().ReadLine() == "+OK");
  CHECK(producer.wire().ReadLine().starts_with("-ERR NACK retry-after="));
  CHECK(dispatcher.NothingToFetch());
}

// Guards against jobs of a client that has gone: a session with much unread input did not notice the close.
TEST_CASE("pushes of a client that has gone are not begun, however many wait") {
  TwoFrontends dispatcher;
  int clients = 0;
  for (const std::size_t waiting : {std::size_t{1'000}, std::size_t{400'000}, std::size_t{1'600'000}}) {
    CAPTURE(waiting);
    const std::string first = "first-" + std::to_string(++clients);
    std::uint16_t client_port = 0;
    {
      FaktorySession producer(dispatcher.faktory_port());
      client_port = PortOf(producer);
      producer.wire().Write(PushCommand(first) + "\r\n" + PushesOf(waiting, first + "-"));
      CHECK(dispatcher.Fetch() == first);
    }
    AwaitAllRead(client_port);
    std::this_thread::sleep_for(milliseconds(100));
    dispatcher.Acknowledge(first, "");
    CHECK(dispatcher.NothingToFetch());
  }
}

TEST_CASE("more input than may wait ends a session after the answers to what was read") {
  TwoFrontends dispatcher;
  FaktorySession producer(dispatcher.faktory_port());
  const std::string invalid = "PUSH {\"jid\":\"x\",\"pad\":\"" + std::string(1'000, '-') + "\"}\r\n";
  std::string commands = PushCommand("first") + "\r\n";
  int sent = 0;
  for (; commands.size() < 2'000'000; ++sent)
    commands += invalid;
  producer.wire().Write(commands);
  CHECK(dispatcher.Fetch() == "first");
  AwaitAllRead(PortOf(producer));
  dispatcher.Acknowledge("first", "");
  CHECK(producer.wire().ReadLine() == "+OK");
  int answered = 0;
  std::string reply = producer.wire().ReadLine();
  for (; reply == "-ERR jobtype is missing"; reply = producer.wire().ReadLine())
    ++answered;
  CHECK(reply.starts_with("-ERR NACK retry-after=0.5"));
  CHECK(answered > 900);
  CHECK(answered < sent);
  CHECK_THROWS(producer.wire().ReadLine());
}

TEST_CASE("a job that waited for a FETCH is delivered with the time that is left by then") {
  constexpr int kTimeMs = 4'000;
  constexpr int kWaitMs = 1'000;
  TwoFrontends dispatcher;
  FaktorySession producer(dispatcher.faktory_port());
  producer.wire().Write(PushCommand("job", kTimeMs) + "\r\n");
  std::this_thread::sleep_for(milliseconds(kWaitMs));
  const nlohmann::json job = dispatcher.FetchJob();
  CHECK(job.at("custom").at("deadline_ms") <= kTimeMs - kWaitMs);
  dispatcher.Acknowledge("job", "");
  CHECK(producer.wire().ReadLine() == "+OK");
}

// Guards against a body that is changed on its way to a Faktory worker, whose jobs are JSON: bytes that are
// not UTF-8 used to be replaced.
TEST_CASE("a body that is not UTF-8 reaches a Faktory worker in base64, and UTF-8 as it is") {
  TwoFrontends dispatcher;
  const std::string text = "se\xc3\xb1or";
  for (const std::string& body : {text, std::string("\xff\x00\xfe", 3)}) {
    const std::string id = body == text ? "text" : "bytes";
    std::thread client([&] { CHECK(dispatcher.Post(id, body).body == "done"); });
    const nlohmann::json job = dispatcher.FetchJob();
    CHECK(job.at("args") == nlohmann::json::array({body == text ? text : "/wD+"}));
    CHECK(job.at("custom").value("args_encoding", "") == (body == text ? "" : "base64"));
    dispatcher.Acknowledge(id, "done");
    client.join();
  }
}

TEST_CASE("a push that is not UTF-8, or whose tenant cannot be a header, is refused") {
  TwoFrontends dispatcher;
  FaktorySession producer(dispatcher.faktory_port());
  CHECK(producer.SendCommand("PUSH {\"jid\":\"j\",\"jobtype\":\"cobro\",\"args\":[\"\xff\"]}")
            .value()
            .starts_with("-ERR not UTF-8: "));
  CHECK(producer.SendCommand(
            R"(PUSH {"jid":"j","jobtype":"cobro","args":[],"custom":{"tenant":"a\r\nReq-Id: b"}})") ==
        "-ERR custom.tenant must hold no controls");
  CHECK(dispatcher.NothingToFetch());
}

}  // namespace
}  // namespace aldersill::tests
