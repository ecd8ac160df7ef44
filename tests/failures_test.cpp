// One test for each failure found on the bench; each fails without the fix it names.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

LoadReport FreeSlots(double free) {
  LoadReport report;
  report.free_slots = free;
  return report;
}

// A report older than a refusal said "free", and the worker that turned all away drew every job.
TEST(Failures, AFullWorkerIsNotTakenForIdle) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  std::map<std::string, int> sends;
  Driver d(s);
  d.List({Entry("full"), Entry("a"), Entry("b"), Entry("c")});
  for (int id = 1; id <= 400; ++id) {
    d.Advance(d.now + kSecond / 50);
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe"))) {
      ++sends[send.worker];
      if (send.worker == "full") {
        d.End(id, 0, Outcome::kFull);
      } else {
        d.Start(id, 0);
        d.Advance(d.now + kSecond / 20);
        d.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_LT(4 * sends["full"], sends["a"] + sends["b"] + sends["c"]);
}

// A worker that took jobs and answered none was told by nothing: jobs sat there until their deadline.
TEST(Failures, AWorkerThatFallsSilentIsLeftAloneAndItsHarmlessJobsRunElsewhere) {
  Settings s = BasicSettings();
  s.second_copies = false;
  s.cancel = true;
  s.tenants = {{"only", 1.0, 100.0}};
  Driver d(s);
  d.List({Entry("silent"), Entry("a")});
  int late = 0, called_back = 0;
  for (int id = 1; id <= 300; ++id) {
    for (const Cancel& c : Only<Cancel>(d.Advance(d.now + kSecond / 10))) {
      ++called_back;
      d.End(static_cast<int>(c.request), c.attempt_number, Outcome::kCancelled);
    }
    for (const Send& send : Only<Send>(d.Arrive(id, "repeatable", 30 * kSecond, 1, "only"))) {
      if (send.worker == "silent") {
        late += id > 200;
      } else {
        d.End(id, 0, Outcome::kServed, true);
      }
    }
  }
  EXPECT_GT(called_back, 0);
  EXPECT_LT(late, 20);  // of a hundred; half of them without it
}

// With tiny waiting rooms a 'full' is ordinary; each one used to cut the rate until most jobs were refused.
TEST(Failures, FullsThatFindRoomElsewhereDoNotStarveTheTenant) {
  Settings s = BasicSettings();
  s.tenants = {{"only", 1.0, 20.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 1000; ++id) {
    d.Advance(d.now + kSecond / 18);
    d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    int attempt_number = 0;
    if (Count<Send>(d.End(id, 0, Outcome::kFull)) > 0)
      attempt_number = 1;
    d.Start(id, attempt_number);
    d.End(id, attempt_number, Outcome::kServed, true);
  }
  EXPECT_LT(Count<Refuse>(d.all), 50);
}

// A late start within an average job's slack is no overload: it used to throttle a calm fleet.
TEST(Failures, StartsWithinTheSlackDoNotLowerTheRate) {
  Settings s = BasicSettings();
  s.second_copies = false;
  s.tenants = {{"only", 1.0, 20.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 500;
       ++id) {  // ten a second, each started later than the target, within target and run
    d.Advance(d.now + kSecond / 10);
    d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    if (id > 3)
      d.Start(id - 3, 0);
    if (id > 6)
      d.End(id - 6, 0, Outcome::kServed, true);
  }
  EXPECT_LT(Count<Refuse>(d.all), 10);
}

// Where few jobs are long, most are far shorter than the average: starts too late for them passed for timely,
// and the rate stayed where most of the work came late.
TEST(Failures, LateStartsOfShortJobsLowerTheRateThoughAFewAreLong) {
  Settings s = BasicSettings();
  s.second_copies = false;
  s.tenants = {{"only", 1.0, 40.0}};
  Driver d(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  d.List(workers);
  std::multimap<Micros, int> starts;
  std::multimap<Micros, int> ends;
  const auto sent = [&](const std::vector<Action>& actions) {
    for (const Send& send : Only<Send>(actions))
      starts.emplace(d.now + 300'000, static_cast<int>(send.request));  // target 0.2 s and one running time
  };
  for (int id = 1; id <= 1500; ++id) {
    for (const Micros until = d.now + kSecond / 30; d.now < until;) {
      sent(d.Advance(d.now + 1000));
      for (; !starts.empty() && starts.begin()->first <= d.now; starts.erase(starts.begin())) {
        const int started = starts.begin()->second;
        d.Start(started, 0);
        ends.emplace(d.now + (started % 10 == 0 ? 3 * kSecond : kSecond / 100), started);
      }
      for (; !ends.empty() && ends.begin()->first <= d.now; ends.erase(ends.begin()))
        d.End(ends.begin()->second, 0, Outcome::kServed, true);
    }
    sent(d.Arrive(id, "unsafe", 100 * kSecond, 1, "only"));
  }
  EXPECT_GT(Count<Refuse>(d.all), 500);
}

// The shares refused of short and of long jobs under three times what the quota lets through.
std::pair<double, double> RefusedShortAndLong(double short_weight, double long_weight, bool by_work) {
  Settings s = BasicSettings();
  s.second_copies = false;
  s.tenants = {{"only", 1.0, 20.0}};
  s.classes[0].priority_weight = short_weight;
  s.classes[2].priority_weight = long_weight;
  s.priority_weight_by_work = by_work;
  Driver d(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  d.List(workers);
  std::mt19937_64 random(1);
  std::map<int, bool> is_long;
  std::multimap<Micros, int> ends;
  const auto start = [&](const std::vector<Action>& actions) {
    for (const Send& send : Only<Send>(actions)) {
      const int id = static_cast<int>(send.request);
      d.Start(id, 0);
      ends.emplace(d.now + (is_long[id] ? kSecond : kSecond / 50), id);
    }
  };
  for (int id = 1; id <= 2000; ++id) {  // one in four is long; together three times the quota
    for (const Micros until = d.now + kSecond / 60; d.now < until;) {
      start(d.Advance(d.now + 1000));
      for (; !ends.empty() && ends.begin()->first <= d.now; ends.erase(ends.begin()))
        d.End(ends.begin()->second, 0, Outcome::kServed, true);
    }
    is_long[id] = random() % 4 == 0;
    start(d.Arrive(id, is_long[id] ? "unsafe" : "repeatable", 100 * kSecond, 1, "only"));
  }
  double refused[2] = {0.0, 0.0};
  for (const Refuse& r : Only<Refuse>(d.all))
    ++refused[is_long[static_cast<int>(r.request)]];
  return {refused[0] / 1500.0, refused[1] / 500.0};
}

// Long jobs of little worth took the tokens of short ones of much: one token each, whatever they ran.
TEST(Failures, LongJobsOfLittleWorthDoNotCrowdOutShortOnesOfMuch) {
  const auto [of_short, of_long] = RefusedShortAndLong(10.0, 1.0, false);
  EXPECT_LT(2.0 * of_short, of_long);
}

// Long jobs were refused first as if they brought no more than short ones, though their worth was told by
// work.
TEST(Failures, LongJobsWhoseWorthIsToldByWorkAreNotRefusedFirst) {
  const auto [of_short, of_long] = RefusedShortAndLong(5.0, 8.0, true);
  EXPECT_LT(of_long, 1.1 * of_short);
}

// Where workers turn away what they cannot start, a rate that stayed where a sixth of the starts is late
// refused jobs though there was room for them.
TEST(Failures, TheRateRisesAboveItsStartWhereWorkersTurnAwayWhatTheyCannotStart) {
  int refused[2] = {0, 0};
  for (const bool full : {false, true}) {
    Settings s = BasicSettings();
    s.second_copies = false;
    s.tenants = {{"only", 1.0, 20.0}};
    Driver d(s);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 40; ++i)
      workers.push_back(Entry("w" + std::to_string(i)));
    d.List(workers);
    std::multimap<Micros, std::pair<int, int>> late;
    const auto handle = [&](const std::vector<Action>& actions) {
      for (const Send& send : Only<Send>(actions)) {
        const int id = static_cast<int>(send.request);
        const int attempt_number = full && Count<Send>(d.End(id, 0, Outcome::kFull)) > 0 ? 1 : 0;
        if (id % 5 == 0) {  // a fifth of the starts is late
          late.emplace(d.now + kSecond, std::pair(id, attempt_number));
          continue;
        }
        d.Start(id, attempt_number);
        d.End(id, attempt_number, Outcome::kServed, true);
      }
    };
    for (int id = 1; id <= 1500; ++id) {
      handle(d.Advance(d.now + kSecond / 30));
      for (; !late.empty() && late.begin()->first <= d.now; late.erase(late.begin())) {
        const auto [started, attempt_number] = late.begin()->second;
        d.Start(started, attempt_number);
        d.End(started, attempt_number, Outcome::kServed, true);
      }
      handle(d.Arrive(id, "unsafe", 5 * kSecond, 1, "only"));
    }
    refused[full] = Count<Refuse>(d.all);
  }
  EXPECT_LT(2 * refused[true], refused[false]);
}

// Where queues are long, a worker that turned a job away looked better than one that reported half as long a
// queue.
TEST(Failures, AFullWorkerCountsAsQueueingTheLongestQueueOfItsKind) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings s = BasicSettings();
    s.max_attempts = 1;
    Driver d(s, seed);
    const auto hear = [&](const std::string& worker, double free, double waiting) {
      LoadReport report = FreeSlots(free);
      report.waiting = waiting;
      d.Do(ProbeDone{worker, Outcome::kServed, 1000, report});
    };
    d.List({Entry("a")});
    hear("a", 4.0, 0.0);
    hear("a", 0.0, 20.0);
    d.Arrive(1, "unsafe");
    d.End(1, 0, Outcome::kFull);
    d.List({Entry("a"), Entry("b")});
    hear("b", 0.0, 10.0);
    const auto next = Only<Send>(d.Arrive(2, "unsafe"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].worker, "b");
  }
}

// Once an overload was over, a node at its floor stayed there for some ten seconds, refusing jobs beside idle
// workers: its few starts each raised the rate by little.
TEST(Failures, TheRateReturnsSoonOnceWorkersStartJobsAtOnce) {
  Settings s = BasicSettings();
  s.second_copies = false;
  s.tenants = {{"only", 1.0, 20.0}};
  Driver d(s);
  d.List({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  for (int id = 1; id <= 100; ++id) {  // every job starts far too late
    d.Advance(d.now + kSecond / 20);
    d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    if (id > 40)
      d.Start(id - 40, 0);
    if (id > 41)
      d.End(id - 41, 0, Outcome::kServed, true);
  }
  for (int id = 60; id <= 100; ++id) {
    d.Start(id, 0);
    d.End(id, 0, Outcome::kServed, true);
  }
  for (int id = 101; id <= 150; ++id) {  // then all start at once: two seconds to return
    if (id == 141)
      d.all.clear();
    auto actions = d.Advance(d.now + kSecond / 20);
    const auto more = d.Arrive(id, "unsafe", 5 * kSecond, 1, "only");
    actions.insert(actions.end(), more.begin(), more.end());
    for (const Send& send : Only<Send>(actions)) {
      d.Start(static_cast<int>(send.request), 0);
      d.End(static_cast<int>(send.request), 0, Outcome::kServed, true);
    }
  }
  EXPECT_LT(Count<Refuse>(d.all), 3);
}

// The report that came with a refusal is older than the refusal.
TEST(Failures, ARefusalOutweighsTheReportThatCameWithIt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings s = BasicSettings();
    s.max_attempts = 1;
    Driver d(s, seed);
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "unsafe");
    const std::string first = Only<Send>(d.all)[0].worker;
    AttemptEnded e;
    e.request = RequestId{1};
    e.outcome = Outcome::kFull;
    e.report = FreeSlots(4.0);
    d.Do(e);
    const auto next = Only<Send>(d.Arrive(2, "unsafe"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_NE(next[0].worker, first);
  }
}

// Where no job need be late, the free slots of a worker still counted for nothing, and scarce ones were
// taken.
TEST(Failures, TheFreerWorkerGoesFirstEvenWhereNobodyNeedBeLate) {
  int to_freer = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings s = BasicSettings();
    for (ClassSettings& c : s.classes)
      c.target = 4 * kSecond;  // as long as jobs run until one is seen to end
    Driver d(s, seed);
    d.List({Entry("busy"), Entry("freer")});
    d.Do(ProbeDone{"busy", Outcome::kServed, 1000, FreeSlots(4.0)});  // it has four slots
    d.Do(ProbeDone{"busy", Outcome::kServed, 1000, FreeSlots(1.0)});
    d.Do(ProbeDone{"freer", Outcome::kServed, 1000, FreeSlots(4.0)});
    for (const Send& send : Only<Send>(d.Arrive(1, "unsafe")))
      to_freer += send.worker == "freer";
  }
  EXPECT_EQ(to_freer, 20);
}

// Workers of one kind were chosen for their speed until they were crowded and the others idle.
TEST(Failures, AFasterKindIsNotCrowdedWhileASlowerOneIsFree) {
  Settings s = BasicSettings();
  Driver d(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(Entry("fast" + std::to_string(i), "near", 0, "box"));
    workers.push_back(Entry("slow" + std::to_string(i), "near", 0, "crate"));
  }
  d.List(workers);
  std::map<bool, int> sends;
  for (int id = 1; id <= 2000; ++id) {
    d.Advance(d.now + kSecond / 100);
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe"))) {
      const bool fast = send.worker[0] == 'f';
      ++sends[fast];
      d.Start(id, 0);
      d.now += fast ? kSecond / 20 : kSecond / 10;
      AttemptEnded e;
      e.request = RequestId{static_cast<std::uint64_t>(id)};
      e.request_ended = true;
      e.report = FreeSlots(fast ? 0.0 : 4.0);
      d.Do(e);
    }
  }
  EXPECT_GT(sends[false], sends[true]);
}

// Jobs of a popular key all went to its few home workers and were turned away there.
TEST(Failures, APopularKeySpreadsBeyondItsHomes) {
  Settings s = BasicSettings();
  s.second_copies = false;
  Driver d(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  d.List(workers);
  std::map<std::string, int> sends;
  for (int id = 1; id <= 400; ++id) {
    Arrival a;
    a.request = RequestId{static_cast<std::uint64_t>(id)};
    a.job_class = "unsafe";
    a.time_left = 100 * kSecond;
    a.key = 7;
    d.now += kSecond / 100;
    for (const Send& send : Only<Send>(d.Do(a)))
      ++sends[send.worker];
  }
  EXPECT_GT(sends.size(), 20u);
}

// Nodes that each saw a few of its jobs sent a popular key to the same few homes, which none of them saw
// fill.
TEST(Failures, APopularKeyHasHomesInProportionOnEveryNode) {
  std::map<std::string, int> popular;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Driver d(BasicSettings(), seed);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 100; ++i)
      workers.push_back(Entry("w" + std::to_string(i)));
    d.List(workers);
    for (int id = 1; id <= 2000; ++id) {
      Arrival a;
      a.request = RequestId{static_cast<std::uint64_t>(id)};
      a.job_class = "unsafe";
      a.time_left = 5 * kSecond;
      a.key = id % 10 == 0 ? 7 : 1000 + id;
      d.now += kSecond / 20;
      for (const Send& send : Only<Send>(d.Do(a))) {
        if (a.key == 7u)
          ++popular[send.worker];
        d.Start(id, 0);
        d.End(id, 0, Outcome::kServed, true);  // the node itself never has two out
      }
    }
  }
  EXPECT_GE(popular.size(), 10u);
  EXPECT_LE(popular.size(), 50u);
}

// While that key is rare, it keeps to the same worker, on every node.
TEST(Failures, ARareKeyKeepsToOneWorkerOnEveryNode) {
  std::map<std::string, int> sends;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver d(BasicSettings(), seed);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 40; ++i)
      workers.push_back(Entry("w" + std::to_string(i)));
    d.List(workers);
    Arrival a;
    a.request = RequestId{1};
    a.job_class = "unsafe";
    a.time_left = 5 * kSecond;
    a.key = 7;
    for (const Send& send : Only<Send>(d.Do(a)))
      ++sends[send.worker];
  }
  EXPECT_EQ(sends.size(), 1u);
}

