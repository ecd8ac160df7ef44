// The throttle against a trace worked by hand and against the paper's recursion (2.8).
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// One tenant, one token a second. The bank holds widest + 8 mean jobs + 1 + 2 sqrt(1) = 12 slots, the buffer
// half a target's tokens or the widest job. The bank starts half full.
Settings OneTokenASecond(Micros target) {
  Settings s = BasicSettings();
  for (ClassSettings& c : s.classes) {
    c.target = target;
    c.deadline = 1000 * kSecond;
  }
  s.tenants = {{"only", 1.0, 1.0}};
  s.hedging = false;
  return s;
}

// When the first token comes: the wake-up asked for by the first held job. Tokens come a second apart from
// there.
Micros FirstToken(const Settings& settings, std::uint64_t seed) {
  Driver d(settings, seed);
  d.List({Entry("w")});
  for (int i = 0;; ++i) {
    const auto actions = d.Arrive(i, "repeatable", 1000 * kSecond, 1, "only");
    if (Count<Send>(actions) > 0)
      continue;
    Micros soonest = 1000 * kSecond;
    for (const SetTimer& t : Only<SetTimer>(actions))
      soonest = std::min(soonest, t.delay);
    return d.now + soonest;
  }
}

TEST(Throttle, FollowsTheHandWorkedTrace) {
  const Settings s = OneTokenASecond(20 * kSecond);  // C_T = 12, C_J = 10, T = 6: U = 16
  const Micros token = FirstToken(s, 7);
  Driver d(s, 7);
  d.List({Entry("w")});
  const auto arrive = [&](int id) { return d.Arrive(id, "repeatable", 1000 * kSecond, 1, "only"); };
  // Six tokens in the bank: six jobs leave at once, the others wait.
  for (int id = 1; id <= 6; ++id)
    EXPECT_EQ(Count<Send>(arrive(id)), 1) << id;
  EXPECT_EQ(Count<Send>(arrive(7)), 0);
  EXPECT_EQ(Count<Send>(arrive(8)), 0);
  // The first token pays job 7, the next pays job 8: first come, first served.
  const auto first = Only<Send>(d.Advance(token));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].request, RequestId{7});
  const auto second = Only<Send>(d.Advance(token + kSecond));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].request, RequestId{8});
  // Thirteen tokens come to an empty buffer: twelve fit in the bank, the last is lost.
  d.Advance(token + 14 * kSecond);
  for (int id = 9; id < 21; ++id)
    EXPECT_EQ(Count<Send>(arrive(id)), 1) << id;
  EXPECT_EQ(Count<Send>(arrive(21)), 0);
}

TEST(Throttle, PaysAWideJobSlotBySlotAndRefusesItCompletely) {
  const Settings s = OneTokenASecond(14 * kSecond);
  const Micros token = FirstToken(s, 3);
  Driver d(s, 3);
  d.List({Entry("w")});
  for (int id = 11; id <= 14; ++id)
    EXPECT_EQ(Count<Send>(d.Arrive(id, "unsafe", 1000 * kSecond, 1, "only")), 1);
  // C_J = 7, T = 2: a job of three slots takes both tokens and waits for one more.
  EXPECT_EQ(Count<Send>(d.Arrive(1, "unsafe", 1000 * kSecond, 3, "only")), 0);
  EXPECT_EQ(Count<Send>(d.Advance(token)), 1);
  // U = 7: two jobs of three slots wait, U = 1; a third finds U < 3 and is refused whole.
  EXPECT_EQ(Count<Reject>(d.Arrive(2, "unsafe", 1000 * kSecond, 3, "only")), 0);
  EXPECT_EQ(Count<Reject>(d.Arrive(3, "unsafe", 1000 * kSecond, 3, "only")), 0);
  EXPECT_EQ(Count<Reject>(d.Arrive(4, "unsafe", 1000 * kSecond, 3, "only")), 1);
  // A narrow job still fits, U = 0; the next does not.
  EXPECT_EQ(Count<Reject>(d.Arrive(5, "unsafe", 1000 * kSecond, 1, "only")), 0);
  EXPECT_EQ(Count<Reject>(d.Arrive(6, "unsafe", 1000 * kSecond, 1, "only")), 1);
}

TEST(Throttle, RefusesAHeldJobThatRunsShortOfTime) {
  Settings s = OneTokenASecond(kSecond / 10);  // C_J = 1
  Driver d(s, 5);
  d.List({Entry("w")});
  int id = 1;
  while (Count<Send>(d.Arrive(id, "unsafe", 1000 * kSecond, 1, "only")) == 1)
    ++id;
  const auto actions = d.Advance(d.now + kSecond / 10);
  EXPECT_EQ(Count<Reject>(actions) + Count<Send>(actions), 1);
}

TEST(Throttle, MatchesTheRecursion) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    // A job at the back of the buffer of three is paid before half its target has passed.
    const Settings s = OneTokenASecond(7'980'000);
    const int bank = 12;
    const int buffer = 3;
    Micros token = FirstToken(s, seed);
    Driver d(s, seed);
    d.List({Entry("w")});
    std::mt19937_64 random(seed);
    int u = buffer + 6;
    int held = 0;
    for (int id = 0; id < 500; ++id) {
      const Micros at = d.now + static_cast<Micros>(random() % (2 * kSecond));
      const int released = Count<Send>(d.Advance(at));
      for (; token <= at; token += kSecond)
        u = std::min(bank + buffer, u + 1);
      held -= released;
      ASSERT_EQ(held, std::max(0, buffer - u)) << "seed " << seed << " job " << id;
      const auto actions = d.Arrive(id, "repeatable", 1000 * kSecond, 1, "only");
      ASSERT_EQ(Count<Reject>(actions), u < 1 ? 1 : 0) << "seed " << seed << " job " << id;
      if (u >= 1)
        --u;
      held += Count<Reject>(actions) == 0 && Count<Send>(actions) == 0;
    }
  }
}

