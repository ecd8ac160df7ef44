// What the log says at level info of attempts and requests that fail, and that it does not lose other lines
// for it.
#include <doctest/doctest.h>

#include <string>

#include "client_scenario.h"

namespace aldersill::tests {
namespace {

// A request whose attempt is reset once its worker has it: it may have run, and fails.
void FailRequest(const ClientScenario& scenario, const std::string& id) {
  const Socket client = scenario.Connect();
  REQUIRE(Send(client, Request(id)));
  Socket attempt = scenario.AcceptAttempt(id);
  Reset(&attempt);
  CHECK(Receive(client, "\r\n\r\n").text.starts_with("HTTP/1.1 5"));
}

TEST_CASE("an attempt that fails and its request are logged with their reasons and the request's id") {
  ClientScenario scenario;
  FailRequest(scenario, "r1");
  CHECK(scenario.daemon->WaitForLogLine("outcome=lost why=\"Connection reset by peer\""));
  CHECK(scenario.daemon->WaitForLogLine(" id=r1 result=failed"));
}

TEST_CASE("an attempt that is stopped is logged with the reason, and so is a close by this side") {
  ClientScenario scenario;
  const Socket idle = scenario.Connect(), client = scenario.Connect();
  REQUIRE(Send(idle, kReadyRequest));
  Receive(idle, "ready\n");
  REQUIRE(Send(client, Request("r1", "", 300)));
  const Socket attempt = scenario.AcceptAttempt("r1");
  // The dispatch module ends the request in time for its client, and then gives the attempt up.
  CHECK(scenario.daemon->WaitForLogLine(" id=r1 result=deadline_exceeded"));
  CHECK(scenario.daemon->WaitForLogLine("attempt_stopped attempt=1 why=dispatch_module"));
  scenario.daemon->Signal(SIGTERM);
  Receive(idle);
  CHECK(scenario.daemon->WaitForLogLine("client_connection_closed client=0 why=drain"));
}

TEST_CASE("requests that fail do not crowd out the lines about the process") {
  ClientScenario scenario;
  const nlohmann::json few_lines = {{"logging", {{"lines_per_second", 1}, {"burst", 20}}}};
  scenario.daemon.emplace(scenario.config, few_lines);
  for (int number = 0; number < 60; ++number)
    FailRequest(scenario, "r" + std::to_string(number));
  scenario.daemon->Signal(SIGHUP);
  CHECK(scenario.daemon->WaitForLogLine("configuration_applied"));
}

}  // namespace
}  // namespace aldersill::tests
