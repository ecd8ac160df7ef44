// Compares the throttle with a trace computed by hand and with the recursion (2.8) of Berger and Whitt's
// paper, in its terms: T is the number of tokens in the bank, C_T the capacity of the bank, J the number of
// tokens that the buffered jobs still have to pay, C_J the capacity of the buffer, and U = T - J + C_J.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// One tenant and one token per second. The bank holds the highest price + 8 mean jobs + 1 + 2 sqrt(1) = 12
// tokens, the buffer the tokens of half a target or the highest price, whichever is larger. The bank starts
// half full.
Settings OneTokenPerSecond(Micros target) {
  Settings settings = BasicSettings();
  for (ClassSettings& job_class : settings.classes) {
    job_class.target = target;
    job_class.deadline = 1000 * kSecond;
  }
  settings.tenants = {{"only", 1.0, 1.0}};
  settings.hedging = false;
  return settings;
}

// The time of the first token, taken from the earliest timer that the first buffered job sets. Tokens follow
// at intervals of one second.
Micros FirstToken(const Settings& settings, std::uint64_t seed) {
  Driver driver(settings, seed);
  driver.List({Entry("w")});
  for (int i = 0;; ++i) {
    const auto actions = driver.Arrive(i, "repeatable", 1000 * kSecond, 1, "only");
    if (Count<Send>(actions) > 0)
      continue;
    Micros earliest = 1000 * kSecond;
    for (const SetTimer& timer : Only<SetTimer>(actions))
      earliest = std::min(earliest, timer.delay);
    return driver.now + earliest;
  }
}

TEST(Throttle, FollowsATraceComputedByHand) {
  const Settings settings = OneTokenPerSecond(20 * kSecond);  // C_T = 12, C_J = 10, T = 6: U = 16
  const Micros token = FirstToken(settings, 7);
  Driver driver(settings, 7);
  driver.List({Entry("w")});
  const auto arrive = [&](int id) { return driver.Arrive(id, "repeatable", 1000 * kSecond, 1, "only"); };
  // The bank has six tokens, so six jobs are sent at once and the others wait.
  for (int id = 1; id <= 6; ++id)
    EXPECT_EQ(Count<Send>(arrive(id)), 1) << id;
  EXPECT_EQ(Count<Send>(arrive(7)), 0);
  EXPECT_EQ(Count<Send>(arrive(8)), 0);
  // The first token pays for job 7 and the next for job 8, in the order of arrival.
  const auto first = Only<Send>(driver.Advance(token));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].request, RequestId{7});
  const auto second = Only<Send>(driver.Advance(token + kSecond));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].request, RequestId{8});
  // Thirteen tokens are issued while the buffer is empty. Twelve fit in the bank and the last is lost.
  driver.Advance(token + 14 * kSecond);
  for (int id = 9; id < 21; ++id)
    EXPECT_EQ(Count<Send>(arrive(id)), 1) << id;
  EXPECT_EQ(Count<Send>(arrive(21)), 0);
}

TEST(Throttle, PaysAWideJobSlotBySlotAndRejectsItAsAWhole) {
  const Settings settings = OneTokenPerSecond(14 * kSecond);
  const Micros token = FirstToken(settings, 3);
  Driver driver(settings, 3);
  driver.List({Entry("w")});
  for (int id = 11; id <= 14; ++id)
    EXPECT_EQ(Count<Send>(driver.Arrive(id, "unsafe", 1000 * kSecond, 1, "only")), 1);
  // C_J = 7, T = 2. A job of three slots takes both tokens and waits for one more.
  EXPECT_EQ(Count<Send>(driver.Arrive(1, "unsafe", 1000 * kSecond, 3, "only")), 0);
  EXPECT_EQ(Count<Send>(driver.Advance(token)), 1);
  // U = 7. Two jobs of three slots wait, which leaves U = 1. A third needs 3 and is rejected as a whole.
  EXPECT_EQ(Count<Reject>(driver.Arrive(2, "unsafe", 1000 * kSecond, 3, "only")), 0);
  EXPECT_EQ(Count<Reject>(driver.Arrive(3, "unsafe", 1000 * kSecond, 3, "only")), 0);
  EXPECT_EQ(Count<Reject>(driver.Arrive(4, "unsafe", 1000 * kSecond, 3, "only")), 1);
  // A job of one slot still fits, which leaves U = 0. The next one does not.
  EXPECT_EQ(Count<Reject>(driver.Arrive(5, "unsafe", 1000 * kSecond, 1, "only")), 0);
  EXPECT_EQ(Count<Reject>(driver.Arrive(6, "unsafe", 1000 * kSecond, 1, "only")), 1);
}

