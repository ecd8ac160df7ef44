// Tests that a seed always gives the same timetable, that YAML preserves timetables, and that invalid ones
// are rejected.
#include "fleet/timetable.h"

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

#include "fleet/soak_timetable.h"

namespace aldersill::fleet {
namespace {

TEST_CASE(
    "a seed always gives the same timetable, YAML preserves it, and errors name the line and the field") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const std::string text = ToYaml(DrawTimetable(seed, "first", 12, 6));
    CHECK(text == ToYaml(DrawTimetable(seed, "first", 12, 6)));
    CHECK(text == ToYaml(FromYaml(text)));
    CHECK(text != ToYaml(DrawTimetable(seed + 1, "first", 12, 6)));
  }
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::string text = ToYaml(DrawSoakTimetable(seed, "first"));
    CHECK(text == ToYaml(DrawSoakTimetable(seed, "first")));
    CHECK(text == ToYaml(FromYaml(text)));
  }
  const std::string head = "seed: 1\ndispatchers: 3\nworkers: 2\nrequests: 10\nlength_ms: 100\nfaults:\n";
  const auto error_of = [&](const std::string& fault) -> std::string {
    try {
      FromYaml(head + "  - " + fault + "\n");
    } catch (const std::runtime_error& error) {
      return error.what();
    }
    return "";
  };
  CHECK(error_of("{at_ms: 5, kind: kill, dispatcher: 2, worker: 0, for_ms: 5, amount: 0}") == "");
  CHECK_THROWS_WITH(FromYaml("crossing: near\n" + head), "crossing 'near' is unknown");
  CHECK(error_of("{at_ms: 5, kind: bite, dispatcher: 2}") == "line 7: kind 'bite' is unknown");
  CHECK(error_of("{at_ms: 5, kind: kill, dispatcher: 3, worker: 0}") ==
        "line 7: dispatcher must be a whole number from 0 to 2");
  CHECK(error_of("{at_ms: 5, kind: drain, dispatcher: 1, worker: -1}") ==
        "line 7: worker must be a whole number from 0 to 1");
  CHECK(error_of("{at_ms: 5, kind: kill, dispatcher: 1}") == "line 7: worker is missing");
}

}  // namespace
}  // namespace aldersill::fleet
