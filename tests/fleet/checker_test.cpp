// The checker finds each broken rule in a record that is otherwise good, and timetables come back from YAML
// as they were.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleet/checker.h"

#include <doctest/doctest.h>

#include <stdexcept>

#include "fleet/timetable.h"

namespace aldersill::fleet {
namespace {

using What = Seen::What;

constexpr std::int64_t kMs = 1'000;

Rules Two() {
  Rules rules;
  rules.once = {"cobro"};
  rules.most_attempts = 2;
  rules.drain_grace = 300 * kMs;
  return rules;
}

Seen Of(What what, const std::string& request = "a", std::uint64_t attempt = 0, int status = 0,
        const std::string& text = "") {
  Seen seen;
  seen.what = what;
  seen.request = request;
  seen.attempt = attempt;
  seen.status = status;
  seen.text = text;
  seen.dispatcher = 0;
  seen.worker = 0;
  return seen;
}
Seen At(std::int64_t ms, Seen seen) {
  seen.at = ms * kMs;
  return seen;
}
Seen Asked(const std::string& request, const std::string& klass) {
  Seen seen = Of(What::kAsked, request);
  seen.klass = klass;
  seen.until = 1'000 * kMs;
  return seen;
}

// One request tried twice, the first time without having run, and served.
std::vector<Seen> Good(const std::string& klass) {
  return {Asked("a", klass),
          Of(What::kAttempt, "a", 1),
          Of(What::kAttemptEnd, "a", 1),
          Of(What::kAttempt, "a", 2),
          Of(What::kRan),
          Of(What::kResult, "a", 0, 0, "r"),
          Of(What::kAttemptEnd, "a", 2),
          Of(What::kAnswered, "a", 0, 200, "r")};
}

std::string FirstBroken(const std::vector<Seen>& seen, const Rules& rules = Two()) {
  const Judgement j = Judge(seen, rules);
  return j.broken.empty() ? "" : j.broken.front();
}

TEST_CASE("a good record breaks no rule, and each planted defect is found") {
  CHECK(FirstBroken(Good("cobro")) == "");
  const struct {
    const char* rule;
    std::size_t at;  // where the defect is put into the good record
    Seen planted;
  } kDefects[] = {
      {"answered twice", 8, Of(What::kAnswered, "a", 0, 503)},
      {"cobro ran twice", 5, Of(What::kRan)},
      {"two attempts out at once", 2, Of(What::kAttempt, "a", 9)},
      {"more attempts than allowed", 7, Of(What::kAttempt, "a", 9)},
      {"sent, and never asked for", 8, Of(What::kAttempt, "b", 9)},
      {"never answered", 0, Asked("c", "cobro")},
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
  seen.back() = Of(What::kAnswered, "a", 0, 400);
  CHECK(FirstBroken(seen) == "answered 400: a");
  seen.back() = At(1'600, Of(What::kAnswered, "a", 0, 200, "r"));
  CHECK(FirstBroken(seen) == "answered after its deadline: a");
  seen.back() = Of(What::kBroken);
  CHECK(FirstBroken(seen) == "connection ended with no answer: a");
  // A killed dispatcher may leave what it held unanswered, another one's death excuses nothing.
  seen.back() = Of(What::kExcused, "");
  seen.back().dispatcher = 1;
  CHECK(FirstBroken(seen) == "never answered: a");
  seen.back().dispatcher = 0;
  CHECK(FirstBroken(seen) == "");
  CHECK(Judge(seen, Two()).excused == 1);
}

TEST_CASE("what is given up must be stopped, however the request ended") {
  for (const What end : {What::kAnswered, What::kLeft}) {
    std::vector<Seen> seen = Good("cobro");
    seen[6] = Of(end, "a", 0, 200, "r");
    seen[7] = At(400, Of(What::kAttemptEnd, "a", 2));
    CHECK(FirstBroken(seen) == "");
    seen[7].at = 600 * kMs;
    CHECK(FirstBroken(seen) == "an attempt was not stopped once it was given up: a");
    seen[7] = At(600, Of(What::kEnd, ""));
    CHECK(FirstBroken(seen) == "an attempt was not stopped once it was given up: a");
  }
}

TEST_CASE("second copies are for classes that may run twice") {
  Rules rules = Two();
  rules.second_copies = true;
  for (const char* klass : {"certificado", "cobro"}) {
    std::vector<Seen> seen = Good(klass);
    std::swap(seen[2], seen[3]);
    CHECK(FirstBroken(seen, rules) == (rules.once.contains(klass) ? "two attempts out at once: a" : ""));
  }
}

TEST_CASE("a duty is held by one at a time: held is what was said under one term before and after") {
  const auto holds = [](int dispatcher, std::uint64_t term, std::int64_t asked_ms, std::int64_t heard_ms) {
    Seen seen = At(heard_ms, Of(What::kHolds, "", term));
    seen.dispatcher = dispatcher;
    seen.until = asked_ms * kMs;
    return seen;
  };
  CHECK(FirstBroken(
            {holds(0, 1, 0, 1), holds(0, 1, 100, 150), holds(1, 2, 90, 100), holds(1, 2, 200, 201)}) == "");
  CHECK(FirstBroken({holds(0, 1, 0, 1), holds(1, 2, 90, 99), holds(0, 1, 100, 150), holds(1, 2, 200, 201)}) ==
        "two held one duty at once: d0 under term 1, d1 under term 2");
  CHECK(FirstBroken({holds(0, 1, 0, 1), holds(1, 2, 90, 99), holds(0, 3, 100, 150), holds(1, 2, 200, 201)}) ==
        "");
}

TEST_CASE("a worker is left alone once its drain is told, or counts as told") {
  const std::string broken = "sent to a worker that it was told to leave alone: a";
  // What discovery told, and an attempt at such a millisecond.
  const auto sent = [&](std::vector<Seen> before, std::int64_t ms) {
    before.insert(before.begin(), Of(What::kStarted, ""));
    before.push_back(Asked("a", "certificado"));
    before.push_back(At(ms, Of(What::kAttempt, "a", 1)));
    before.push_back(At(ms, Of(What::kAnswered, "a", 0, 503)));
    before.push_back(At(ms, Of(What::kAttemptEnd, "a", 1)));
    before[before.size() - 4].until = ms * kMs;
    return FirstBroken(before);
  };
  const Seen drains = Of(What::kChanged, ""), told = At(1'000, Of(What::kTold, ""));
  const Seen back = Of(What::kChanged, "", 0, 1), told_back = Of(What::kTold, "", 0, 1);
  CHECK(sent({drains, told}, 1'800) == "");  // grace 300, slack 500
  CHECK(sent({drains, told}, 1'801) == broken);
  CHECK(sent({drains, told, back}, 1'801) == broken);
  CHECK(sent({drains, told, back, told_back}, 1'801) == "");
  CHECK(sent({drains}, 6'800) == "");
  CHECK(sent({drains}, 6'801) == broken);
  CHECK(sent({drains, back}, 6'801) == "");
  // A new life has been told nothing; one that stood still has the grace from then on.
  CHECK(sent({drains, told, At(1'500, Of(What::kStarted, ""))}, 8'300) == "");
  CHECK(sent({drains, told, At(1'500, Of(What::kStarted, ""))}, 8'301) == broken);
  CHECK(sent({drains, told, At(3'000, Of(What::kResumed, ""))}, 3'800) == "");
  CHECK(sent({drains, told, At(3'000, Of(What::kResumed, ""))}, 3'801) == broken);
}

TEST_CASE("classes that may run again are not held to one run") {
  std::vector<Seen> seen = Good("certificado");
  seen.insert(seen.begin() + 5, Of(What::kRan));
  CHECK(FirstBroken(seen) == "");
}

TEST_CASE(
    "a timetable is the same from the same seed and through YAML; a bad one is refused by line and field") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const std::string text = ToYaml(Draw(seed, "first", 12, 6));
    CHECK(text == ToYaml(Draw(seed, "first", 12, 6)));
    CHECK(text == ToYaml(FromYaml(text)));
    CHECK(text != ToYaml(Draw(seed + 1, "first", 12, 6)));
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
  CHECK(refusal("{at_ms: 5, kind: drain, dispatcher: 1, worker: -1}") ==
        "line 7: worker must be a whole number from 0 to 1");
  CHECK(refusal("{at_ms: 5, kind: kill, dispatcher: 1}") == "line 7: worker is missing");
}

}  // namespace
}  // namespace aldersill::fleet
