// Tests of the running program with both frontends: one rule applies, whichever frontend receives a job.
#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "daemon_under_test.h"
#include "platform_config.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

using tools::FaktorySession;

constexpr int kDeadlineMs = 20'000;

std::string PushCommand(const std::string& jid) {
  const nlohmann::json job = {{"jid", jid},
                              {"jobtype", "cobro"},
                              {"args", {1}},
                              {"custom", {{"tenant", kTenant}, {"deadline_ms", kDeadlineMs}}}};
  return "PUSH " + job.dump();
}

// The program with both frontends and one Faktory worker, which the test code impersonates.
class TwoFrontends {
 public:
  TwoFrontends()
      : daemon(Config(), {{"faktory", {{"enabled", true}, {"listen", "127.0.0.1:0"}}}}),
        worker(faktory_port(), "w1") {}

  std::uint16_t faktory_port() const { return daemon.ports().at("faktory"); }

  std::string Push(const std::string& jid) const {
    FaktorySession producer(faktory_port());
    return producer.SendCommand(PushCommand(jid)).value();
  }
  tools::HttpMessage Post(const std::string& id) const {
    tools::Wire client(tools::ConnectTo(daemon.ports().at("http")));
    return tools::Post(&client, "cobro", id, kTenant, kDeadlineMs, "x");
  }
  // Waits for the next job and returns its id.
  std::string Fetch() {
    std::optional<std::string> fetched;
    while (!fetched)
      fetched = worker.SendCommand("FETCH default");
    return nlohmann::json::parse(*fetched).at("jid");
  }
  void Acknowledge(const std::string& jid, const std::string& result) {
    CHECK(worker.SendCommand("ACK " + nlohmann::json{{"jid", jid}, {"result", result}}.dump()) == "+OK");
  }

  DaemonUnderTest daemon;
  FaktorySession worker;

 private:
  static nlohmann::json Config() {
    nlohmann::json config = ConfigWithoutDiscovery();
    RaiseTenantQuotas(&config);
    return config;
  }
};

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

}  // namespace
}  // namespace aldersill::tests