TEST(Throttle, RejectsABufferedJobThatRunsOutOfTime) {
  Settings settings = OneTokenPerSecond(kSecond / 10);  // C_J = 1
  Driver driver(settings, 5);
  driver.List({Entry("w")});
  int id = 1;
  while (Count<Send>(driver.Arrive(id, "unsafe", 1000 * kSecond, 1, "only")) == 1)
    ++id;
  const auto actions = driver.Advance(driver.now + kSecond / 10);
  EXPECT_EQ(Count<Reject>(actions) + Count<Send>(actions), 1);
}

TEST(Throttle, MatchesTheRecursion) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    // The buffer holds three jobs, and the last of them is paid before half its target has passed.
    const Settings settings = OneTokenPerSecond(7'980'000);
    const int bank_capacity = 12;
    const int buffer_capacity = 3;
    Micros token = FirstToken(settings, seed);
    Driver driver(settings, seed);
    driver.List({Entry("w")});
    std::mt19937_64 random(seed);
    int u = buffer_capacity + 6;
    int buffered = 0;
    for (int id = 0; id < 500; ++id) {
      const Micros at = driver.now + static_cast<Micros>(random() % (2 * kSecond));
      const int released = Count<Send>(driver.Advance(at));
      for (; token <= at; token += kSecond)
        u = std::min(bank_capacity + buffer_capacity, u + 1);
      buffered -= released;
      ASSERT_EQ(buffered, std::max(0, buffer_capacity - u)) << "seed " << seed << " job " << id;
      const auto actions = driver.Arrive(id, "repeatable", 1000 * kSecond, 1, "only");
      ASSERT_EQ(Count<Reject>(actions), u < 1 ? 1 : 0) << "seed " << seed << " job " << id;
      if (u >= 1)
        --u;
      buffered += Count<Reject>(actions) == 0 && Count<Send>(actions) == 0;
    }
  }
}

TEST(Throttle, GivesAnIdleTenantsTokensToOthers) {
  Settings settings = OneTokenPerSecond(kSecond / 2);
  settings.tenants = {{"busy", 0.5, 5.0}, {"idle", 0.5, 5.0}};
  Driver driver(settings, 2);
  driver.List({Entry("w")});
  int sent = 0;
  for (int id = 0; id < 300; ++id) {
    sent += Count<Send>(driver.Advance(driver.now + kSecond / 10));
    sent += Count<Send>(driver.Arrive(id, "repeatable", 1000 * kSecond, 1, "busy"));
  }
  // In 30 s ten tokens a second are issued; half of them are the busy tenant's own share.
  EXPECT_GT(sent, 250);
}

TEST(Throttle, ProtectsATenantsShareFromAFlood) {
  Settings settings = OneTokenPerSecond(kSecond / 2);
  settings.tenants = {{"modest", 0.5, 5.0}, {"flood", 0.5, 5.0}};
  Driver driver(settings, 2);
  driver.List({Entry("w")});
  int rejected_modest = 0;
  int rejected_flood = 0;
  for (int id = 0; id < 3000; ++id) {
    driver.Advance(driver.now + kSecond / 100);
    const bool is_modest = id % 25 == 0;  // four jobs a second, of the five in its quota
    const auto actions = driver.Arrive(id, "repeatable", 1000 * kSecond, 1, is_modest ? "modest" : "flood");
    (is_modest ? rejected_modest : rejected_flood) += Count<Reject>(actions);
  }
  EXPECT_EQ(rejected_modest, 0);
  EXPECT_GT(rejected_flood, 2000);
}

