// The four rules, for each kind of class.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

constexpr const char* kClasses[] = {"repeatable", "keyed", "unsafe"};

int FinalAnswers(const std::vector<Action>& actions) { return Count<Refuse>(actions) + Count<Fail>(actions); }

// ---- Rule 1: one final answer, in time ----

TEST(RuleOneAnswer, ASilentAttemptIsAnsweredAtTheDeadline) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    d.List({Entry("a")});
    d.Arrive(1, job_class, 2 * kSecond);
    EXPECT_EQ(FinalAnswers(d.Advance(d.now + 2 * kSecond - 1)), 0) << job_class;
    EXPECT_EQ(FinalAnswers(d.Advance(d.now + 1)), 1) << job_class;
    EXPECT_EQ(FinalAnswers(d.End(1, 0, Outcome::kTimeout)), 0) << job_class;
    EXPECT_EQ(FinalAnswers(d.Advance(d.now + 10 * kSecond)), 0) << job_class;
  }
}

TEST(RuleOneAnswer, NothingFollowsTheEnd) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, job_class);
    d.End(1, 0, Outcome::kServed, true);
    d.all.clear();
    d.End(1, 0, Outcome::kServed, true);
    d.Do(ClientGone{RequestId{1}});
    d.Advance(d.now + 10 * kSecond);
    EXPECT_EQ(FinalAnswers(d.all) + Count<Send>(d.all), 0) << job_class;
  }
}

TEST(RuleOneAnswer, AClientThatLeftIsOwedNothing) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, job_class);
    d.Do(ClientGone{RequestId{1}});
    d.all.clear();
    d.End(1, 0, Outcome::kError);
    d.Advance(d.now + 10 * kSecond);
    EXPECT_EQ(FinalAnswers(d.all) + Count<Send>(d.all), 0) << job_class;
  }
}

// The tokens of the time before it used to release or refuse the very job whose client had just left.
TEST(RuleOneAnswer, AClientThatLeftWhileItsJobWasHeldIsOwedNothing) {
  Settings s = BasicSettings();
  s.tenants = {{"only", 1.0, 5.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  int id = 0;
  while (Count<Send>(d.Arrive(++id, "unsafe", 5 * kSecond, 1, "only")) > 0)
    continue;
  ASSERT_EQ(Count<Refuse>(d.all), 0);  // the last one is held
  d.now += kSecond;
  ClientGone gone;
  gone.request = RequestId{static_cast<std::uint64_t>(id)};
  const auto actions = d.Do(gone);
  EXPECT_EQ(Count<Refuse>(actions) + Count<Send>(actions), 0);
}

TEST(RuleOneAnswer, NoTimeNoWorkerOrNoSuchClassIsAnsweredAtOnce) {
  for (const char* job_class : kClasses) {
    Driver d(BasicSettings());
    EXPECT_EQ(Count<Refuse>(d.Arrive(1, job_class)), 1) << job_class;
    d.List({Entry("a")});
    EXPECT_EQ(Count<Refuse>(d.Arrive(2, job_class, 0)), 1) << job_class;
    EXPECT_EQ(Count<Refuse>(d.Arrive(3, "unheard-of")), 1);
  }
}

TEST(RuleOneAnswer, AStreamHasNoDeadline) {
  Settings s = BasicSettings();
  for (ClassSettings& c : s.classes)
    c.streaming = true;
  Driver d(s);
  d.List({Entry("a")});
  d.Arrive(1, "unsafe", kSecond);
  d.Do(StreamStarted{RequestId{1}, 0});
  EXPECT_EQ(FinalAnswers(d.Advance(d.now + 10 * kSecond)), 0);
}

TEST(RuleOneAnswer, ARepeatedIdIsOneRequest) {
  Driver d(BasicSettings());
  d.List({Entry("a")});
  d.Arrive(1, "unsafe");
  EXPECT_TRUE(d.Arrive(1, "unsafe").empty());
}

// ---- Rule 2: no effect beyond what the class allows ----

constexpr Outcome kProvenNotRun[] = {Outcome::kFull, Outcome::kConnectFailed, Outcome::kNotSent};
constexpr Outcome kMayHaveRun[] = {Outcome::kError, Outcome::kTimeout, Outcome::kLost, Outcome::kCancelled};

TEST(RuleEffects, WhatNeverRanGoesElsewhereOrIsRefused) {
  for (const char* job_class : kClasses) {
    for (const Outcome outcome : kProvenNotRun) {
      Driver d(BasicSettings());
      d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
      d.Arrive(1, job_class);
      EXPECT_EQ(Count<Send>(d.End(1, 0, outcome)), 1) << job_class;
      EXPECT_EQ(Count<Send>(d.End(1, 1, outcome)), 1) << job_class;
      EXPECT_EQ(Count<Refuse>(d.End(1, 2, outcome)), 1) << job_class;  // three attempts are allowed
    }
  }
}

TEST(RuleEffects, AnUnsafeRequestThatMayHaveRunIsNeverSentAgainNorRefused) {
  for (const Outcome outcome : kMayHaveRun) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "unsafe");
    const auto actions = d.End(1, 0, outcome);
    EXPECT_EQ(Count<Send>(actions), 0);
    EXPECT_EQ(Count<Refuse>(actions), 0);
    EXPECT_EQ(Count<Fail>(actions), 1);
  }
}

