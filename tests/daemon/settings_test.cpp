// The operator's file and the command line: what is read, what is refused and how it is told.
#include <doctest/doctest.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/config.h"
#include "config/operator_file.h"
#include "daemon_under_test.h"

namespace aldersill::tests {
namespace {

std::string Complaint(const std::string& text) {
  try {
    ParseOperatorText(text, "f");
  } catch (const ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST_CASE("a bad operator's file is told by file, line, path and what is wrong") {
  const struct {
    const char* text;
    const char* complaint;
  } kBad[] = {
      {"faktory:\n  enabled: perhaps\n", "f:2: faktory.enabled must be true or false"},
      {"faktory:\n  enabled: true\n  listne: 127.0.0.1:1\n",
       "f:3: faktory.listne is unknown: did you mean 'listen'? Accepted: enabled, fetch_patience_ms, "
       "fetch_wait_ms, listen, worker_return_ms, worker_silence_ms"},
      {"\nloging: {}\n",
       "f:2: loging is unknown: did you mean 'logging'? Accepted: control, duties, faktory, logging, "
       "membership, snmp"},
      {"snmp:\n  qxzzy: 1\n", "f:2: snmp.qxzzy is unknown. Accepted: enabled, listen"},
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
      {"faktory: 3\n", "f:1: faktory must be a map of fields"},
      {"- a\n", "f:1: the file must be a map of fields"},
      {"snmp:\n  enabled: true\n  enabled: false\n", "f:3: snmp.enabled is given twice"},
      {"snmp: {}\nsnmp: {}\n", "f:2: snmp is given twice"},
  };
  for (const auto& bad : kBad) {
    CAPTURE(bad.text);
    CHECK(Complaint(bad.text) == bad.complaint);
  }
  CHECK(Complaint("faktory: [\n").starts_with("f:2: is not YAML: "));
  CHECK(Complaint("a: \"\n").find('\n') == std::string::npos);
}

// The error's code and its field's path, of this text as the platform's file.
std::string PlatformTextError(const std::string& text) {
  std::string path = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
  const int file = mkstemp(path.data());
  REQUIRE(file >= 0);
  close(file);
  std::ofstream(path) << text;
  std::string error;
  try {
    for (const std::string& field : ReadPlatformFile(path).unknown)
      error += "unknown " + field + "\n";
  } catch (const ConfigError& e) {
    error = std::string(e.code()) + " " + e.path();
    CHECK(std::string(e.what()).starts_with(e.path() + " "));
  }
  std::filesystem::remove(path);
  return error;
}

nlohmann::json PlatformFile() { return ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json"); }

// With this value in place of its own.
std::string PlatformError(const char* pointer, const nlohmann::json& value) {
  nlohmann::json config = PlatformFile();
  config[nlohmann::json::json_pointer(pointer)] = value;
  return PlatformTextError(config.dump());
}

TEST_CASE("each kind of error is of a type of its own, which names the field") {
  CHECK_THROWS_AS(ParseOperatorText("membership: {enabled: true}", "f"), MissingField);
  CHECK_THROWS_AS(ParseOperatorText("snmp: {prot: 1}", "f"), UnknownField);
  CHECK_THROWS_AS(ParseOperatorText("logging: {format: xml}", "f"), BadValue);
  CHECK(PlatformError("/settings", nullptr) == "missing_field settings");
  CHECK(PlatformError("/settings/grades", nullptr) == "missing_field settings.grades");
  CHECK(PlatformError("/settings/grades/1/name", nullptr) == "missing_field settings.grades[1].name");
  CHECK(PlatformError("/listen", nullptr) == "missing_field listen");
  CHECK(PlatformError("/settings/report/how", "pulls") == "bad_value settings.report.how");
  CHECK(PlatformError("/settings/discovery", "pull") == "bad_value settings.discovery");
  CHECK(PlatformError("/settings/valueBy", "time") == "bad_value settings.valueBy");
  CHECK(PlatformError("/settings/weights", "heavy") == "bad_value settings.weights");
}

TEST_CASE("the platform may add fields and leave out others") {
  CHECK(PlatformError("/settings/grades/1/worht", 3) == "unknown settings.grades[].worht (worth?)\n");
  CHECK(PlatformError("/settings/novelty", {{"of", 1}}) == "unknown settings.novelty\n");
  for (const char* field :
       {"/discovery", "/seed", "/limits", "/known", "/settings/tenants", "/settings/report",
        "/settings/rules", "/settings/limits", "/settings/familyInfo", "/settings/zones"}) {
    CAPTURE(field);
    CHECK(PlatformError(field, nullptr) == "");
  }
  CHECK(PlatformError("/settings/report/how", "pull") == "");
  CHECK(PlatformError("/settings/limits/peers", true) == "");
  CHECK(PlatformError("/peers", {{{"name", "n1"}}}) == "");
  CHECK(PlatformError("/peer_listen", "127.0.0.1:1") == "");
}

TEST_CASE("a class that lacks its name, effect, deadline, aim or window is refused with the field's name") {
  for (const char* field : {"name", "repeat", "deadline", "target"}) {
    CAPTURE(field);
    for (const int i : {0, 1, 2}) {
      const std::string at = std::to_string(i) + "/" + field;
      CHECK(PlatformError(("/settings/grades/" + at).c_str(), nullptr) ==
            "missing_field settings.grades[" + std::to_string(i) + "]." + field);
    }
  }
  // Only a class with keys has a window.
  CHECK(PlatformError("/settings/grades/1/dedupWindow", nullptr) ==
        "missing_field settings.grades[1].dedupWindow");
  CHECK(PlatformError("/settings/grades/0/dedupWindow", nullptr) == "");
  CHECK(PlatformError("/settings/grades/2/dedupWindow", nullptr) == "");
}

TEST_CASE("a number out of its range is refused with the field's name") {
  const nlohmann::json kNegative = -1, kZero = 0, kHuge = 1e300, kText = "NaN";
  const auto refused = [](const std::string& pointer, const std::vector<nlohmann::json>& values) {
    std::string path;
    for (const char c : pointer.substr(1))
      path += c == '/' ? '.' : c;
    for (const char* digit : {"0", "1", "2"}) {
      const std::size_t at = path.find(std::string(".") + digit);
      if (at != std::string::npos)
        path.replace(at, 2, std::string("[") + digit + "]");
    }
    for (const nlohmann::json& value : values) {
      CAPTURE(pointer);
      CAPTURE(value.dump());
      CHECK(PlatformError(pointer.c_str(), value) == "bad_value " + path);
    }
  };
  for (const char* positive :
       {"/settings/grades/0/target", "/settings/grades/0/deadline", "/settings/grades/1/dedupWindow",
        "/settings/rules/mustAskIn", "/settings/rules/fall", "/settings/limits/dialTimeout"})
    refused(positive, {kNegative, kZero, kHuge, kText, 0.4, true});
  refused("/settings/rules/overloadFactor", {kNegative, kZero, kText});
  for (const char* not_negative :
       {"/settings/grades/0/worth", "/settings/tenants/0/share", "/settings/tenants/1/quotaPerS",
        "/settings/prices/crossZone", "/settings/prices/probe"})
    refused(not_negative, {kNegative, kText});
  for (const char* time :
       {"/settings/grades/0/dedupWindow", "/settings/rules/answerSlack", "/settings/rules/drainGrace",
        "/settings/rules/warmAfter", "/settings/limits/maxRetryAfter", "/settings/familyInfo/progress"})
    refused(time, {kNegative, kHuge, kText});
  for (const char* fraction :
       {"/settings/grades/0/lateValue", "/settings/rules/coldShare", "/settings/overShareWorth"})
    refused(fraction, {kNegative, 1.01, kText});
  for (const char* count : {"/settings/peersTotal", "/settings/limits/maxAttempts"})
    refused(count, {kNegative, kZero, 3e9, kText});
  refused("/limits/sockets", {kNegative, kZero, 63, 3e9});
  refused("/limits/memory_mb", {kNegative, kZero, 15, 3e9});
  refused("/settings/familyInfo/classKind/0", {-2, 2, 3e9});
  refused("/settings/familyInfo/classStretch/1", {kNegative, kText});
  refused("/settings/familyInfo/classPriority/2", {3e9, kText});
  CHECK(PlatformError("/settings/grades/1/aimStretch", -1) == "bad_value settings.grades[1].aimStretch");
  CHECK(
      PlatformError("/settings/tenants", {{{"name", "a"}, {"share", 0}}, {{"name", "b"}, {"share", 0.0}}}) ==
      "bad_value settings.tenants");
  // Of two classes with one name nobody can tell which holds.
  CHECK(PlatformError("/settings/grades/2/name", "certificado") == "bad_value settings.grades[2].name");
  // What no number can hold is no number any more when it is read: the name is told without its path.
  std::string text = PlatformFile().dump();
  const std::string deadline = "\"deadline\":25000000";
  REQUIRE(text.find(deadline) != std::string::npos);
  text.replace(text.find(deadline), deadline.size(), "\"deadline\":1e999");
  CHECK(PlatformTextError(text) == "bad_value deadline");
}

TEST_CASE("any number that keeps the rules is taken, down to short deadlines and windows") {
  for (const char* zero :
       {"/settings/grades/0/dedupWindow", "/settings/grades/0/worth", "/settings/grades/1/lateValue",
        "/settings/rules/answerSlack", "/settings/rules/drainGrace", "/settings/rules/coldShare",
        "/settings/rules/warmAfter", "/settings/limits/maxRetryAfter", "/settings/familyInfo/progress",
        "/settings/prices/probe", "/settings/tenants/0/share", "/settings/tenants/0/quotaPerS",
        "/settings/overShareWorth"}) {
    CAPTURE(zero);
    CHECK(PlatformError(zero, 0) == "");
  }
  CHECK(PlatformError("/settings/grades/1/dedupWindow", 1) == "");
  CHECK(PlatformError("/settings/grades/1/deadline", 300000) == "");
  CHECK(PlatformError("/settings/grades/1/target", 20000000) == "");  // beyond the deadline
  CHECK(PlatformError("/settings/limits/maxAttempts", 1) == "");
  CHECK(PlatformError("/settings/peersTotal", 300) == "");
  CHECK(PlatformError("/settings/limits/dialTimeout", 1) == "");
  // Classes that nobody has heard of, of any number.
  nlohmann::json config = PlatformFile();
  const nlohmann::json keyed = config["settings"]["grades"][1];
  for (int i = 0; i < 40; ++i) {
    config["settings"]["grades"].push_back(keyed);
    config["settings"]["grades"].back()["name"] = "new-" + std::to_string(i);
    config["settings"]["grades"].back()["hue"] = "red";
  }
  CHECK(PlatformTextError(config.dump()) == "unknown settings.grades[].hue\n");
}

TEST_CASE("what is left out stands with its default; JSON is YAML; what is printed reads back the same") {
  CHECK(Complaint("") == "");
  CHECK(Complaint("faktory:\nsnmp:\n") == "");
  const OperatorSettings s = ParseOperatorText(
      R"({"faktory": {"enabled": true, "fetch_wait_ms": 50}, "logging": {"format": "json"}})", "f");
  CHECK(s.faktory.enabled);
  CHECK(s.faktory.fetch_wait == 50 * kMillisecond);
  CHECK(s.faktory.worker_silence == 60 * kSecond);
  CHECK(s.logging.format == LogSettings::Format::kJson);
  const std::string printed = PrintOperatorSettings(s);
  CHECK(PrintOperatorSettings(ParseOperatorText(printed, "f")) == printed);
  CHECK(printed.find("fetch_wait_ms: 50\n") != std::string::npos);
  CHECK(printed.find("listen: 127.0.0.1:1161\n") != std::string::npos);
}

// Runs the program; its exit status, and what it wrote to either stream.
int RunProgram(const std::string& arguments, std::string* output) {
  output->clear();
  std::FILE* pipe = popen((std::string(ALDERSILL_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  REQUIRE(pipe != nullptr);
  char buffer[512];
  while (std::fgets(buffer, sizeof(buffer), pipe) != nullptr)
    *output += buffer;
  const int status = pclose(pipe);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST_CASE("the command line checks and prints configurations, and says what it cannot do") {
  std::string pattern = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
  REQUIRE(mkdtemp(pattern.data()) != nullptr);
  const std::filesystem::path folder = pattern;
  const std::string good = folder / "good.yaml", bad = folder / "bad.yaml";
  std::ofstream(good) << "faktory: {enabled: true}\n";
  std::ofstream(bad) << "faktory: {enabld: true}\n";
  const std::string platform = std::string(ALDERSILL_EXCHANGES) + "/config.json";
  std::string output;
  CHECK(RunProgram("check-config " + good + " " + platform, &output) == 0);
  CHECK(output == good + ": good, as the operator's settings\n" + platform +
                      ": good, as the platform's configuration\n");
  CHECK(RunProgram("check-config " + good + " " + bad, &output) == 1);
  CHECK(output.find(bad + ":1: faktory.enabld is unknown: did you mean 'enabled'? Accepted: ") !=
        std::string::npos);
  CHECK(RunProgram("check-config " + (folder / "none.yaml").string(), &output) == 1);
  CHECK(output.ends_with("none.yaml:1: the file cannot be read\n"));
  setenv("ALDERSILL_SETTINGS", good.c_str(), 1);
  CHECK(RunProgram("print-config", &output) == 0);
  CHECK(output.find("faktory:\n  enabled: true\n  listen: 127.0.0.1:7419\n") != std::string::npos);
  setenv("ALDERSILL_FRONTS", good.c_str(), 1);
  CHECK(RunProgram("print-config", &output) == 1);
  CHECK(output.find("ALDERSILL_SETTINGS and ALDERSILL_FRONTS are both set") != std::string::npos);
  unsetenv("ALDERSILL_SETTINGS");
  unsetenv("ALDERSILL_FRONTS");
  CHECK(RunProgram("--version", &output) == 0);
  CHECK(output.starts_with("aldersill "));
  CHECK(RunProgram("serv", &output) == 2);
  CHECK(RunProgram("check-config", &output) == 2);
  CHECK(RunProgram("--help", &output) == 0);
  CHECK(output.find("Exit status") != std::string::npos);
  unsetenv("GW_CONFIG");
  CHECK(RunProgram("serve", &output) == 1);
  CHECK(output == "aldersill: GW_CONFIG is not set\n");
  std::filesystem::remove_all(folder);
}

TEST_CASE("log lines as JSON are one object each, with the event and its fields typed") {
  nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  config.erase("discovery");
  // The helper reads the doors from text lines, so it finds none here and reads on to the end.
  DaemonUnderTest daemon(config,
                         {{"logging", {{"format", "json"}}}, {"faktory", {{"listen", "127.0.0.1:1"}}}},
                         "ALDERSILL_SETTINGS", "\"event\":\"serving\"");
  daemon.Signal(SIGTERM);
  CHECK(daemon.Wait() == 0);
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
