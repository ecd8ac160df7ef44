// Tests which operator's files are accepted, and the errors for those that are rejected.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "config/errors.h"
#include "config/operator_file.h"

namespace aldersill::tests {
namespace {

// Returns the error for this text as an operator's file named "f"; empty if the text is valid.
std::string ErrorOf(const std::string& text) {
  try {
    ParseOperatorText(text, "f");
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

struct ErrorCase {
  const char* text;
  const char* error;
};

void CheckErrors(const std::vector<ErrorCase>& error_cases) {
  for (const ErrorCase& error_case : error_cases) {
    CAPTURE(error_case.text);
    CHECK(ErrorOf(error_case.text) == error_case.error);
  }
}

TEST_CASE("a bad value is rejected with file, line, path and the accepted values") {
  CheckErrors({
      {"faktory:\n  enabled: perhaps\n", "f:2: faktory.enabled must be true or false"},
      {"logging:\n  level: warn\n",
       "f:2: logging.level must be one of debug, info, warning, error: did you mean 'warning'?"},
      {"snmp:\n  listen: localhost\n", "f:2: snmp.listen must be address:port, not 'localhost'"},
      {"snmp:\n  listen: 10.0.0.1:5\n", "f:2: snmp.listen must be a loopback address"},
      {"snmp:\n  listen: [1]\n", "f:2: snmp.listen must be address:port"},
      {"faktory:\n\n  fetch_wait_ms: 0\n",
       "f:3: faktory.fetch_wait_ms must be a whole number from 1 to 600000"},
      {"faktory:\n  fetch_wait_ms: 1.5\n",
       "f:2: faktory.fetch_wait_ms must be a whole number from 1 to 600000"},
      {"logging:\n  format: xml\n", "f:2: logging.format must be one of text, json"},
  });
}

TEST_CASE("an unknown field is rejected with the most similar name and all accepted names") {
  CheckErrors({
      {"faktory:\n  enabled: true\n  listne: 127.0.0.1:1\n",
       "f:3: faktory.listne is unknown: did you mean 'listen'? Accepted: enabled, fetch_patience_ms, "
       "fetch_wait_ms, listen, worker_return_ms, worker_silence_ms"},
      {"\nloging: {}\n",
       "f:2: loging is unknown: did you mean 'logging'? Accepted: control, duties, faktory, logging, "
       "membership, snmp"},
      {"snmp:\n  qxzzy: 1\n", "f:2: snmp.qxzzy is unknown. Accepted: enabled, listen"},
  });
}

TEST_CASE("the error for contradictory fields names the field to change") {
  CheckErrors({
      {"membership:\n  enabled: true\n", "f:2: membership.key_file is missing: membership needs a key"},
      {"membership:\n  listen: 0.0.0.0:1\n",
       "f:2: membership.advertise is missing: others cannot reach 0.0.0.0"},
      {"membership:\n  probe_interval_ms: 100\n  probe_timeout_ms: 100\n",
       "f:3: membership.probe_timeout_ms must be less than probe_interval_ms"},
      {"duties:\n  probing: true\n", "f:2: duties need membership.enabled"},
      {"duties:\n  exclusive: [a]\n  voters: [x, y]\n",
       "f:3: duties.voters must name at least three instances where a duty is exclusive"},
      {"duties:\n  probes: {interval_ms: 1000, timeout_ms: 501}\n",
       "f:2: duties.probes.timeout_ms must be at most half of interval_ms"},
  });
}

TEST_CASE("a section that is not a map or has a field twice is rejected") {
  CheckErrors({
      {"faktory: 3\n", "f:1: faktory must be a map of fields"},
      {"- a\n", "f:1: the file must be a map of fields"},
      {"snmp:\n  enabled: true\n  enabled: false\n", "f:3: snmp.enabled is given twice"},
      {"snmp: {}\nsnmp: {}\n", "f:2: snmp is given twice"},
  });
}

TEST_CASE("a text that is not YAML is rejected with one line") {
  CHECK(ErrorOf("faktory: [\n").starts_with("f:2: is not YAML: "));
  CHECK(ErrorOf("a: \"\n").find('\n') == std::string::npos);
}

TEST_CASE("missing fields, unknown fields and bad values have separate error types") {
  CHECK_THROWS_AS(ParseOperatorText("membership: {enabled: true}", "f"), MissingField);
  CHECK_THROWS_AS(ParseOperatorText("snmp: {prot: 1}", "f"), UnknownField);
  CHECK_THROWS_AS(ParseOperatorText("logging: {format: xml}", "f"), BadValue);
}

TEST_CASE("an empty file or section has all defaults") {
  CHECK(ErrorOf("") == "");
  CHECK(ErrorOf("faktory:\nsnmp:\n") == "");
}

TEST_CASE("JSON is read as YAML, and absent fields have their defaults") {
  const OperatorSettings settings = ParseOperatorText(
      R"({"faktory": {"enabled": true, "fetch_wait_ms": 50}, "logging": {"format": "json"}})", "f");
  CHECK(settings.faktory.enabled);
  CHECK(settings.faktory.fetch_wait == 50 * kMillisecond);
  CHECK(settings.faktory.worker_heartbeat_timeout == 60 * kSecond);
  CHECK(settings.logging.format == LogSettings::Format::kJson);
}

TEST_CASE("printed settings parse to the same settings") {
  const OperatorSettings settings = ParseOperatorText(
      R"({"faktory": {"enabled": true, "fetch_wait_ms": 50}, "logging": {"format": "json"}})", "f");
  const std::string printed = PrintOperatorSettings(settings);
  CHECK(PrintOperatorSettings(ParseOperatorText(printed, "f")) == printed);
  CHECK(printed.find("fetch_wait_ms: 50\n") != std::string::npos);
  CHECK(printed.find("listen: 127.0.0.1:1161\n") != std::string::npos);
}

}  // namespace
}  // namespace aldersill::tests
