// The program exits with one line that names the error if it is started with a bad configuration.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "daemon_under_test.h"
#include "platform_config.h"

namespace aldersill::tests {
namespace {

struct BadValue {
  const char* pointer;  // JSON pointer to the field in the configuration
  nlohmann::json value;
  const char* error;  // part of the expected line
};

const std::vector<BadValue>& BadValues() {
  static const std::vector<BadValue> kValues = {
      {"/listen", "localhost", "listen must be address:port"},
      {"/discovery", "127.0.0.1", "discovery must be address:port"},
      {"/seed", "xyz", "seed must be hex digits"},
      {"/limits/sockets", 10, "limits.sockets must be at least 64"},
      {"/known", {{"servers", 3}}, "known servers must be a list"},
      {"/settings/grades", nlohmann::json::array(), "settings.grades must name at least one class"},
      {"/settings/grades/1/repeat", "often",
       "settings.grades[1].repeat must be one of retryable, dedup, fragile, not 'often'"},
      {"/settings/report/how", "pul", "silent, piggyback, pull, not 'pul': did you mean 'pull'?"},
      {"/settings/tenants/0/name", nullptr, "settings.tenants[0].name is missing: it must be a string"},
      {"/settings/grades/0/target", -5, "settings.grades[0].target must be positive"},
      {"/settings/grades/1/repeat", nullptr,
       "settings.grades[1].repeat is missing: it must be one of retryable, dedup, fragile"},
      {"/settings/grades/0/deadline", nullptr,
       "settings.grades[0].deadline is missing: it must be a time in microseconds"},
      {"/settings/grades/0/deadline", 0, "settings.grades[0].deadline must be positive"},
      {"/settings/grades/1/dedupWindow", 0, "settings.grades[1].dedupWindow must be positive"},
      {"/settings/peersTotal", 0, "settings.peersTotal must be at least 1"},
      {"/settings/limits/dialTimeout", "soon", "settings.limits.dialTimeout must be a number"},
      {"/settings/tenants/0/share", true, "settings.tenants[0].share must be a number"},
  };
  return kValues;
}

// Checks that the program opens no listener, logs exactly one line and exits with status 1.
void ExpectStartFailure(DaemonUnderTest* daemon) {
  CHECK(daemon->ports().empty());
  CHECK(daemon->WaitForExit() == 1);
  CHECK(std::count(daemon->log().begin(), daemon->log().end(), '\n') == 1);
}

TEST_CASE("with a bad configuration the program exits with one line that names the field") {
  for (const BadValue& bad : BadValues()) {
    CAPTURE(bad.pointer);
    nlohmann::json config = ConfigWithoutDiscovery();
    config[nlohmann::json::json_pointer(bad.pointer)] = bad.value;
    DaemonUnderTest daemon(config, kNoOperatorSettings);
    ExpectStartFailure(&daemon);
    CHECK(daemon.log().find(bad.error) != std::string::npos);
  }
  DaemonUnderTest daemon(ConfigWithoutDiscovery(),
                         {{"faktory", {{"enabled", true}, {"listen", "0.0.0.0:7419"}}}});
  ExpectStartFailure(&daemon);
  CHECK(daemon.log().ends_with("/aldersill.yaml:1: faktory.listen must be a loopback address\n"));
}

}  // namespace
}  // namespace aldersill::tests