// The share of the jobs from `first` to `end` that one node of 300 rejects when `per_second` jobs arrive
// there and its workers reject the share `rejected_share` of the attempts.
double RejectedShareAtBusyNode(Settings settings, double per_second, double rejected_share,
                               std::uint64_t seed, int first, int end) {
  settings.nodes = 300;
  settings.max_attempts = 1;
  Driver driver(settings, seed);
  driver.List({Entry("w")});
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second);
  std::bernoulli_distribution rejects(rejected_share);
  for (int id = 0; id < end; ++id) {
    driver.Advance(driver.now + static_cast<Micros>(gap(random) * kSecond));
    const auto actions = driver.Arrive(id, "repeatable", 1000 * kSecond, 1, "only");
    for (const Send& send : Only<Send>(actions)) {
      const int sent_id = static_cast<int>(static_cast<std::uint64_t>(send.request));
      if (rejects(random)) {
        driver.End(sent_id, 0, Outcome::kRejected);
      } else {
        driver.Start(sent_id, 0);
        driver.End(sent_id, 0, Outcome::kServed, /*request_ended=*/true);
      }
    }
  }
  driver.Advance(driver.now + 10 * kSecond);  // by then all jobs that were buffered too long are rejected
  const auto rejections = Only<Reject>(driver.all);
  const auto counted = std::count_if(rejections.begin(), rejections.end(), [first](const Reject& rejection) {
    return static_cast<int>(static_cast<std::uint64_t>(rejection.request)) >= first;
  });
  return static_cast<double>(counted) / (end - first);
}

TEST(Throttle, ANodeWithSeveralTimesTheMeanServesWhatWorkersAccept) {
  Settings settings = OneTokenPerSecond(kSecond);
  settings.tenants = {{"only", 1.0, 300.0}};  // the quota of each node is one job a second
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    EXPECT_LT(RejectedShareAtBusyNode(settings, 4.0, 0.0, seed, 40, 400), 0.01) << "seed " << seed;
    EXPECT_GT(RejectedShareAtBusyNode(settings, 4.0, 0.7, seed, 40, 400), 0.35) << "seed " << seed;
  }
}

// Without a quota a node does not know its part of the load and must infer it from what has arrived since its
// start.
TEST(Throttle, ANodeThatHasJustStartedServesWhatWorkersAccept) {
  Settings settings = OneTokenPerSecond(kSecond);
  settings.tenants = {{"only", 1.0, std::nullopt}};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    EXPECT_LT(RejectedShareAtBusyNode(settings, 8.0, 0.0, seed, 0, 40), 0.1) << "seed " << seed;
    EXPECT_GT(RejectedShareAtBusyNode(settings, 8.0, 0.8, seed, 0, 400), 0.35) << "seed " << seed;
  }
}

TEST(Throttle, ARestartedNodeSendsJobsButNoBurst) {
  Settings settings = OneTokenPerSecond(kSecond / 2);
  settings.tenants = {{"only", 1.0, 100.0}};
  Driver driver(settings, 9);
  driver.List({Entry("w")});
  int sent = 0;
  for (int id = 0; id < 1000; ++id)
    sent += Count<Send>(driver.Arrive(id, "repeatable", 1000 * kSecond, 1, "only"));
  EXPECT_GT(sent, 20);
  EXPECT_LT(sent, 100);  // less than a second's worth
}

TEST(Throttle, RetryAfterIsGivenOnlyWhereAllowed) {
  for (const bool allowed : {false, true}) {
    Settings settings = OneTokenPerSecond(kSecond / 10);
    settings.retry_after = allowed;
    Driver driver(settings, 4);
    driver.List({Entry("w")});
    for (int id = 0; id < 20; ++id)
      driver.Arrive(id, "repeatable", 1000 * kSecond, 1, "only");
    const auto rejections = Only<Reject>(driver.all);
    ASSERT_FALSE(rejections.empty());
    for (const Reject& rejection : rejections) {
      EXPECT_EQ(rejection.retry_after > 0, allowed);
      EXPECT_LE(rejection.retry_after, settings.max_retry_after);
    }
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