// A second copy of a job that waits costs a whole run where a worker drops nothing that is called off, and
// what it costs delays the next one: on a deployment of jobs of a tenth of a second copies made one in five
// late.
TEST(Failures, AJobThatWaitsIsNotSentTwiceThoughItMayBe) {
  Driver d(BasicSettings());
  d.List({Entry("a"), Entry("b"), Entry("c")});
  int first = 0;
  for (int id = 1; id <= 1000; ++id) {
    first += Count<Send>(d.Arrive(id, "repeatable"));
    d.Advance(d.now + kSecond / 6);  // it waits, as far as was told
    d.End(id, 0, Outcome::kServed, true);
  }
  EXPECT_GT(first, 900);
  EXPECT_EQ(Count<Send>(d.all), first);
}

// Reports are refreshed now and then and come late. Taken for the present, one that told of free slots a
// second ago drew all of the jobs that run a tenth of it, until the next report.
TEST(Failures, AReportOfATimeThatIsOverDoesNotDrawAllShortJobs) {
  Settings s = BasicSettings();
  for (ClassSettings& c : s.classes)
    c.target = kSecond / 20;
  s.reports = Settings::Reports::kProbesOnly;
  s.probes = true;
  Driver d(s);
  d.List({Entry("told-free"), Entry("told-full")});
  d.Do(ProbeDone{"told-full", Outcome::kServed, 1000, FreeSlots(4.0)});  // it has four slots
  std::map<std::string, int> sends;
  for (int id = 1; id <= 200; ++id) {
    d.Do(ProbeDone{"told-free", Outcome::kServed, 1000, FreeSlots(4.0)});
    d.Do(ProbeDone{"told-full", Outcome::kServed, 1000, FreeSlots(0.0)});
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe")))
      ++sends[send.worker];
    d.Advance(d.now + kSecond / 50);
    d.Start(id, 0);
    d.Advance(d.now + kSecond / 50);
    d.End(id, 0, Outcome::kServed, true);
  }
  EXPECT_GT(sends["told-full"], 40);
}