TEST(Throttle, PassesAnIdleTenantsTokensOn) {
  Settings s = OneTokenASecond(kSecond / 2);
  s.tenants = {{"busy", 0.5, 5.0}, {"idle", 0.5, 5.0}};
  Driver d(s, 2);
  d.List({Entry("w")});
  int sent = 0;
  for (int id = 0; id < 300; ++id) {
    sent += Count<Send>(d.Advance(d.now + kSecond / 10));
    sent += Count<Send>(d.Arrive(id, "repeatable", 1000 * kSecond, 1, "busy"));
  }
  // 30 s at ten tokens a second in all, of which the busy tenant's own share is half.
  EXPECT_GT(sent, 250);
}

TEST(Throttle, KeepsATenantsShareFromAFlood) {
  Settings s = OneTokenASecond(kSecond / 2);
  s.tenants = {{"modest", 0.5, 5.0}, {"flood", 0.5, 5.0}};
  Driver d(s, 2);
  d.List({Entry("w")});
  int refused_modest = 0;
  int refused_flood = 0;
  for (int id = 0; id < 3000; ++id) {
    d.Advance(d.now + kSecond / 100);
    const bool modest = id % 25 == 0;  // four a second, of its five
    const auto actions = d.Arrive(id, "repeatable", 1000 * kSecond, 1, modest ? "modest" : "flood");
    (modest ? refused_modest : refused_flood) += Count<Reject>(actions);
  }
  EXPECT_EQ(refused_modest, 0);
  EXPECT_GT(refused_flood, 2000);
}

// Share of the jobs from `first` on that one node of 300 refuses, to which so many a second come; its workers
// accept all or turn most away.
double RefusedAtABusyNode(Settings s, double per_second, double rejected_share, std::uint64_t seed, int first,
                          int end) {
  s.nodes = 300;
  s.max_attempts = 1;
  Driver d(s, seed);
  d.List({Entry("w")});
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second);
  std::bernoulli_distribution turns_away(rejected_share);
  for (int id = 0; id < end; ++id) {
    d.Advance(d.now + static_cast<Micros>(gap(random) * kSecond));
    const auto actions = d.Arrive(id, "repeatable", 1000 * kSecond, 1, "only");
    for (const Send& sent : Only<Send>(actions)) {
      const int attempt_number = static_cast<int>(static_cast<std::uint64_t>(sent.request));
      if (turns_away(random)) {
        d.End(attempt_number, 0, Outcome::kRejected);
      } else {
        d.Start(attempt_number, 0);
        d.End(attempt_number, 0, Outcome::kServed, /*request_ended=*/true);
      }
    }
  }
  d.Advance(d.now + 10 * kSecond);  // those held longer than they may be are refused by then
  const auto refused = Only<Reject>(d.all);
  const auto counted = std::count_if(refused.begin(), refused.end(), [first](const Reject& r) {
    return static_cast<int>(static_cast<std::uint64_t>(r.request)) >= first;
  });
  return static_cast<double>(counted) / (end - first);
}

TEST(Throttle, ANodeWithSeveralTimesTheMeanServesWhatWorkersAccept) {
  Settings s = OneTokenASecond(kSecond);
  s.tenants = {{"only", 1.0, 300.0}};  // a quota of one a second each
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    EXPECT_LT(RefusedAtABusyNode(s, 4.0, 0.0, seed, 40, 400), 0.01) << "seed " << seed;
    EXPECT_GT(RefusedAtABusyNode(s, 4.0, 0.7, seed, 40, 400), 0.35) << "seed " << seed;
  }
}

// Without a quota nothing tells what one node's part is; what arrived since the start has to.
TEST(Throttle, ANodeThatHasJustStartedServesWhatWorkersAccept) {
  Settings s = OneTokenASecond(kSecond);
  s.tenants = {{"only", 1.0, std::nullopt}};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    EXPECT_LT(RefusedAtABusyNode(s, 8.0, 0.0, seed, 0, 40), 0.1) << "seed " << seed;
    EXPECT_GT(RefusedAtABusyNode(s, 8.0, 0.8, seed, 0, 400), 0.35) << "seed " << seed;
  }
}

TEST(Throttle, ARestartedNodeLetsNoBurstThroughAndStarvesNobody) {
  Settings s = OneTokenASecond(kSecond / 2);
  s.tenants = {{"only", 1.0, 100.0}};
  Driver d(s, 9);
  d.List({Entry("w")});
  int sent = 0;
  for (int id = 0; id < 1000; ++id)
    sent += Count<Send>(d.Arrive(id, "repeatable", 1000 * kSecond, 1, "only"));
  EXPECT_GT(sent, 20);
  EXPECT_LT(sent, 100);  // less than a second's worth
}

TEST(Throttle, RetryAfterIsGivenOnlyWhereHeeded) {
  for (const bool heeded : {false, true}) {
    Settings s = OneTokenASecond(kSecond / 10);
    s.retry_after = heeded;
    Driver d(s, 4);
    d.List({Entry("w")});
    for (int id = 0; id < 20; ++id)
      d.Arrive(id, "repeatable", 1000 * kSecond, 1, "only");
    const auto refusals = Only<Reject>(d.all);
    ASSERT_FALSE(refusals.empty());
    for (const Reject& r : refusals) {
      EXPECT_EQ(r.retry_after > 0, heeded);
      EXPECT_LE(r.retry_after, s.max_retry_after);
    }
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
