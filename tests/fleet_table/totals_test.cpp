// The fleet's table from a small recorded run of two dispatchers: one restarts, one writes JSON.
#include "fleet_table/totals.h"

#include <doctest/doctest.h>

#include <fstream>

namespace aldersill::fleet_table {
namespace {

Table Recorded() {
  Totals totals({.every = 5.0, .warm_after = 8.8, .fall = 3.0});
  for (const std::string node : {"n0", "n1"}) {
    std::ifstream file(ALDERSILL_RECORDED "/" + node + ".log");
    REQUIRE(file);
    for (std::string line; std::getline(file, line);)
      totals.Add(node, line);
  }
  return totals.Result();
}

TEST_CASE("requests and attempts are counted where they began, each by its first end") {
  const Table table = Recorded();
  REQUIRE(table.rows.size() == 3);
  const Row& first = table.rows.at(0);
  CHECK(first.taken == 5);
  CHECK(first.answers ==
        std::map<std::string, int>{{"served", 1}, {"nack_unsent", 1}, {"nack_sent", 1}, {"failed", 1}});
  CHECK(first.attempts ==
        std::map<std::string, int>{{"full", 1}, {"served", 1}, {"stopped", 1}, {"open", 1}, {"error", 1}});
  CHECK(first.calls == 2);
  CHECK(first.calls_failed == 1);
  CHECK(first.list_ages == 5);
  CHECK(first.list_age_most == doctest::Approx(3.75));  // n1 goes by the list it remembered at 1 s
  CHECK(table.rows.at(1).probes == 1);
}

TEST_CASE("only what was sent by those told of a start, while it is cold, counts against the budget") {
  const Table table = Recorded();
  // Started at 1003 s, told at 4 s: n1 did not know at 4.75 s, and at 13 s it is warm.
  REQUIRE(table.cold.size() == 1);
  CHECK(table.cold[0].instance == "s-new");
  CHECK(table.cold[0].sends == 2);
  CHECK(table.cold[0].most_in_window == 2);
  CHECK(table.rows.at(0).cold_sends == 2);
}

TEST_CASE("requests without an answer are told with where they were last") {
  const Table table = Recorded();
  REQUIRE(table.lost.size() == 2);
  CHECK(table.lost[0].id == "ad");
  CHECK(table.lost[0].job_class == "cobro");
  CHECK(table.lost[0].station == "at s-new; restarted");
  CHECK(table.lost[1].id == "ae");
  CHECK(table.lost[1].station == "unsent");
}

TEST_CASE("what cannot be counted is told") {
  const Table table = Recorded();
  CHECK(table.nodes == 2);
  CHECK(table.starts == 3);
  CHECK(table.not_ours == 2);
  CHECK(table.dropped == 7);
  Totals wide({.every = 0.001});
  for (int second = 0; second < 20'000; ++second)
    wide.Add("n0", std::to_string(second) + " aldersill: debug probe_sent instance=s-1");
  const Table cut = wide.Result();
  CHECK(cut.rows.size() == 10'000);
  CHECK(cut.out_of_range == 10'000);
}

}  // namespace
}  // namespace aldersill::fleet_table