// A worker that a few nodes' jobs of one key keep full was forgotten within one running time.
TEST(Failures, AWorkerThatRefusesIsRememberedBeyondARunningTime) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  Driver d(s);
  d.List({Entry("full"), Entry("a")});
  std::map<std::string, int> sends;
  for (int id = 1; id <= 200; ++id) {
    d.Advance(d.now + 2 * kSecond);
    for (const Send& send : Only<Send>(d.Arrive(id, "unsafe"))) {
      ++sends[send.worker];
      if (send.worker == "a") {
        d.Start(id, 0);
        d.Advance(d.now + kSecond / 5);
      }
      d.End(id, 0, send.worker == "full" ? Outcome::kFull : Outcome::kServed, send.worker == "a");
    }
  }
  EXPECT_GT(sends["a"], 150);
  EXPECT_GT(sends["full"], 3);  // and tried again
}

// Nodes that lose their subscriptions together used to call for the list in the same instant.
TEST(Failures, ABrokenSubscriptionIsNotRenewedInTheSameInstant) {
  Settings s = BasicSettings();
  s.subscribe = true;
  std::map<Micros, int> calls;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver d(s, seed);
    d.List({Entry("a")}, WorkerList::Form::kCached);
    d.List({}, WorkerList::Form::kDelta);
    const Micros broke = d.now;
    EXPECT_EQ(Count<SubscribeList>(d.List({}, WorkerList::Form::kFailed)), 0);
    while (Count<SubscribeList>(d.Advance(d.now + kSecond / 1000)) == 0 && d.now < broke + 10 * kSecond) {
    }
    EXPECT_LT(d.now, broke + kSecond);
    ++calls[d.now];
  }
  EXPECT_GT(calls.size(), 10u);
}

