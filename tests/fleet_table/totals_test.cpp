// Totals of a small recorded run of two dispatchers: one restarts, the other writes JSON. The run is recorded
// twice, with the current names of events and fields and with the former ones; both must give the same
// totals.
#include "fleet_table/totals.h"

#include <doctest/doctest.h>

#include <fstream>
#include <functional>
#include <map>
#include <string>

namespace aldersill::fleet_table {
namespace {

Table ReadRecordedRun(const std::string& folder) {
  Totals totals({.interval = 5.0, .warm_after = 8.8, .cold_window = 3.0});
  for (const std::string dispatcher : {"n0", "n1"}) {
    std::ifstream file(ALDERSILL_RECORDED "/" + folder + "/" + dispatcher + ".log");
    REQUIRE(file);
    for (std::string line; std::getline(file, line);)
      totals.Add(dispatcher, line);
  }
  return totals.Result();
}

// Runs the checks on both recordings of the run.
void WithEachRecording(const std::function<void(const Table&)>& check) {
  for (const std::string folder : {"recorded", "recorded_legacy_names"}) {
    CAPTURE(folder);
    check(ReadRecordedRun(folder));
  }
}

TEST_CASE("requests and attempts are counted in the interval of their start, attempts by their first end") {
  WithEachRecording([](const Table& table) {
    REQUIRE(table.rows.size() == 3);
    const Row& first = table.rows.at(0);
    CHECK(first.received == 5);
    CHECK(first.answers == std::map<std::string, int>{
                               {"served", 1}, {"rejected_unsent", 1}, {"rejected_sent", 1}, {"failed", 1}});
    CHECK(first.attempts ==
          std::map<std::string, int>{{"full", 1}, {"served", 1}, {"stopped", 1}, {"open", 1}, {"error", 1}});
    CHECK(first.discovery_calls == 2);
    CHECK(first.discovery_failures == 1);
    CHECK(first.list_age_count == 5);
    CHECK(first.list_age_max == doctest::Approx(3.75));  // n1 uses the list cached at 1 s
    CHECK(table.rows.at(1).probes == 1);
  });
}

TEST_CASE("only sends by dispatchers that know of a start, before the worker is warm, count as cold") {
  WithEachRecording([](const Table& table) {
    // Started at 1003 s, listed at 4 s: n1 did not know of it at 4.75 s, and at 13 s the worker is warm.
    REQUIRE(table.cold_workers.size() == 1);
    CHECK(table.cold_workers[0].name == "s-new");
    CHECK(table.cold_workers[0].sends == 2);
    CHECK(table.cold_workers[0].max_in_window == 2);
    CHECK(table.rows.at(0).cold_sends == 2);
  });
}

TEST_CASE("unanswered requests are listed with their last position") {
  WithEachRecording([](const Table& table) {
    REQUIRE(table.unanswered.size() == 2);
    CHECK(table.unanswered[0].id == "ad");
    CHECK(table.unanswered[0].job_class == "cobro");
    CHECK(table.unanswered[0].position == "at s-new; restarted");
    CHECK(table.unanswered[1].id == "ae");
    CHECK(table.unanswered[1].position == "unsent");
  });
}

TEST_CASE("foreign lines, dropped lines and starts are counted") {
  WithEachRecording([](const Table& table) {
    CHECK(table.dispatchers == 2);
    CHECK(table.starts == 3);
    CHECK(table.foreign_lines == 2);
    CHECK(table.dropped_lines == 7);
  });
}

TEST_CASE("lines beyond the last possible row are counted") {
  Totals totals({.interval = 0.001});
  for (int second = 0; second < 20'000; ++second)
    totals.Add("n0", std::to_string(second) + " aldersill: debug probe_sent worker=s-1");
  const Table table = totals.Result();
  CHECK(table.rows.size() == 10'000);
  CHECK(table.out_of_range == 10'000);
}

}  // namespace
}  // namespace aldersill::fleet_table
