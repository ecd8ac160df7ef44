// The log lines at level info about attempts and requests that fail. They name the reason, and their number
// does not suppress other log lines.
#include <doctest/doctest.h>

#include <string>

#include "client_scenario.h"

namespace aldersill::tests {
namespace {

// Sends a request and resets its attempt's connection after the worker has received it. The job may have run,
// so the request fails.
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

TEST_CASE("a stopped attempt and a connection that the daemon closes are logged with their reasons") {
  ClientScenario scenario;
  const Socket idle = scenario.Connect(), client = scenario.Connect();
  REQUIRE(Send(idle, kReadyRequest));
  Receive(idle, "ready\n");
  REQUIRE(Send(client, Request("r1", "", 300)));
  const Socket attempt = scenario.AcceptAttempt("r1");
  // The decision module rejects the request before its client's deadline, and then cancels the attempt.
  CHECK(scenario.daemon->WaitForLogLine(" id=r1 result=deadline_exceeded"));
  CHECK(scenario.daemon->WaitForLogLine("attempt_stopped attempt=1 why=dispatch_module"));
  scenario.daemon->Signal(SIGTERM);
  Receive(idle);
  CHECK(scenario.daemon->WaitForLogLine("client_connection_closed client=0 why=drain"));
}

TEST_CASE("many failed requests do not suppress the log lines about the process") {
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
