// Random sequences of events, sensible and not, against what no sequence may break. There is no model of a
// fleet.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

constexpr int kWorkers = 12;
constexpr const char* kClassNames[] = {"repeatable", "keyed", "unsafe", "unheard-of"};

struct Ledger {
  struct Sent {
    std::string worker;
    Micros at;
    bool open = true;
    bool may_have_run = true;
  };
  std::string job_class;
  Micros deadline = 0;
  std::vector<Sent> sent;
  bool ended = false;
  bool known_ended = false;
};

class RandomEvents : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomEvents, BreakNoRule) {
  std::mt19937_64 random(GetParam());
  const auto draw = [&](int n) { return static_cast<int>(random() % n); };
  Settings s = BasicSettings();
  s.hedging = draw(2) == 0;
  s.cancel = draw(2) == 0;
  s.subscribe = draw(2) == 0;
  s.probes = draw(2) == 0;
  s.reports_start = draw(2) == 0;
  s.reports = static_cast<Settings::Reports>(draw(3));
  s.classes[1].scope = static_cast<KeyScope>(draw(3));
  if (draw(2) == 0)
    s.tenants = {{"t0", 0.7, 30.0}, {"t1", 0.3, 20.0}};
  Driver d(s, random());
  std::map<std::string, bool> ready;
  std::map<RequestId, Ledger> ledgers;
  const auto zone = [](int i) { return i % 2 == 0 ? "near" : "far"; };
  const auto index = [](const std::string& worker) { return std::stoi(worker.substr(1)); };

