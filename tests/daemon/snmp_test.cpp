// The agent of the started program, asked over UDP.
#include <doctest/doctest.h>

#include <sstream>

#include "daemon_under_test.h"
#include "player.h"
#include "snmp_probe.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

std::string Id(const std::string& below) { return std::string(tools::kAldersillMib) + "." + below; }

TEST_CASE("counters over SNMP") {
  nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  config.erase("discovery");
  DaemonUnderTest daemon(config, {{"faktory", {{"enabled", true}, {"listen", "127.0.0.1:0"}}},
                                  {"snmp", {{"enabled", true}, {"listen", "127.0.0.1:0"}}}});
  REQUIRE(daemon.ports().contains("snmp"));
  tools::SnmpProbe probe(daemon.ports().at("snmp"));
  CHECK(probe.Get(Id("2.1.3.3"))->value == "0");  // cobro taken

  tools::FaktorySession worker(daemon.ports().at("faktory"), "w1");
  tools::FaktorySession info(daemon.ports().at("faktory"));
  while (info.SendCommand("INFO").value().find("\"workers\":1") == std::string::npos) {
  }
  CHECK(probe.Get(Id("1.3.0"))->value == "1");  // ready instances
  tools::FaktorySession client(daemon.ports().at("faktory"));
  client.wire().Write(
      "PUSH "
      "{\"jid\":\"j1\",\"jobtype\":\"cobro\",\"args\":[],\"custom\":{\"tenant\":\"hogar-del-sur\"}}\r\n");
  REQUIRE(worker.SendCommand("FETCH default"));
  CHECK(probe.Get(Id("1.1.0"))->value == "1");  // open requests
  REQUIRE(worker.SendCommand("ACK {\"jid\":\"j1\"}") == "+OK");
  REQUIRE(client.wire().ReadLine() == "+OK");
  CHECK(probe.Get(Id("1.1.0"))->value == "0");
  CHECK(probe.Get(Id("2.1.2.3"))->value == "cobro");
  CHECK(probe.Get(Id("2.1.3.3"))->value == "1");  // taken
  CHECK(probe.Get(Id("2.1.4.3"))->value == "1");  // served
  CHECK(probe.Get(Id("3.1.3.1"))->value == "1");  // executions served

  // What a frontend turns away is no job of any class.
  CHECK(tools::Player({{"http", daemon.ports().at("http")}})
            .Play("connect h http\nsend h\n| PUT /cobro HTTP/1.1\n|\n"
                  "expect h\n| HTTP/1.1 405 Method Not Allowed\n") == "");
  CHECK(probe.Get(Id("7.1.2.405"))->value == "1");
  CHECK(probe.Get(Id("7.1.2.400"))->value == "0");
  CHECK(probe.Get(Id("2.1.3.3"))->value == "1");

  // GETNEXT walks all of it once, from before the root and from a gap as well.
  CHECK(probe.Walk(tools::kAldersillMib).size() == 8 + 3 * 7 + 8 * 2 + 6);
  CHECK(probe.GetNext("1.3.6.1.4.1.8072.9999.9999.7418")->id == Id("1.1.0"));
  CHECK(probe.GetNext(Id("1.8.0"))->id == Id("2.1.2.1"));
  CHECK(probe.GetNext(Id("2.1.2.3"))->id == Id("2.1.3.1"));
  CHECK(probe.Get(Id("1.9.0"))->value == "noSuchInstance");

  // Nothing can be written, and nothing but this MIB be read.
  CHECK(probe.Set(Id("1.1.0"), 7)->value != "7");
  CHECK(probe.Get(Id("1.1.0"))->value == "0");
  CHECK(probe.Get("1.3.6.1.2.1.1.1.0")->value == "noSuchObject");
  CHECK(!tools::SnmpProbe(daemon.ports().at("snmp"), "private", 200).Get(Id("1.1.0")));

  daemon.Signal(SIGTERM);
  CHECK(daemon.Wait() == 0);
  // The library writes nothing of its own, and every line went through our log.
  std::istringstream lines(daemon.log());
  for (std::string line; std::getline(lines, line);) {
    CHECK(line.starts_with("aldersill: "));
    CHECK(line.find("Connection from") == std::string::npos);
  }
}

}  // namespace
}  // namespace aldersill::tests
