// Tests each rule that ends the endpoint list's validity on its own.
#include "http/list_validity.h"

#include <doctest/doctest.h>

#include "http/watch_scheduler.h"

namespace aldersill::tests {
namespace {

using Kind = WatchScheduler::Kind;

constexpr Micros kDrainGrace = 300 * kMillisecond;
constexpr Micros kReloadBound = WatchScheduler::kReloadNotificationBound;
constexpr Micros kBound = WatchScheduler::kNotificationBound;

WatchScheduler MakeWatchScheduler(Kind kind, Micros max_poll_interval = 10 * kSecond) {
  return WatchScheduler(
      {.kind = kind, .max_poll_interval = max_poll_interval, .drain_grace = 300 * kMillisecond},
      PollBackoff(198, max_poll_interval / 2, 7));
}

// A scheduler whose first poll was answered at `at` and that has had an open watch since then.
WatchScheduler MakeSchedulerWithWatch(Kind kind, Micros at) {
  WatchScheduler scheduler = MakeWatchScheduler(kind);
  scheduler.Start(at, kSecond);
  scheduler.PollSent(at);
  scheduler.PollAnswered(at, at);
  scheduler.PollSent(at);
  return scheduler;
}

TEST_CASE("further moves do not extend the bound of the first one that no answer has followed") {
  for (const Kind kind : {Kind::kPolled, Kind::kPushed}) {
    CAPTURE(kind == Kind::kPushed);
    WatchScheduler second = MakeWatchScheduler(kind), third = MakeWatchScheduler(kind);
    second.StartAtNewAddress(10 * kSecond, 10 * kSecond, MakeSchedulerWithWatch(kind, 9 * kSecond));
    third.StartAtNewAddress(13 * kSecond, 13 * kSecond, second);
    CHECK(third.valid_until() <= 10 * kSecond + kReloadBound);
    third.PollSent(13 * kSecond);
    third.PollAnswered(13 * kSecond, 13 * kSecond);
    third.PollSent(13 * kSecond);
    CHECK(third.valid_until() > 13 * kSecond);
    CHECK(third.validity().bound != ValidityBound::kReload);
  }
}

TEST_CASE("a rejected reload bounds the list like a move, and refused connects no longer extend it") {
  WatchScheduler scheduler = MakeSchedulerWithWatch(Kind::kPolled, kSecond);
  scheduler.Reloaded(2 * kSecond, /*rejected=*/true);
  CHECK(scheduler.valid_until() <= 2 * kSecond + kReloadBound);
  // The watch that was open at the reload returns one more change before the connection breaks.
  scheduler.PollAnswered(3 * kSecond, kSecond);
  scheduler.PollSent(3 * kSecond);
  scheduler.PollFailed(3'500 * kMillisecond, 3 * kSecond, /*answered_with_error=*/false,
                       /*others_outstanding=*/false);
  for (Micros now = 3'550 * kMillisecond; now < 20 * kSecond; now += 50 * kMillisecond)
    scheduler.ProbeRefused(now);
  CHECK(scheduler.valid_until() <= 3 * kSecond + kBound);
}

TEST_CASE("after an agent fails other than by silence, its list is valid for at most the drain grace") {
  WatchScheduler scheduler = MakeSchedulerWithWatch(Kind::kPushed, kSecond);
  Micros now = kSecond;
  for (int poll = 0; poll < 20; ++poll) {
    scheduler.PollFailed(now, now, /*answered_with_error=*/poll % 2 == 0, /*others_outstanding=*/false);
    CHECK(scheduler.valid_until() <= kSecond + kDrainGrace);
    now = scheduler.next_poll();
    scheduler.PollSent(now);
  }
  CHECK(scheduler.validity().bound == ValidityBound::kAgentFailure);
  scheduler.PollAnswered(now, now);
  CHECK(scheduler.valid_until() > now);
}

TEST_CASE("settings that a reload changes at the same address apply to the list in use") {
  WatchScheduler scheduler = MakeWatchScheduler(Kind::kPolled);
  scheduler.Start(0, kSecond);
  scheduler.PollSent(0);
  REQUIRE(scheduler.valid_until() == 10 * kSecond);
  scheduler.ApplySettings(
      {.kind = Kind::kPolled, .max_poll_interval = 3 * kSecond, .drain_grace = 200 * kMillisecond},
      PollBackoff(198, kSecond, 7));
  CHECK(scheduler.valid_until() == 3 * kSecond);
}

TEST_CASE("a move's bound starts at the signal, less the time that the signal may have been pending") {
  const Micros signalled_at = 10 * kSecond, applied_at = signalled_at + 60 * kMillisecond;
  for (const Kind kind : {Kind::kPolled, Kind::kPushed}) {
    CAPTURE(kind == Kind::kPushed);
    WatchScheduler scheduler = MakeWatchScheduler(kind);
    scheduler.StartAtNewAddress(applied_at, signalled_at, MakeSchedulerWithWatch(kind, 9'900 * kMillisecond));
    CHECK(scheduler.valid_until() == signalled_at + kReloadBound - 100 * kMillisecond);
    CHECK(scheduler.validity().bound == ValidityBound::kReload);
  }
}

TEST_CASE("a moved discovery is polled a second before the list ends, in a fleet of any size") {
  for (const int dispatchers : {3, 100, 198, 900}) {
    CAPTURE(dispatchers);
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      WatchScheduler scheduler(
          {.kind = Kind::kPolled, .max_poll_interval = 10 * kSecond, .drain_grace = kDrainGrace},
          PollBackoff(dispatchers, 5 * kSecond, seed));
      scheduler.StartAtNewAddress(10 * kSecond, 10 * kSecond,
                                  MakeSchedulerWithWatch(Kind::kPolled, 9 * kSecond));
      CHECK(scheduler.next_poll() <= 10 * kSecond + kReloadBound - kSecond);
    }
  }
}

}  // namespace
}  // namespace aldersill::tests
