// Passes random sequences of events, valid and invalid ones, to a dispatcher and checks rules that its
// actions must keep whatever the sequence is. The events do not come from a model of a fleet.
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

// What is known of one request: its attempts and whether it has ended.
struct RequestLedger {
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

TEST_P(RandomEvents, KeepAllRules) {
  std::mt19937_64 random(GetParam());
  const auto draw = [&](int count) { return static_cast<int>(random() % count); };
  Settings settings = BasicSettings();
  settings.hedging = draw(2) == 0;
  settings.cancel = draw(2) == 0;
  settings.subscribe = draw(2) == 0;
  settings.probes = draw(2) == 0;
  settings.reports_start = draw(2) == 0;
  settings.reports = static_cast<Settings::Reports>(draw(3));
  settings.classes[1].scope = static_cast<KeyScope>(draw(3));
  if (draw(2) == 0)
    settings.tenants = {{"t0", 0.7, 30.0}, {"t1", 0.3, 20.0}};
  Driver driver(settings, random());
  std::map<std::string, bool> ready;
  std::map<RequestId, RequestLedger> ledgers;
  const auto zone = [](int i) { return i % 2 == 0 ? "near" : "far"; };
  const auto index = [](const std::string& worker) { return std::stoi(worker.substr(1)); };

  const auto check = [&](const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        RequestLedger& ledger = ledgers.at(send->request);
        ASSERT_FALSE(ledger.ended);
        ASSERT_TRUE(ready[send->worker]) << "sent to a worker that is not ready";
        ASSERT_LT(static_cast<int>(ledger.sent.size()), settings.max_attempts);
        for (const RequestLedger::Sent& attempt : ledger.sent) {
          ASSERT_TRUE(!attempt.open || settings.hedging);
          if (!attempt.may_have_run)
            continue;
          ASSERT_NE(ledger.job_class, "unsafe");
          if (ledger.job_class != "keyed")
            continue;
          ASSERT_LT(driver.now - attempt.at, settings.classes[1].window);
          if (settings.classes[1].scope == KeyScope::kAll)
            continue;
          ASSERT_EQ(index(attempt.worker) % 2, index(send->worker) % 2);
          if (settings.classes[1].scope == KeyScope::kCell) {
            ASSERT_EQ(index(attempt.worker) % 4, index(send->worker) % 4);
          }
        }
        ledger.sent.push_back({send->worker, driver.now});
      } else if (const auto* rejection = std::get_if<Reject>(&action)) {
        RequestLedger& ledger = ledgers.at(rejection->request);
        ASSERT_FALSE(ledger.ended) << "two final answers";
        ledger.ended = true;
        const bool may_run_again =
            ledger.job_class == "repeatable" ||
            (ledger.job_class == "keyed" && settings.classes[1].scope == KeyScope::kAll);
        for (const RequestLedger::Sent& attempt : ledger.sent)
          ASSERT_TRUE(may_run_again || !attempt.may_have_run);
      } else if (const auto* failure = std::get_if<Fail>(&action)) {
        ASSERT_FALSE(ledgers.at(failure->request).ended) << "two final answers";
        ledgers.at(failure->request).ended = true;
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        ASSERT_TRUE(settings.cancel);
        ASSERT_LT(cancel->attempt_number, static_cast<int>(ledgers.at(cancel->request).sent.size()));
      } else if (std::holds_alternative<Probe>(action)) {
        ASSERT_TRUE(settings.probes);
      }
    }
  };

  for (int step = 0; step < 3000 && !HasFatalFailure(); ++step) {
    check(driver.Advance(driver.now + draw(20'000)));
    for (const auto& [id, ledger] : ledgers) {
      if (!ledger.ended && ledger.deadline > 0) {
        ASSERT_LE(driver.now, ledger.deadline + settings.answer_slack) << "no answer in time";
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
          WorkerEntry entry = Entry("w" + std::to_string(i), zone(i), i % 4, i % 3 == 0 ? "crate" : "box");
          entry.state = static_cast<WorkerEntry::State>(draw(full ? 2 : 3));
          if (draw(3) == 0)
            entry.since = driver.now - draw(30 * kSecond);
          ready[entry.worker] = entry.state == WorkerEntry::State::kReady;
          entries.push_back(entry);
        }
        check(driver.List(entries, full ? WorkerList::Form::kFull : WorkerList::Form::kDelta));
        break;
      }
      case 1:
        check(driver.List({}, WorkerList::Form::kFailed));
        break;
      case 2:
      case 3: {
        if (known != ledgers.end())
          break;
        RequestLedger& ledger = ledgers[id];
        ledger.job_class = kClassNames[draw(4)];
        const Micros left = draw(2 * kSecond);
        ledger.deadline = left > 0 ? driver.now + left : 0;
        Arrival arrival;
        arrival.request = id;
        arrival.job_class = ledger.job_class;
        arrival.tenant = draw(5) == 0 ? "stranger" : "t" + std::to_string(draw(2));
        arrival.time_left = left;
        arrival.slots = 1 + draw(3);
        if (draw(2) == 0)
          arrival.key = draw(10);
        check(driver.Do(arrival));
        break;
      }
      case 4:
      case 5: {  // an outcome, possibly of an attempt that was never sent or has already ended
        AttemptEnded end;
        end.request = id;
        end.attempt_number = draw(3);
        end.outcome = static_cast<Outcome>(draw(8));
        if (draw(2) == 0)
          end.report.free_slots = draw(6);
        if (known != ledgers.end() && end.attempt_number < static_cast<int>(known->second.sent.size())) {
          RequestLedger& ledger = known->second;
          RequestLedger::Sent& attempt = ledger.sent[end.attempt_number];
          if (attempt.open) {
            attempt.open = false;
            attempt.may_have_run = end.outcome != Outcome::kRejected &&
                                   end.outcome != Outcome::kConnectFailed && end.outcome != Outcome::kNotSent;
            end.request_ended = ledger.ended || end.outcome == Outcome::kServed;
            ledger.ended = end.request_ended;
          }
        }
        check(driver.Do(end));
        break;
      }
      case 6:
        check(driver.Do(Progress{id, draw(3), true, 0.0}));
        break;
      case 7:
        if (draw(5) == 0) {
          if (known != ledgers.end())
            known->second.ended = true;
          check(driver.Do(ClientGone{id}));
        } else if (draw(2) == 0) {
          check(driver.Do(TimerFired{random() >> draw(64)}));  // a token that was never set
        } else {
          check(driver.Do(ProbeDone{"w" + std::to_string(draw(2 * kWorkers)), Outcome::kServed, 1000, {}}));
        }
        break;
    }
  }
  check(driver.Advance(driver.now + 10 * kSecond));
  for (const auto& [id, ledger] : ledgers)
    EXPECT_TRUE(ledger.ended) << static_cast<std::uint64_t>(id);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range<std::uint64_t>(1, 61));

TEST(Misuse, TimeThatRunsBackwardsIsHandledAsStandingStill) {
  Driver driver(BasicSettings());
  driver.List({Entry("a")});
  driver.Arrive(1, "repeatable", kSecond);
  driver.now -= 500 * kSecond;
  EXPECT_EQ(Count<Send>(driver.Arrive(2, "repeatable", kSecond)), 1);
}

TEST(Misuse, InvalidSettingsAreNamed) {
  const auto expect_named = [](const char* name, auto invalidate) {
    Settings settings = BasicSettings();
    settings.tenants = {{"t", 1.0, 10.0}};
    invalidate(&settings);
    try {
      Dispatcher dispatcher(settings, 1);
      ADD_FAILURE() << name << " was accepted";
    } catch (const std::invalid_argument& error) {
      EXPECT_NE(std::string(error.what()).find(name), std::string::npos) << error.what();
    }
  };
  expect_named("classes", [](Settings* settings) { settings->classes.clear(); });
  expect_named("classes[1].kind", [](Settings* settings) { settings->classes[1].kind = 2; });
  expect_named("classes[0].target", [](Settings* settings) { settings->classes[0].target = -1; });
  expect_named("tenants[0].share", [](Settings* settings) { settings->tenants[0].share = 1.0 / 0.0; });
  expect_named("tenants", [](Settings* settings) { settings->tenants[0].share = 0.0; });
  expect_named("nodes", [](Settings* settings) { settings->nodes = 0; });
  expect_named("fall", [](Settings* settings) { settings->overload_window = 0; });
  expect_named("cold_share", [](Settings* settings) { settings->cold_capacity_share = 1.5; });
  expect_named("max_attempts", [](Settings* settings) { settings->max_attempts = 0; });
}

}  // namespace
}  // namespace aldersill::dispatch::testing
