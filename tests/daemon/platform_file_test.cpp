// Tests which platform files are accepted, and the codes and paths of the errors for the others.
#include <doctest/doctest.h>
#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/errors.h"
#include "daemon_under_test.h"

namespace aldersill::tests {
namespace {

// Reads the text as the platform's file. Returns the code and field path of the error, or a line for each
// unknown field.
std::string PlatformTextError(const std::string& text) {
  std::string path = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
  const int file = mkstemp(path.data());
  REQUIRE(file >= 0);
  close(file);
  std::ofstream(path) << text;
  std::string error;
  try {
    for (const std::string& field : ReadPlatformFile(path).unknown_fields)
      error += "unknown " + field + "\n";
  } catch (const ConfigError& config_error) {
    error = std::string(config_error.code()) + " " + config_error.path();
    CHECK(std::string(config_error.what()).starts_with(config_error.path() + " "));
  }
  std::filesystem::remove(path);
  return error;
}

nlohmann::json PlatformFile() { return ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json"); }

// Returns PlatformTextError for the platform's file with the value at `pointer` replaced.
std::string PlatformError(const char* pointer, const nlohmann::json& value) {
  nlohmann::json config = PlatformFile();
  config[nlohmann::json::json_pointer(pointer)] = value;
  return PlatformTextError(config.dump());
}

TEST_CASE("an error of the platform file has a code and the path of the field") {
  CHECK(PlatformError("/settings", nullptr) == "missing_field settings");
  CHECK(PlatformError("/settings/grades", nullptr) == "missing_field settings.grades");
  CHECK(PlatformError("/settings/grades/1/name", nullptr) == "missing_field settings.grades[1].name");
  CHECK(PlatformError("/listen", nullptr) == "missing_field listen");
  CHECK(PlatformError("/settings/report/how", "pulls") == "bad_value settings.report.how");
  CHECK(PlatformError("/settings/discovery", "pull") == "bad_value settings.discovery");
  CHECK(PlatformError("/settings/valueBy", "time") == "bad_value settings.valueBy");
  CHECK(PlatformError("/settings/weights", "heavy") == "bad_value settings.weights");
}

TEST_CASE("added fields and absent optional fields are accepted") {
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

TEST_CASE(
    "a class without its name, repeat, deadline, target or dedupWindow is rejected with the field's path") {
  for (const char* field : {"name", "repeat", "deadline", "target"}) {
    CAPTURE(field);
    for (const int i : {0, 1, 2}) {
      const std::string at = std::to_string(i) + "/" + field;
      CHECK(PlatformError(("/settings/grades/" + at).c_str(), nullptr) ==
            "missing_field settings.grades[" + std::to_string(i) + "]." + field);
    }
  }
  // Only a class with idempotency keys needs a window.
  CHECK(PlatformError("/settings/grades/1/dedupWindow", nullptr) ==
        "missing_field settings.grades[1].dedupWindow");
  CHECK(PlatformError("/settings/grades/0/dedupWindow", nullptr) == "");
  CHECK(PlatformError("/settings/grades/2/dedupWindow", nullptr) == "");
}

TEST_CASE("a number out of its range is rejected with the field's path") {
  const nlohmann::json kNegative = -1, kZero = 0, kHuge = 1e300, kText = "NaN";
  const auto check_rejected = [](const std::string& pointer, const std::vector<nlohmann::json>& values) {
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
    check_rejected(positive, {kNegative, kZero, kHuge, kText, 0.4, true});
  check_rejected("/settings/rules/overloadFactor", {kNegative, kZero, kText});
  for (const char* not_negative :
       {"/settings/grades/0/worth", "/settings/tenants/0/share", "/settings/tenants/1/quotaPerS",
        "/settings/prices/crossZone", "/settings/prices/probe"})
    check_rejected(not_negative, {kNegative, kText});
  for (const char* time :
       {"/settings/grades/0/dedupWindow", "/settings/rules/answerSlack", "/settings/rules/drainGrace",
        "/settings/rules/warmAfter", "/settings/limits/maxRetryAfter", "/settings/familyInfo/progress"})
    check_rejected(time, {kNegative, kHuge, kText});
  for (const char* fraction :
       {"/settings/grades/0/lateValue", "/settings/rules/coldShare", "/settings/overShareWorth"})
    check_rejected(fraction, {kNegative, 1.01, kText});
  for (const char* count : {"/settings/peersTotal", "/settings/limits/maxAttempts"})
    check_rejected(count, {kNegative, kZero, 3e9, kText});
  check_rejected("/limits/sockets", {kNegative, kZero, 63, 3e9});
  check_rejected("/limits/memory_mb", {kNegative, kZero, 15, 3e9});
  check_rejected("/settings/familyInfo/classKind/0", {-2, 2, 3e9});
  check_rejected("/settings/familyInfo/classStretch/1", {kNegative, kText});
  check_rejected("/settings/familyInfo/classPriority/2", {3e9, kText});
  CHECK(PlatformError("/settings/grades/1/aimStretch", -1) == "bad_value settings.grades[1].aimStretch");
  CHECK(
      PlatformError("/settings/tenants", {{{"name", "a"}, {"share", 0}}, {{"name", "b"}, {"share", 0.0}}}) ==
      "bad_value settings.tenants");
  // Two classes with the same name are ambiguous.
  CHECK(PlatformError("/settings/grades/2/name", "certificado") == "bad_value settings.grades[2].name");
  // The JSON parser already rejects a number that a double cannot hold, so the error has only the field's
  // name and not its path.
  std::string text = PlatformFile().dump();
  const std::string deadline = "\"deadline\":25000000";
  REQUIRE(text.find(deadline) != std::string::npos);
  text.replace(text.find(deadline), deadline.size(), "\"deadline\":1e999");
  CHECK(PlatformTextError(text) == "bad_value deadline");
}

TEST_CASE("any number in its range is accepted, including zero and very short deadlines and windows") {
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
  CHECK(PlatformError("/settings/grades/1/target", 20000000) == "");  // longer than the deadline
  CHECK(PlatformError("/settings/limits/maxAttempts", 1) == "");
  CHECK(PlatformError("/settings/peersTotal", 300) == "");
  CHECK(PlatformError("/settings/limits/dialTimeout", 1) == "");
  // Any number of additional classes is accepted.
  nlohmann::json config = PlatformFile();
  const nlohmann::json keyed = config["settings"]["grades"][1];
  for (int i = 0; i < 40; ++i) {
    config["settings"]["grades"].push_back(keyed);
    config["settings"]["grades"].back()["name"] = "new-" + std::to_string(i);
    config["settings"]["grades"].back()["hue"] = "red";
  }
  CHECK(PlatformTextError(config.dump()) == "unknown settings.grades[].hue\n");
}

}  // namespace
}  // namespace aldersill::tests
