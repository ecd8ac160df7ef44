// The checker finds each broken rule in a record that is otherwise good, and timetables come back from YAML
// as they were.
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
Seen Asked(const std::string& request, const std::string& job_class) {
  Seen seen = Of(What::kAsked, request);
  seen.job_class = job_class;
  seen.until = 1'000 * kMs;
  return seen;
}

// One request tried twice, the first time without having run, and served.
std::vector<Seen> Good(const std::string& job_class) {
  return {Asked("a", job_class),
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
  for (const char* job_class : {"certificado", "cobro"}) {
    std::vector<Seen> seen = Good(job_class);
    std::swap(seen[2], seen[3]);
    CHECK(FirstBroken(seen, rules) == (rules.once.contains(job_class) ? "two attempts out at once: a" : ""));
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

TEST_CASE("what discovery got while it could not be reached counts from when it can be again") {
  const auto reachable = [](std::int64_t ms, int status) {
    return At(ms, Of(What::kReachable, "", 0, status));
  };
  const auto sent = [&](std::vector<Seen> before, std::int64_t ms) {
    before.insert(before.begin(), Of(What::kStarted, ""));
    before.push_back(Asked("a", "certificado"));
    before.back().until = ms * kMs;
    before.push_back(At(ms, Of(What::kAttempt, "a", 1)));
    before.push_back(At(ms, Of(What::kAnswered, "a", 0, 503)));
    before.push_back(At(ms, Of(What::kAttemptEnd, "a", 1)));
    return FirstBroken(before);
  };
  const std::string broken = "sent to a worker that it was told to leave alone: a";
  const Seen drains = At(1'000, Of(What::kChanged, ""));
  CHECK(sent({reachable(0, 0), drains, reachable(3'000, 1)}, 9'800) == "");
  CHECK(sent({reachable(0, 0), drains, reachable(3'000, 1)}, 9'801) == broken);
  // What it had before, it had when it could be reached; and a way that was never lost puts nothing off.
  CHECK(sent({drains, reachable(2'000, 0), reachable(5'000, 1)}, 7'801) == broken);
  CHECK(sent({drains, reachable(5'000, 1)}, 7'801) == broken);
  // A worker that is back is no longer to be left alone, however late the news.
  const Seen back = At(2'000, Of(What::kChanged, "", 0, 1));
  CHECK(sent({reachable(0, 0), drains, back, reachable(3'000, 1)}, 9'801) == "");
}

// So many requests, each left at a second and first sent on so many milliseconds later; others left and never
// sent on.
std::vector<Seen> Left(int sent_on, int not_sent_on, std::int64_t later_ms) {
  std::vector<Seen> seen;
  for (int i = 0; i < sent_on + not_sent_on; ++i) {
    const std::string id = "r" + std::to_string(i);
    seen.push_back(Asked(id, "certificado"));
    seen.push_back(At(1'000, Of(What::kLeft, id)));
    if (i >= sent_on)
      continue;
    seen.push_back(At(1'000 + later_ms, Of(What::kAttempt, id, i + 1)));
    seen.push_back(At(1'000 + later_ms, Of(What::kAttemptEnd, id, i + 1)));
  }
  return seen;
}

// Attempts that end at once are stopped in time.
std::string FirstOf(const std::vector<Seen>& seen, const std::string& rule) {
  for (const std::string& line : Judge(seen, Two()).broken) {
    if (line.find(rule) != std::string::npos)
      return line;
  }
  return "";
}

TEST_CASE("an attempt that begins after its client has left is a break from the third on") {
  const std::string rule = "began after its client had left";
  CHECK(FirstOf(Left(2, 0, 601), rule) == "");
  CHECK(FirstOf(Left(3, 0, 600), rule) == "");
  CHECK(FirstOf(Left(3, 0, 601), rule) ==
        "an attempt began after its client had left, the third or a later one: r2");
  // A further attempt counts as well; what was stopped while it stood still counts from then on.
  std::vector<Seen> seen = Left(2, 0, 601);
  for (Seen s : {Asked("a", "certificado"), Of(What::kAttempt, "a", 11), Of(What::kAttemptEnd, "a", 11),
                 At(1'000, Of(What::kLeft, "a")), At(1'601, Of(What::kAttempt, "a", 12))})
    seen.push_back(s);
  CHECK(FirstOf(seen, rule) != "");
  seen.insert(seen.end() - 1, At(1'002, Of(What::kResumed, "")));
  CHECK(FirstOf(seen, rule) == "");
}

TEST_CASE("of requests left while they waited, a quarter and four at most are sent on later") {
  const std::string rule = "sent on though their clients had left while they waited: ";
  CHECK(FirstOf(Left(5, 0, 800), rule) == "");
  CHECK(FirstOf(Left(5, 0, 801), rule) == rule + "5 of 5");
  CHECK(FirstOf(Left(4, 0, 801), rule) == "");
  CHECK(FirstOf(Left(5, 15, 801), rule) == "");
  CHECK(FirstOf(Left(5, 14, 801), rule) == rule + "5 of 19");
}

TEST_CASE("a cold worker gets what it bears, and chance, from all dispatchers together") {
  Rules rules = Two();
  rules.most_attempts = 1;
  rules.cold_calls = 80.0;  // in a second; a half of a second more is slack
  rules.cold_share = 0.3;
  rules.cold_window = 1'000 * kMs;
  rules.warm_after = 1'000'000 * kMs;
  // 80 x 0.3 x 1.5 = 36, 2 x 6 + 2: so many calls, dispatchers in turn, so far apart.
  const auto got = [&](int calls, std::int64_t apart_ms, int status) {
    std::vector<Seen> seen = {At(0, Of(What::kChanged, "", 0, status))};
    for (int i = 0; i < calls; ++i) {
      const std::string id = "r" + std::to_string(i);
      seen.push_back(Asked(id, "certificado"));
      seen.push_back(At(i * apart_ms, Of(What::kAttempt, id, i + 1)));
      seen.back().dispatcher = i % 12;
      seen.push_back(At(i * apart_ms, Of(What::kAttemptEnd, id, i + 1)));
      seen.push_back(At(i * apart_ms, Of(What::kAnswered, id, 0, 503)));
    }
    return FirstBroken(seen, rules);
  };
  CHECK(got(50, 10, 1) == "");
  CHECK(got(52, 10, 1) == "a cold worker got more than it bears, and chance allows: r50");
  CHECK(got(52, 20, 1) == "");
  CHECK(got(30, 10, 0) == "");  // no start
}

TEST_CASE("nine in ten restarted dispatchers are ready in time") {
  const auto ready = [](int in_time, int late, std::int64_t late_ms) {
    std::vector<Seen> seen(in_time + late, Of(What::kRestarted, ""));
    for (int i = 0; i < in_time + late; ++i)
      seen[i].until = (i < in_time ? 10'500 : late_ms) * kMs;
    return FirstBroken(seen);
  };
  CHECK(ready(9, 1, 10'501) == "");
  CHECK(ready(8, 1, 10'501) == "restarted dispatchers not ready in time: 1 of 9");
  CHECK(ready(8, 1, 0) == "restarted dispatchers not ready in time: 1 of 9");
}

TEST_CASE(
    "a request that crosses the close of its resting connection is asked again, if it was not sent on") {
  std::vector<Seen> seen = Good("cobro");
  seen.insert(seen.begin(), {Asked("a", "cobro"), Of(What::kCrossed)});
  for (std::size_t i = 2; i < seen.size(); ++i)
    seen[i].dispatcher = 1;
  CHECK(FirstBroken(seen) == "");
  const std::string broken = "sent on by a dispatcher that closed its connection with no answer: a";
  std::vector<Seen> before = seen, after = seen;
  before.insert(before.begin() + 1, {Of(What::kAttempt, "a", 8), Of(What::kAttemptEnd, "a", 8)});
  CHECK(FirstBroken(before) == broken);
  after.insert(after.begin() + 3, {Of(What::kAttempt, "a", 8), Of(What::kAttemptEnd, "a", 8)});
  CHECK(FirstBroken(after) == broken);
  // One that is not asked again is not owed an answer.
  CHECK(FirstBroken({Asked("a", "cobro"), Of(What::kCrossed)}) == "");
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
  CHECK_THROWS_WITH(FromYaml("crossing: near\n" + head), "crossing 'near' is unknown");
  CHECK(refusal("{at_ms: 5, kind: bite, dispatcher: 2}") == "line 7: kind 'bite' is unknown");
  CHECK(refusal("{at_ms: 5, kind: kill, dispatcher: 3, worker: 0}") ==
        "line 7: dispatcher must be a whole number from 0 to 2");
  CHECK(refusal("{at_ms: 5, kind: drain, dispatcher: 1, worker: -1}") ==
        "line 7: worker must be a whole number from 0 to 1");
  CHECK(refusal("{at_ms: 5, kind: kill, dispatcher: 1}") == "line 7: worker is missing");
}

}  // namespace
}  // namespace aldersill::fleet