  const auto check = [&](const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        Ledger& l = ledgers.at(send->request);
        ASSERT_FALSE(l.ended);
        ASSERT_TRUE(ready[send->worker]) << "sent to a worker that is not ready";
        ASSERT_LT(static_cast<int>(l.sent.size()), s.max_attempts);
        for (const Ledger::Sent& a : l.sent) {
          ASSERT_TRUE(!a.open || s.hedging);
          if (!a.may_have_run)
            continue;
          ASSERT_NE(l.job_class, "unsafe");
          if (l.job_class != "keyed")
            continue;
          ASSERT_LT(d.now - a.at, s.classes[1].window);
          if (s.classes[1].scope == KeyScope::kAll)
            continue;
          ASSERT_EQ(index(a.worker) % 2, index(send->worker) % 2);
          if (s.classes[1].scope == KeyScope::kCell) {
            ASSERT_EQ(index(a.worker) % 4, index(send->worker) % 4);
          }
        }
        l.sent.push_back({send->worker, d.now});
      } else if (const auto* refuse = std::get_if<Reject>(&action)) {
        Ledger& l = ledgers.at(refuse->request);
        ASSERT_FALSE(l.ended) << "two final answers";
        l.ended = true;
        const bool harmless =
            l.job_class == "repeatable" || (l.job_class == "keyed" && s.classes[1].scope == KeyScope::kAll);
        for (const Ledger::Sent& a : l.sent)
          ASSERT_TRUE(harmless || !a.may_have_run);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        ASSERT_FALSE(ledgers.at(fail->request).ended) << "two final answers";
        ledgers.at(fail->request).ended = true;
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        ASSERT_TRUE(s.cancel);
        ASSERT_LT(cancel->attempt_number, static_cast<int>(ledgers.at(cancel->request).sent.size()));
      } else if (std::holds_alternative<Probe>(action)) {
        ASSERT_TRUE(s.probes);
      }
    }
  };

  for (int step = 0; step < 3000 && !HasFatalFailure(); ++step) {
    check(d.Advance(d.now + draw(20'000)));
    for (const auto& [id, l] : ledgers) {
      if (!l.ended && l.deadline > 0) {
        ASSERT_LE(d.now, l.deadline + s.answer_slack) << "no answer in time";
      }
    }
    const RequestId id{static_cast<std::uint64_t>(draw(400))};
    const auto known = ledgers.find(id);
    switch (draw(8)) {
      case 0: {
        std::vector<WorkerEntry> entries;
        const bool full = draw(4) == 0;
        if (full)
          ready.clear();
        for (int i = 0; i < kWorkers; ++i) {
          if (draw(3) > 0)
            continue;
          WorkerEntry e = Entry("w" + std::to_string(i), zone(i), i % 4, i % 3 == 0 ? "crate" : "box");
          e.state = static_cast<WorkerEntry::State>(draw(full ? 2 : 3));
          if (draw(3) == 0)
            e.since = d.now - draw(30 * kSecond);
          ready[e.worker] = e.state == WorkerEntry::State::kReady;
          entries.push_back(e);
        }
        check(d.List(entries, full ? WorkerList::Form::kFull : WorkerList::Form::kDelta));
        break;
      }
      case 1:
        check(d.List({}, WorkerList::Form::kFailed));
        break;
      case 2:
      case 3: {
        if (known != ledgers.end())
          break;
        Ledger& l = ledgers[id];
        l.job_class = kClassNames[draw(4)];
        const Micros left = draw(2 * kSecond);
        l.deadline = left > 0 ? d.now + left : 0;
        Arrival a;
        a.request = id;
        a.job_class = l.job_class;
        a.tenant = draw(5) == 0 ? "stranger" : "t" + std::to_string(draw(2));
        a.time_left = left;
        a.slots = 1 + draw(3);
        if (draw(2) == 0)
          a.key = draw(10);
        check(d.Do(a));
        break;
      }
      case 4:
      case 5: {  // an outcome, perhaps of an attempt that never was or has ended
        AttemptEnded e;
        e.request = id;
        e.attempt_number = draw(3);
        e.outcome = static_cast<Outcome>(draw(8));
        if (draw(2) == 0)
          e.report.free_slots = draw(6);
        if (known != ledgers.end() && e.attempt_number < static_cast<int>(known->second.sent.size())) {
          Ledger& l = known->second;
          Ledger::Sent& a = l.sent[e.attempt_number];
          if (a.open) {
            a.open = false;
            a.may_have_run = e.outcome != Outcome::kRejected && e.outcome != Outcome::kConnectFailed &&
                             e.outcome != Outcome::kNotSent;
            e.request_ended = l.ended || e.outcome == Outcome::kServed;
            l.ended = e.request_ended;
          }
        }
        check(d.Do(e));
        break;
      }
      case 6:
        check(d.Do(Progress{id, draw(3), true, 0.0}));
        break;
      case 7:
        if (draw(5) == 0) {
          if (known != ledgers.end())
            known->second.ended = true;
          check(d.Do(ClientGone{id}));
        } else if (draw(2) == 0) {
          check(d.Do(TimerFired{random() >> draw(64)}));  // a token that was never set
        } else {
          check(d.Do(ProbeDone{"w" + std::to_string(draw(2 * kWorkers)), Outcome::kServed, 1000, {}}));
        }
        break;
    }
  }
  check(d.Advance(d.now + 10 * kSecond));
  for (const auto& [id, l] : ledgers)
    EXPECT_TRUE(l.ended) << static_cast<std::uint64_t>(id);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range<std::uint64_t>(1, 61));

TEST(Misuse, TimeThatRunsBackwardsIsTakenAsStandingStill) {
  Driver d(BasicSettings());
  d.List({Entry("a")});
  d.Arrive(1, "repeatable", kSecond);
  d.now -= 500 * kSecond;
  EXPECT_EQ(Count<Send>(d.Arrive(2, "repeatable", kSecond)), 1);
}

TEST(Misuse, SettingsThatMakeNoSenseAreNamed) {
  const auto expect_named = [](const char* name, auto spoil) {
    Settings s = BasicSettings();
    s.tenants = {{"t", 1.0, 10.0}};
    spoil(&s);
    try {
      Dispatcher d(s, 1);
      ADD_FAILURE() << name << " was accepted";
    } catch (const std::invalid_argument& e) {
      EXPECT_NE(std::string(e.what()).find(name), std::string::npos) << e.what();
    }
  };
  expect_named("classes", [](Settings* s) { s->classes.clear(); });
  expect_named("classes[1].kind", [](Settings* s) { s->classes[1].kind = 2; });
  expect_named("classes[0].target", [](Settings* s) { s->classes[0].target = -1; });
  expect_named("tenants[0].share", [](Settings* s) { s->tenants[0].share = 1.0 / 0.0; });
  expect_named("tenants", [](Settings* s) { s->tenants[0].share = 0.0; });
  expect_named("nodes", [](Settings* s) { s->nodes = 0; });
  expect_named("fall", [](Settings* s) { s->overload_window = 0; });
  expect_named("cold_share", [](Settings* s) { s->cold_capacity_share = 1.5; });
  expect_named("max_attempts", [](Settings* s) { s->max_attempts = 0; });
}

}  // namespace
}  // namespace aldersill::dispatch::testing
