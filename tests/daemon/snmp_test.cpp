// Tests the SNMP agent of the running program with queries over UDP.
#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "daemon_under_test.h"
#include "player.h"
#include "snmp_probe.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

// Object identifiers below the root of the MIB. Class 3 is cobro, outcome 1 is served.
constexpr char kOpenRequests[] = "1.1.0";
constexpr char kReadyWorkers[] = "1.3.0";
constexpr char kLastScalar[] = "1.10.0";
constexpr char kBeyondScalars[] = "1.11.0";
constexpr char kFirstClassName[] = "2.1.2.1";
constexpr char kCobroName[] = "2.1.2.3";
constexpr char kFirstClassReceived[] = "2.1.3.1";
constexpr char kCobroReceived[] = "2.1.3.3";
constexpr char kCobroServed[] = "2.1.4.3";
constexpr char kAttemptsServed[] = "3.1.3.1";
constexpr char kRejectedWith400[] = "7.1.2.400";
constexpr char kRejectedWith405[] = "7.1.2.405";

std::string Id(const std::string& below_root) { return std::string(tools::kAldersillMib) + "." + below_root; }

// Runs the program with SNMP and Faktory enabled and without discovery.
class SnmpFixture {
 public:
  SnmpFixture()
      : daemon_(Config(), {{"faktory", {{"enabled", true}, {"listen", "127.0.0.1:0"}}},
                           {"snmp", {{"enabled", true}, {"listen", "127.0.0.1:0"}}}}),
        probe_(Port("snmp")) {}

  std::uint16_t Port(const std::string& listener) {
    REQUIRE(daemon_.ports().contains(listener));
    return daemon_.ports().at(listener);
  }
  std::string Get(const std::string& below_root) { return probe_.Get(Id(below_root))->value; }
  std::string GetNext(const std::string& id) { return probe_.GetNext(id)->id; }
  tools::SnmpProbe& probe() { return probe_; }
  DaemonUnderTest& daemon() { return daemon_; }

  // Stops the program and checks that every line of its output was written by Log().
  void End() {
    daemon_.Signal(SIGTERM);
    CHECK(daemon_.WaitForExit() == 0);
    std::istringstream lines(daemon_.log());
    for (std::string line; std::getline(lines, line);) {
      CHECK(line.starts_with("aldersill: "));
      CHECK(line.find("Connection from") == std::string::npos);
    }
  }

 private:
  static nlohmann::json Config() {
    nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config.erase("discovery");
    return config;
  }

  DaemonUnderTest daemon_;
  tools::SnmpProbe probe_;
};

TEST_CASE("a job is counted while it is open and after it is served") {
  SnmpFixture fixture;
  CHECK(fixture.Get(kCobroReceived) == "0");

  tools::FaktorySession worker(fixture.Port("faktory"), "w1");
  tools::FaktorySession info(fixture.Port("faktory"));
  while (info.SendCommand("INFO").value().find("\"workers\":1") == std::string::npos) {
  }
  CHECK(fixture.Get(kReadyWorkers) == "1");
  tools::FaktorySession client(fixture.Port("faktory"));
  client.wire().Write(
      "PUSH "
      "{\"jid\":\"j1\",\"jobtype\":\"cobro\",\"args\":[],\"custom\":{\"tenant\":\"hogar-del-sur\"}}\r\n");
  REQUIRE(worker.SendCommand("FETCH default"));
  CHECK(fixture.Get(kOpenRequests) == "1");
  REQUIRE(worker.SendCommand("ACK {\"jid\":\"j1\"}") == "+OK");
  REQUIRE(client.wire().ReadLine() == "+OK");
  CHECK(fixture.Get(kOpenRequests) == "0");
  CHECK(fixture.Get(kCobroName) == "cobro");
  CHECK(fixture.Get(kCobroReceived) == "1");
  CHECK(fixture.Get(kCobroServed) == "1");
  CHECK(fixture.Get(kAttemptsServed) == "1");
  fixture.End();
}

TEST_CASE("a request that a frontend rejects is counted by status and not in a class") {
  SnmpFixture fixture;
  CHECK(tools::Player({{"http", fixture.Port("http")}})
            .Play("connect h http\nsend h\n| PUT /cobro HTTP/1.1\n|\n"
                  "expect h\n| HTTP/1.1 405 Method Not Allowed\n") == "");
  CHECK(fixture.Get(kRejectedWith405) == "1");
  CHECK(fixture.Get(kRejectedWith400) == "0");
  CHECK(fixture.Get(kCobroReceived) == "0");
  fixture.End();
}

TEST_CASE("GETNEXT visits every object once, and also starts from before the root and from gaps") {
  SnmpFixture fixture;
  CHECK(fixture.probe().Walk(tools::kAldersillMib).size() == 10 + 3 * 7 + 8 * 2 + 6);
  CHECK(fixture.GetNext("1.3.6.1.4.1.8072.9999.9999.7418") == Id(kOpenRequests));
  CHECK(fixture.GetNext(Id(kLastScalar)) == Id(kFirstClassName));
  CHECK(fixture.GetNext(Id(kCobroName)) == Id(kFirstClassReceived));
  CHECK(fixture.Get(kBeyondScalars) == "noSuchInstance");
  fixture.End();
}

TEST_CASE("writes, other MIBs and other communities are rejected") {
  SnmpFixture fixture;
  CHECK(fixture.probe().Set(Id(kOpenRequests), 7)->value != "7");
  CHECK(fixture.Get(kOpenRequests) == "0");
  CHECK(fixture.probe().Get("1.3.6.1.2.1.1.1.0")->value == "noSuchObject");
  CHECK(!tools::SnmpProbe(fixture.Port("snmp"), "private", 200).Get(Id(kOpenRequests)));
  fixture.End();
}

}  // namespace
}  // namespace aldersill::tests