TEST(RuleEffects, AnUnsafeRequestGetsNoSecondCopy) {
  Driver d(BasicSettings());
  d.List({Entry("a"), Entry("b")});
  d.Arrive(1, "unsafe");
  EXPECT_EQ(Count<Send>(d.Advance(d.now + 4 * kSecond)), 0);
}

TEST(RuleEffects, ARepeatableRequestIsSentAgain) {
  for (const Outcome outcome : kMayHaveRun) {
    Driver d(BasicSettings());
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "repeatable");
    EXPECT_EQ(Count<Send>(d.End(1, 0, outcome)), 1);
  }
}

TEST(RuleEffects, AKeyedRequestIsRepeatedOnlyInsideItsGroup) {
  for (const KeyScope scope : {KeyScope::kZone, KeyScope::kCell}) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Settings s = BasicSettings();
      s.classes[1].scope = scope;
      Driver d(s, seed);
      std::vector<WorkerEntry> workers;
      for (int i = 0; i < 12; ++i) {
        workers.push_back(Entry("w" + std::to_string(i), i % 2 == 0 ? "near" : "far", i % 4));
      }
      d.List(workers);
      d.Arrive(1, "keyed");
      d.End(1, 0, Outcome::kError);
      const auto sends = Only<Send>(d.all);
      ASSERT_EQ(sends.size(), 2u);
      EXPECT_NE(sends[0].worker, sends[1].worker);
      const int a = std::stoi(sends[0].worker.substr(1));
      const int b = std::stoi(sends[1].worker.substr(1));
      EXPECT_EQ(a % 2, b % 2);
      if (scope == KeyScope::kCell) {
        EXPECT_EQ(a % 4, b % 4);
      }
    }
  }
}

TEST(RuleEffects, AKeyedRequestIsNotRepeatedAfterItsWindowNorRefusedOnceItMayHaveRun) {
  Settings s = BasicSettings();
  s.second_copies = false;
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  d.Arrive(1, "keyed");
  d.Advance(d.now + 2 * kSecond);
  const auto late = d.End(1, 0, Outcome::kLost);
  EXPECT_EQ(Count<Send>(late), 0);
  EXPECT_EQ(Count<Refuse>(late), 0);
  EXPECT_EQ(Count<Fail>(late), 1);
}

TEST(RuleEffects, AKeyedRequestOfTheWholeTierMayBeRefused) {
  Settings s = BasicSettings();
  s.classes[1].scope = KeyScope::kAll;
  s.max_attempts = 1;
  Driver d(s);
  d.List({Entry("a")});
  d.Arrive(1, "keyed");
  EXPECT_EQ(Count<Refuse>(d.End(1, 0, Outcome::kError)), 1);
}

TEST(RuleEffects, NoTwoAttemptsAtOnceWhereSecondCopiesAreForbidden) {
  Settings s = BasicSettings();
  s.second_copies = false;
  for (const char* job_class : kClasses) {
    Driver d(s);
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, job_class);
    EXPECT_EQ(Count<Send>(d.Advance(d.now + 4 * kSecond)), 0) << job_class;
  }
}

// ---- Rule 3: drains ----

TEST(RuleDrains, NothingNewGoesToADrainingOrGoneWorker) {
  for (const auto state : {WorkerEntry::State::kDraining, WorkerEntry::State::kGone}) {
    for (const char* job_class : kClasses) {
      Driver d(BasicSettings());
      d.List({Entry("a"), Entry("b")});
      WorkerEntry leaving = Entry("a");
      leaving.state = state;
      d.List({leaving}, WorkerList::Form::kDelta);
      d.all.clear();
      for (int id = 1; id < 50; ++id) {
        d.Arrive(id, job_class);
        d.End(id, 0, Outcome::kFull);
        d.Advance(d.now + kSecond / 10);
      }
      EXPECT_GT(Count<Send>(d.all), 0);
      for (const Send& send : Only<Send>(d.all))
        EXPECT_EQ(send.worker, "b");
    }
  }
}

