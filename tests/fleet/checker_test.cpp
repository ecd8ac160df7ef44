// The checker finds each broken rule in a record that is otherwise good, and timetables come back from YAML as they were.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleet/checker.h"

#include <doctest/doctest.h>

#include <stdexcept>

#include "fleet/timetable.h"

namespace aldersill::fleet {
namespace {

using What = Seen::What;

// One request tried twice, the first time without having run, and served.
std::vector<Seen> Good(const std::string& klass) {
  return {{What::kAsked, "a", klass, 0, 0, 0, ""},    {What::kAttempt, "a", "", -1, 1, 0, ""},
          {What::kAttemptEnd, "a", "", -1, 1, 0, ""}, {What::kAttempt, "a", "", -1, 2, 0, ""},
          {What::kRan, "a", klass, -1, 0, 0, ""},     {What::kResult, "a", "", -1, 0, 0, "r"},
          {What::kAttemptEnd, "a", "", -1, 2, 0, ""}, {What::kAnswered, "a", "", -1, 0, 200, "r"}};
}

std::string FirstBroken(const std::vector<Seen>& seen) {
  const Judgement j = Judge(seen, {"cobro"}, 2);
  return j.broken.empty() ? "" : j.broken.front();
}

TEST_CASE("a good record breaks no rule, and each planted defect is found") {
  CHECK(FirstBroken(Good("cobro")) == "");
  const struct {
    const char* rule;
    std::size_t at;  // where the defect is put into the good record
    Seen planted;
  } kDefects[] = {
      {"answered twice", 8, {What::kAnswered, "a", "", -1, 0, 503, ""}},
      {"cobro ran twice", 5, {What::kRan, "a", "cobro", -1, 0, 0, ""}},
      {"two attempts out at once", 2, {What::kAttempt, "a", "", -1, 9, 0, ""}},
      {"more attempts than allowed", 7, {What::kAttempt, "a", "", -1, 9, 0, ""}},
      {"sent, and never asked for", 8, {What::kAttempt, "b", "", -1, 9, 0, ""}},
      {"never answered", 0, {What::kAsked, "c", "cobro", 1, 0, 0, ""}},
  };
  for (const auto& defect : kDefects) {
    CAPTURE(defect.rule);
    std::vector<Seen> seen = Good("cobro");
    seen.insert(seen.begin() + static_cast<std::ptrdiff_t>(defect.at), defect.planted);
    CHECK(FirstBroken(seen) == std::string(defect.rule) + ": " + defect.planted.request);
  }
  std::vector<Seen> seen = Good("cobro");
  seen.back().text = "made up";
  CHECK(FirstBroken(seen) == "served with what no worker made for it: a");
  seen.back() = {What::kBroken, "a", "", -1, 0, 0, ""};
  CHECK(FirstBroken(seen) == "connection ended with no answer: a");
  // A killed dispatcher may leave what it held unanswered, another one's death excuses nothing.
  seen.back() = {What::kExcused, "", "", 1, 0, 0, ""};
  CHECK(FirstBroken(seen) == "never answered: a");
  seen.back().dispatcher = 0;
  CHECK(FirstBroken(seen) == "");
  CHECK(Judge(seen, {"cobro"}, 2).excused == 1);
}

TEST_CASE("classes that may run again are not held to one run") {
  std::vector<Seen> seen = Good("certificado");
  seen.insert(seen.begin() + 5, {What::kRan, "a", "certificado", -1, 0, 0, ""});
  CHECK(FirstBroken(seen) == "");
}

TEST_CASE("a timetable is the same from the same seed and through YAML; a bad one is refused by line and field") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const std::string text = ToYaml(Draw(seed, 12, 6));
    CHECK(text == ToYaml(Draw(seed, 12, 6)));
    CHECK(text == ToYaml(FromYaml(text)));
    CHECK(text != ToYaml(Draw(seed + 1, 12, 6)));
  }
  const std::string head = "seed: 1\ndispatchers: 3\nworkers: 2\nrequests: 10\nlength_ms: 100\nfaults:\n";
  const auto refusal = [&](const std::string& fault) -> std::string {
    try {
      FromYaml(head + "  - " + fault + "\n");
    } catch (const std::runtime_error& e) {
      return e.what();
    }
    return "";
  };
  CHECK(refusal("{at_ms: 5, kind: kill, dispatcher: 2, worker: 0, for_ms: 5, amount: 0}") == "");
  CHECK(refusal("{at_ms: 5, kind: bite, dispatcher: 2}") == "line 7: kind 'bite' is unknown");
  CHECK(refusal("{at_ms: 5, kind: kill, dispatcher: 3, worker: 0}") ==
        "line 7: dispatcher must be a whole number from 0 to 2");
  CHECK(refusal("{at_ms: 5, kind: kill, dispatcher: 1}") == "line 7: worker is missing");
}

}  // namespace
}  // namespace aldersill::fleet
