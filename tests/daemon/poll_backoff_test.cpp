// Many dispatchers, each with a pacing of its own, against one modelled discovery in virtual time.
#include "http/poll_backoff.h"

#include <doctest/doctest.h>

#include <queue>
#include <vector>

namespace aldersill {
namespace {

constexpr Micros kLongest = 5 * kSecond;

// Works through calls in turn. One that has waited too long is answered with an error, but not taken off: its
// turn costs what any other's does.
class ModelledDiscovery {
 public:
  struct Verdict {
    bool served = false;
    Micros at = 0;
  };
  Verdict Take(Micros now) {
    const Micros starts = std::max(now, free_at_);
    free_at_ = starts + kCall;
    if (starts - now > kPatience)
      return {false, now + kPatience};
    return {true, free_at_};
  }

 private:
  static constexpr Micros kCall = 50 * kMillisecond;
  static constexpr Micros kPatience = 2 * kSecond;
  Micros free_at_ = 0;
};

struct Outcome {
  Micros last_served = 0;  // when the last of all dispatchers has its list
  int failures = 0;
};

// All start at once and call until they are served; `paced` false: at once, and again within 0.3 s.
Outcome StartTogether(int dispatchers, std::uint64_t seed, bool paced) {
  std::vector<PollBackoff> pacing;
  std::mt19937_64 random(seed);
  using Call = std::pair<Micros, int>;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (int i = 0; i < dispatchers; ++i) {
    pacing.emplace_back(dispatchers, kLongest, random());
    calls.emplace(paced ? pacing.back().InitialDelay() : static_cast<Micros>(random() % 100'000), i);
  }
  ModelledDiscovery discovery;
  Outcome outcome;
  while (!calls.empty() && calls.top().first < 60 * kSecond) {
    const auto [at, i] = calls.top();
    calls.pop();
    const auto verdict = discovery.Take(at);
    if (verdict.served) {
      outcome.last_served = std::max(outcome.last_served, verdict.at);
      continue;
    }
    ++outcome.failures;
    const Micros wait = paced ? pacing[i].NextRetryDelay() : static_cast<Micros>(random() % 300'000);
    calls.emplace(verdict.at + wait, i);
  }
  if (!calls.empty())
    outcome.last_served = 60 * kSecond;
  return outcome;
}

TEST_CASE("a hundred dispatchers that start together all have their list soon") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    const Outcome paced = StartTogether(100, seed, true);
    CHECK(paced.last_served < 8 * kSecond);
    CHECK(paced.failures <= 5);
    // What this guards against, on the same model: most turns go to calls that are dead by then.
    CHECK(StartTogether(100, seed, false).failures > 100);
  }
}

TEST_CASE("repeats back off, never beyond the bound, and begin anew after a success") {
  for (const int dispatchers : {1, 3, 100, 10'000}) {
    CAPTURE(dispatchers);
    PollBackoff pacing(dispatchers, kLongest, 7);
    CHECK(pacing.InitialDelay() <= kLongest);
    Micros longest_of_late = 0;
    for (int i = 0; i < 200; ++i) {
      const Micros wait = pacing.NextRetryDelay();
      CHECK(wait > 0);
      // Three hundred that repeat within 5 s never get through where discovery works on the dead calls too.
      CHECK(wait <= (dispatchers <= 83 ? kLongest : std::min<Micros>(2 * kLongest, dispatchers * 60'000)));
      if (i >= 20)
        longest_of_late = std::max(longest_of_late, wait);
    }
    CHECK(longest_of_late > kLongest / 2);
    pacing.Reset();
    CHECK(pacing.NextRetryDelay() <= std::min<Micros>(kLongest, dispatchers * 60 * kMillisecond));
  }
}

TEST_CASE("few dispatchers hardly wait, and a short bound holds for any number") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CHECK(PollBackoff(3, kLongest, seed).InitialDelay() <= 180'000);
    PollBackoff moved(1'000, kSecond, seed);
    CHECK(moved.InitialDelay() <= kSecond);
    CHECK(moved.NextRetryDelay() <= kSecond);
    CHECK(moved.NextRetryDelay() <= 2 * kSecond);
  }
}

}  // namespace
}  // namespace aldersill