TEST(RuleDrains, AWorkerMissingFromAFullListIsGone) {
  Driver d(BasicSettings());
  d.List({Entry("a"), Entry("b")});
  d.List({Entry("b")});
  d.all.clear();
  for (int id = 1; id < 50; ++id)
    d.Arrive(id, "repeatable");
  for (const Send& send : Only<Send>(d.all))
    EXPECT_EQ(send.worker, "b");
}

TEST(RuleDrains, HeldAndRepeatedJobsHeedADrainToo) {
  Settings s = BasicSettings();
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  d.Arrive(1, "repeatable");
  const std::string first = Only<Send>(d.all)[0].worker;
  WorkerEntry leaving = Entry(first == "a" ? "b" : "a");
  leaving.state = WorkerEntry::State::kDraining;
  d.List({leaving}, WorkerList::Form::kDelta);
  for (const Send& send : Only<Send>(d.End(1, 0, Outcome::kFull)))
    EXPECT_EQ(send.worker, first);
}

TEST(RuleDrains, SubscribesAndAsksAgainUntilAnswered) {
  Settings s = BasicSettings();
  s.subscribe = true;
  s.must_ask_in = 10 * kSecond;
  Driver d(s);
  d.List({Entry("a")}, WorkerList::Form::kCached);
  d.Advance(d.now + 10 * kSecond);
  EXPECT_GE(Count<SubscribeList>(d.all), 2);  // no answer came
  d.List({}, WorkerList::Form::kDelta);
  d.all.clear();
  d.Advance(d.now + 60 * kSecond);
  EXPECT_EQ(Count<SubscribeList>(d.all), 0);
  d.List({}, WorkerList::Form::kFailed);  // the subscription broke
  d.Advance(d.now + 10 * kSecond);
  EXPECT_GE(Count<SubscribeList>(d.all), 1);
}

TEST(RuleDrains, NodesThatLoseTheirSubscriptionTogetherDoNotAllAskAtOnce) {
  Settings s = BasicSettings();
  s.subscribe = true;
  std::set<Micros> delays;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver d(s, seed);
    const auto actions = d.List({Entry("a")}, WorkerList::Form::kCached);
    for (const SetTimer& t : Only<SetTimer>(actions))
      delays.insert(t.delay);
  }
  EXPECT_GT(delays.size(), 15u);
}

// ---- Rule 4: cold workers ----

// What all nodes together send to one cold worker in any window of `fall`, in slot-time of average jobs.
TEST(RuleCold, AllNodesTogetherStayUnderWhatPushesAColdWorkerOver) {
  for (const int nodes : {1, 10, 100}) {
    Settings s = BasicSettings();
    s.nodes = nodes;
    s.overload_factor = 2.5;
    s.fall = kSecond;
    s.cold_share = 0.12;
    s.warm_after = 20 * kSecond;
    const Micros start = 1000 * kSecond;
    std::vector<Micros> sends;
    for (int node = 0; node < nodes; ++node) {
      Driver d(s, 100 + node);
      WorkerEntry cold = Entry("cold");
      cold.since = start;
      d.now = start + 1;
      d.List({cold});
      // Far more is asked for than the worker could ever take.
      for (int id = 0; id < 20'000 / nodes; ++id) {
        auto actions = d.Advance(d.now + kSecond * nodes / 1000);
        const auto more = d.Arrive(id, "unsafe");
        actions.insert(actions.end(), more.begin(), more.end());
        for (std::size_t n = Only<Send>(actions).size(); n > 0; --n)
          sends.push_back(d.now - start);
      }
    }
    EXPECT_FALSE(sends.empty());
    std::sort(sends.begin(), sends.end());
    // One slot, as no report said otherwise; an unknown job counts as the class's target.
    const double job = s.classes[2].target;
    for (std::size_t first = 0, last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] > s.fall)
        ++first;
      const double able =
          s.cold_share + (1.0 - s.cold_share) * static_cast<double>(sends[first]) / s.warm_after;
      const double bound = s.overload_factor * able * s.fall;
      // The job that opens the window is left out: one is always possible, whatever its size.
      const double sent = static_cast<double>(last - first) * job;
      ASSERT_LE(sent, bound) << nodes << " nodes at " << sends[last];
    }
  }
}