// What on-call staff rely on is logged, at a bounded rate.
TEST(Failures, ACutZoneIsLoggedOnceInTenSeconds) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  for (int id = 1; id <= 100; ++id) {
    d.Advance(d.now + kSecond / 20);
    d.Arrive(id, "unsafe");
    d.End(id, 0, Outcome::kConnectFailed);
  }
  EXPECT_EQ(Count<Log>(d.all), 1);
}

// A worker that cannot be reached is left alone for a while, and found again.
TEST(Failures, AnUnreachableWorkerIsLeftAloneThenTriedAgain) {
  Settings s = BasicSettings();
  Driver d(s);
  d.List({Entry("dead"), Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  int to_dead = 0;
  for (int id = 1; id <= 600; ++id) {
    d.Advance(d.now + kSecond / 10);
    auto actions = d.Arrive(id, "unsafe");
    for (int attempt_number = 0; Count<Send>(actions) > 0; ++attempt_number) {
      const bool dead = Only<Send>(actions)[0].worker == "dead";
      to_dead += dead;
      if (!dead)
        d.Start(id, attempt_number);
      actions = d.End(id, attempt_number, dead ? Outcome::kConnectFailed : Outcome::kServed, !dead);
    }
  }
  EXPECT_GE(to_dead, 3);
  EXPECT_LE(to_dead, 40);
}

// Of a hundred nodes each turned away a third of its jobs at the start and a tenth later, beside idle
// workers: a tenant's bank held one job or two, and its tokens came every ten seconds.
TEST(Failures, ANodeOfManyTurnsAwayFewJobsByChanceAlone) {
  int refused = 0, jobs = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Settings s = BasicSettings();
    s.nodes = 100;
    s.second_copies = false;
    s.tenants.clear();
    for (int t = 0; t < 6; ++t)
      s.tenants.push_back({"t" + std::to_string(t), 1.0, 20.0});
    Driver d(s, seed);
    d.List({Entry("a"), Entry("b")});
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(
        0.9);  // jobs a second, of the 1.2 that the quotas leave this node
    for (int id = 1; id <= 60; ++id, ++jobs) {
      d.Advance(d.now + static_cast<Micros>(gap(random) * kSecond));
      const auto actions =
          d.Arrive(id, "unsafe", 5 * kSecond, 1, "t" + std::to_string(random() % s.tenants.size()));
      if (Count<Send>(actions) == 0)
        continue;
      d.Start(id, 0);
      d.End(id, 0, Outcome::kServed, true);
    }
    d.Advance(d.now + 5 * kSecond);
    refused += Count<Refuse>(d.all);
  }
  EXPECT_LT(refused, jobs / 100) << "of " << jobs;
}

// A node of a hundred meets a worker once in minutes: it loaded small workers like large ones and never
// learnt.
TEST(Failures, ANodeThatKnowsNothingSendsByTheWeightsTold) {
  int to_large = 0;
  constexpr int kNodes = 400;
  for (std::uint64_t seed = 1; seed <= kNodes; ++seed) {
    Driver d(BasicSettings(), seed);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 20; ++i) {
      workers.push_back(Entry((i < 10 ? "large" : "small") + std::to_string(i), i % 2 == 0 ? "near" : "far"));
      workers.back().weight = i < 10 ? 4.5 : 1.5;
    }
    d.List(workers);
    const auto sends = Only<Send>(d.Arrive(1, "unsafe"));
    ASSERT_EQ(sends.size(), 1u);
    to_large += sends[0].worker.starts_with("large");
  }
  EXPECT_GT(to_large, kNodes * 68 / 100);
  EXPECT_LT(to_large, kNodes * 82 / 100);
}

