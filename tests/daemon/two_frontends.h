// The program with both frontends and one Faktory worker, which the test code impersonates.
#ifndef ALDERSILL_TESTS_DAEMON_TWO_FRONTENDS_H_
#define ALDERSILL_TESTS_DAEMON_TWO_FRONTENDS_H_

#include <doctest/doctest.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "daemon_under_test.h"
#include "platform_config.h"
#include "stand_ins.h"

namespace aldersill::tests {

constexpr int kDeadlineMs = 20'000;
constexpr int kFetchWaitMs = 400;

inline std::string PushCommand(const std::string& jid, int deadline_ms = kDeadlineMs) {
  const nlohmann::json job = {{"jid", jid},
                              {"jobtype", "cobro"},
                              {"args", {1}},
                              {"custom", {{"tenant", kTenant}, {"deadline_ms", deadline_ms}}}};
  return "PUSH " + job.dump();
}

class TwoFrontends {
 public:
  TwoFrontends() : daemon(PlatformConfig(), OperatorSettings()), worker(faktory_port(), "w1") {}

  // No HTTP workers, and quotas that delay no job.
  static nlohmann::json PlatformConfig() {
    nlohmann::json config = ConfigWithoutDiscovery();
    RaiseTenantQuotas(&config);
    return config;
  }
  static nlohmann::json OperatorSettings() {
    return {{"faktory",
             {{"enabled", true},
              {"listen", "127.0.0.1:0"},
              {"fetch_wait_ms", kFetchWaitMs},
              {"fetch_patience_ms", 5'000}}}};
  }

  std::uint16_t faktory_port() const { return daemon.ports().at("faktory"); }

  std::string Push(const std::string& jid) const {
    tools::FaktorySession producer(faktory_port());
    return producer.SendCommand(PushCommand(jid)).value();
  }
  tools::HttpMessage Post(const std::string& id, const std::string& body = "x") const {
    tools::Wire client(tools::ConnectTo(daemon.ports().at("http")));
    return tools::Post(&client, "cobro", id, kTenant, kDeadlineMs, body);
  }
  // Waits for the next job and returns it.
  nlohmann::json FetchJob() {
    std::optional<std::string> fetched;
    while (!fetched)
      fetched = worker.SendCommand("FETCH default");
    return nlohmann::json::parse(*fetched);
  }
  // Waits for the next job and returns its id.
  std::string Fetch() { return FetchJob().at("jid"); }
  // Whether the worker gets no job within kFetchWaitMs.
  bool NothingToFetch() { return !worker.SendCommand("FETCH default"); }
  void Acknowledge(const std::string& jid, const std::string& result) {
    CHECK(worker.SendCommand("ACK " + nlohmann::json{{"jid", jid}, {"result", result}}.dump()) == "+OK");
  }

  DaemonUnderTest daemon;
  tools::FaktorySession worker;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_TWO_FRONTENDS_H_