// Idle nodes each kept the turn they had not used; a surge made all of them use it within the same second.
TEST(RuleCold, TurnsThatWereNotUsedAreNotSavedForASurge) {
  Settings s = BasicSettings();
  s.nodes = 200;
  s.overload_factor = 2.5;
  s.fall = kSecond;
  s.cold_share = 0.12;
  s.warm_after = 20 * kSecond;
  const Micros start = 1000 * kSecond;
  const Micros surge = start + 15 * kSecond;
  int sends = 0;
  for (int node = 0; node < s.nodes; ++node) {
    Driver d(s, 100 + node);
    WorkerEntry cold = Entry("cold");
    cold.since = start;
    d.now = start + 1;
    d.List({cold});
    d.Arrive(1, "unsafe");  // the worker is looked at
    d.now = surge;
    d.all.clear();
    for (int id = 2; id <= 22; ++id) {
      d.Advance(d.now + s.fall / 20);
      d.Arrive(id, "unsafe");
    }
    sends += Count<Send>(d.all);
  }
  const double able = s.cold_share + (1.0 - s.cold_share) * 15.0 / 20.0;
  EXPECT_GT(sends, 0);
  EXPECT_LE(sends * s.classes[2].target, s.overload_factor * able * s.fall);
}

// Turns of a cold worker that each of a hundred nodes had for under a second in ten minutes went by unused:
// six in ten workers were replaced, and the others alone carried the day.
TEST(RuleCold, ManyNodesTogetherUseWhatColdWorkersMayTake) {
  Settings s = BasicSettings();
  s.nodes = 100;
  s.second_copies = false;
  s.overload_factor = 3.0;
  s.fall = 3 * kSecond;
  s.cold_share = 0.3;
  s.warm_after = 9 * kSecond;
  s.classes[0].target = 2 * kSecond;  // ten times what a job of the others takes
  int to_cold[2] = {0, 0};            // short ones, long ones: half of the jobs each
  for (int node = 0; node < s.nodes; ++node) {
    Driver d(s, 100 + node);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 60; ++i) {
      workers.push_back(Entry((i < 36 ? "cold" : "warm") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      if (i < 36)
        workers.back().since = d.now;
    }
    d.List(workers);
    std::mt19937_64 random(node);
    std::exponential_distribution<double> gap(1.0);
    const Micros warm = d.now + s.warm_after;
    for (int id = 1;; ++id) {
      d.Advance(d.now + static_cast<Micros>(gap(random) * kSecond));
      if (d.now >= warm)
        break;
      const bool is_long = random() % 2 == 0;
      for (const Send& send : Only<Send>(d.Arrive(id, is_long ? "repeatable" : "unsafe"))) {
        to_cold[is_long] += send.worker.starts_with("cold");
        d.Start(id, 0);
        d.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_GT(to_cold[0], 40);  // of some 450; by turns it was none
  EXPECT_EQ(to_cold[1], 0);   // few long ones make a cluster
}

// Where many start and one starts later than the others, it had the chances of those that were warm by then.
TEST(RuleCold, TheLastToWarmIsNotSentWhatTheOthersMayTake) {
  Settings s = BasicSettings();
  s.nodes = 200;
  s.overload_factor = 3.0;
  s.fall = 3 * kSecond;
  s.cold_share = 0.3;
  s.warm_after = 9 * kSecond;
  int to_last = 0;
  for (int node = 0; node < s.nodes; ++node) {
    Driver d(s, 100 + node);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 60; ++i) {
      workers.push_back(Entry((i == 0 ? "last" : "other") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      workers.back().since = i == 0 ? d.now - 2 * kSecond : d.now - 9 * kSecond + 1;
    }
    d.List(workers);
    std::mt19937_64 random(node);
    std::exponential_distribution<double> gap(1.0);
    const Micros until = d.now + s.fall;
    for (int id = 1;; ++id) {
      d.Advance(d.now + 10 + static_cast<Micros>(gap(random) * kSecond));
      if (d.now >= until)
        break;
      for (const Send& send : Only<Send>(d.Arrive(id, "unsafe")))
        to_last += send.worker == "last0";
    }
  }
  const double able = s.cold_share + (1.0 - s.cold_share) * 2.0 / 9.0;
  EXPECT_GT(to_last, 0);
  EXPECT_LE(to_last * s.classes[2].target, s.overload_factor * able * s.fall);
}

// Others that nothing is known of look free, and are not where most of a fleet is cold: what is drawn goes.
TEST(RuleCold, WhatIsDrawnForAColdWorkerGoesThere) {
  Settings s = BasicSettings();
  s.cold_share = 0.3;
  s.overload_factor = 30.0;  // so that every job is drawn
  Driver d(s);
  std::vector<WorkerEntry> workers = {Entry("free"), Entry("cold")};
  workers[1].since = d.now;
  d.List(workers);
  d.Advance(d.now + kSecond);
  const auto sends = Only<Send>(d.Arrive(1, "unsafe"));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].worker, "cold");
}

TEST(RuleCold, AWarmedWorkerIsFree) {
  Driver d(BasicSettings());
  WorkerEntry entry = Entry("a");
  entry.since = d.now - 21 * kSecond;
  d.List({entry});
  EXPECT_EQ(Count<Send>(d.Arrive(1, "unsafe")), 1);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