// A node of a hundred hears of a worker once in minutes: it took each queue for silence, and a quarter of all
// executions were called back and run again elsewhere, most when the fleet was short of workers.
TEST(Failures, AWorkerThatAnswersOthersIsNotTakenForSilent) {
  struct Case {
    std::optional<double> served_per_s;  // what it tells when it is asked; nothing: it does not answer
    bool called_back;
  };
  for (const Case& c : {Case{3.0, false}, Case{0.0, true}, Case{std::nullopt, true}}) {
    Settings s = BasicSettings();
    s.second_copies = false;
    s.reports_start = false;
    s.probes = true;
    Driver d(s);
    d.List({Entry("a"), Entry("b")});
    d.Arrive(1, "repeatable", 20 * kSecond);
    int asked = 0;
    // In steps of odd length, as timers ring late.
    for (const Micros end = d.now + 3 * kSecond; d.now < end;) {
      for (const Probe& probe : Only<Probe>(d.Advance(d.now + 7'777))) {
        ++asked;
        if (!c.served_per_s)
          continue;
        LoadReport report = FreeSlots(0.0);
        report.served_per_s = c.served_per_s;
        d.now += 5'000;
        d.Do(ProbeDone{probe.worker, Outcome::kServed, 5'000, report});
      }
    }
    EXPECT_GE(asked, 1);
    EXPECT_LE(asked, 10);  // once in the time that an answer may take
    EXPECT_EQ(Count<Cancel>(d.all) > 0, c.called_back) << c.served_per_s.value_or(-1.0);
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
