// Decoding of single log lines, with current and with former names.
#include "fleet_table/log_line.h"

#include <doctest/doctest.h>

namespace aldersill::fleet_table {
namespace {

TEST_CASE("a text line has its time, event and fields, quoted values unescaped") {
  const auto line = Decode(R"(12.5 aldersill: debug request_received id=a tenant="x \"y\"" time_left_ms=70)");
  REQUIRE(line);
  CHECK(line->time == doctest::Approx(12.5));
  CHECK(line->event == "request_received");
  CHECK(line->Text("tenant") == "x \"y\"");
  CHECK(line->Number("time_left_ms", -1.0) == doctest::Approx(70.0));
  CHECK(line->Number("tenant", -1.0) == doctest::Approx(-1.0));
  CHECK(line->Text("worker").empty());
}

TEST_CASE("a JSON line has the same event and fields as the text line") {
  const auto line = Decode(
      R"({"time":"1970-01-01T00:00:04.750000Z","level":"debug","event":"attempt_started","attempt":1,"worker":"s-1"})");
  REQUIRE(line);
  CHECK(line->time == doctest::Approx(4.75));
  CHECK(line->event == "attempt_started");
  CHECK(line->Text("attempt") == "1");
  CHECK(line->Text("worker") == "s-1");
}

TEST_CASE("former names are replaced by the current ones") {
  const auto started = Decode("1 aldersill: debug execution_started execution=1 id=aa instance=s-1");
  REQUIRE(started);
  CHECK(started->event == "attempt_started");
  CHECK(started->Text("attempt") == "1");
  CHECK(started->Text("worker") == "s-1");
  CHECK(started->Text("instance").empty());
  const auto answered = Decode("1 aldersill: debug request_answered client=1 what=nack retry_after_ms=0");
  REQUIRE(answered);
  CHECK(answered->Text("result") == "rejected");
}

TEST_CASE("lines of other programs are not decoded") {
  CHECK_FALSE(Decode("not of the log"));
  CHECK_FALSE(Decode("1 other: debug probe_sent"));
  CHECK_FALSE(Decode("1 aldersill: debug"));
  CHECK_FALSE(Decode("{\"event\":"));
  CHECK_FALSE(Decode(R"({"event":"probe_sent","time":"noon"})"));
}

}  // namespace
}  // namespace aldersill::fleet_table
