// Tests the program's log in JSON format.
#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "daemon_under_test.h"

namespace aldersill::tests {
namespace {

TEST_CASE("each JSON log line is one object with a time, a level and an event with typed fields") {
  nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  config.erase("discovery");
  // DaemonUnderTest finds ports in text lines only, so ports() stays empty.
  DaemonUnderTest daemon(config,
                         {{"logging", {{"format", "json"}}}, {"faktory", {{"listen", "127.0.0.1:1"}}}},
                         "ALDERSILL_SETTINGS", "\"event\":\"serving\"");
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
  std::istringstream lines(daemon.log());
  bool serving = false;
  for (std::string line; std::getline(lines, line);) {
    const nlohmann::json json = nlohmann::json::parse(line);
    CHECK(json.at("time").get<std::string>().size() == 27);
    CHECK(json.at("level") == "info");
    if (json.at("event") == "serving")
      serving = json.at("cached_workers").is_number();
  }
  CHECK(serving);
}

}  // namespace
}  // namespace aldersill::tests
