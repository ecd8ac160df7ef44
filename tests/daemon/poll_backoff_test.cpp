// Tests the backoff with many dispatchers that poll one simulated discovery in virtual time.
#include "http/poll_backoff.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace aldersill {
namespace {

constexpr Micros kMaxDelay = 5 * kSecond;

// Serves polls one at a time. A poll that waits too long is answered with an error but stays in the queue,
// and takes as much service time as any other.
class SimulatedDiscovery {
 public:
  struct Answer {
    bool served = false;
    Micros at = 0;
  };
  Answer HandlePoll(Micros now) {
    const Micros service_start = std::max(now, free_at_);
    free_at_ = service_start + kServiceTime;
    if (service_start - now > kQueueTimeout)
      return {.served = false, .at = now + kQueueTimeout};
    return {.served = true, .at = free_at_};
  }

 private:
  static constexpr Micros kServiceTime = 50 * kMillisecond;
  static constexpr Micros kQueueTimeout = 2 * kSecond;
  Micros free_at_ = 0;
};

struct Outcome {
  Micros last_served_at = 0;  // time at which the last dispatcher has its list
  int failures = 0;
};

// All dispatchers start at once and poll until they are served. Without backoff they send the first poll
// within 0.1 s and each retry within 0.3 s.
Outcome StartTogether(int dispatchers, std::uint64_t seed, bool with_backoff) {
  std::vector<PollBackoff> backoffs;
  std::mt19937_64 random(seed);
  using Poll = std::pair<Micros, int>;  // time and dispatcher
  std::priority_queue<Poll, std::vector<Poll>, std::greater<>> polls;
  for (int i = 0; i < dispatchers; ++i) {
    backoffs.emplace_back(dispatchers, kMaxDelay, random());
    polls.emplace(with_backoff ? backoffs.back().InitialDelay() : static_cast<Micros>(random() % 100'000), i);
  }
  SimulatedDiscovery discovery;
  Outcome outcome;
  while (!polls.empty() && polls.top().first < 60 * kSecond) {
    const auto [at, dispatcher] = polls.top();
    polls.pop();
    const SimulatedDiscovery::Answer answer = discovery.HandlePoll(at);
    if (answer.served) {
      outcome.last_served_at = std::max(outcome.last_served_at, answer.at);
      continue;
    }
    ++outcome.failures;
    const Micros delay =
        with_backoff ? backoffs[dispatcher].NextRetryDelay() : static_cast<Micros>(random() % 300'000);
    polls.emplace(answer.at + delay, dispatcher);
  }
  if (!polls.empty())
    outcome.last_served_at = 60 * kSecond;
  return outcome;
}

TEST_CASE("a hundred dispatchers that start together all have their list within 8 s") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    const Outcome with_backoff = StartTogether(100, seed, true);
    CHECK(with_backoff.last_served_at < 8 * kSecond);
    CHECK(with_backoff.failures <= 5);
    // Without backoff, most of discovery's time is spent on polls that have already been abandoned.
    CHECK(StartTogether(100, seed, false).failures > 100);
  }
}

TEST_CASE("retries back off up to the bound and start again with a short delay after a success") {
  for (const int dispatchers : {1, 3, 100, 10'000}) {
    CAPTURE(dispatchers);
    PollBackoff backoff(dispatchers, kMaxDelay, 7);
    CHECK(backoff.InitialDelay() <= kMaxDelay);
    Micros longest_late_delay = 0;
    for (int i = 0; i < 200; ++i) {
      const Micros delay = backoff.NextRetryDelay();
      CHECK(delay > 0);
      // With 300 dispatchers, retries within 5 s would never succeed, as discovery also serves abandoned
      // polls.
      CHECK(delay <= (dispatchers <= 83 ? kMaxDelay : std::min<Micros>(2 * kMaxDelay, dispatchers * 60'000)));
      if (i >= 20)
        longest_late_delay = std::max(longest_late_delay, delay);
    }
    CHECK(longest_late_delay > kMaxDelay / 2);
    backoff.Reset();
    CHECK(backoff.NextRetryDelay() <= std::min<Micros>(kMaxDelay, dispatchers * 60 * kMillisecond));
  }
}

TEST_CASE("few dispatchers have short delays, and a short bound holds for any number") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CHECK(PollBackoff(3, kMaxDelay, seed).InitialDelay() <= 180'000);
    PollBackoff many(1'000, kSecond, seed);
    CHECK(many.InitialDelay() <= kSecond);
    CHECK(many.NextRetryDelay() <= kSecond);
    CHECK(many.NextRetryDelay() <= 2 * kSecond);
  }
}

}  // namespace
}  // namespace aldersill
