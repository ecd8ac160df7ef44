// Tests how draining and removed workers and the subscription to the endpoint list are handled.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// All nodes may lose their subscriptions at the same time and must not renew them all at once.
TEST(EndpointList, RenewsABrokenSubscriptionWithJitter) {
  Settings settings = BasicSettings();
  settings.subscribe = true;
  std::map<Micros, int> calls;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver driver(settings, seed);
    driver.List({Entry("a")}, WorkerList::Form::kCached);
    driver.List({}, WorkerList::Form::kDelta);
    const Micros broken_at = driver.now;
    EXPECT_EQ(Count<SubscribeList>(driver.List({}, WorkerList::Form::kFailed)), 0);
    while (Count<SubscribeList>(driver.Advance(driver.now + kSecond / 1000)) == 0 &&
           driver.now < broken_at + 10 * kSecond) {
    }
    EXPECT_LT(driver.now, broken_at + kSecond);
    ++calls[driver.now];
  }
  EXPECT_GT(calls.size(), 10u);
}

TEST(EndpointList, SendsNothingToADrainingOrRemovedWorker) {
  for (const auto state : {WorkerEntry::State::kDraining, WorkerEntry::State::kGone}) {
    for (const char* job_class : kClasses) {
      Driver driver(BasicSettings());
      driver.List({Entry("a"), Entry("b")});
      WorkerEntry leaving = Entry("a");
      leaving.state = state;
      driver.List({leaving}, WorkerList::Form::kDelta);
      driver.all.clear();
      for (int id = 1; id < 50; ++id) {
        driver.Arrive(id, job_class);
        driver.End(id, 0, Outcome::kRejected);
        driver.Advance(driver.now + kSecond / 10);
      }
      EXPECT_GT(Count<Send>(driver.all), 0);
      for (const Send& send : Only<Send>(driver.all))
        EXPECT_EQ(send.worker, "b");
    }
  }
}

TEST(EndpointList, RemovesAWorkerMissingFromAFullList) {
  Driver driver(BasicSettings());
  driver.List({Entry("a"), Entry("b")});
  driver.List({Entry("b")});
  driver.all.clear();
  for (int id = 1; id < 50; ++id)
    driver.Arrive(id, "repeatable");
  for (const Send& send : Only<Send>(driver.all))
    EXPECT_EQ(send.worker, "b");
}

TEST(EndpointList, RetriesAvoidADrainingWorker) {
  Settings settings = BasicSettings();
  Driver driver(settings);
  driver.List({Entry("a"), Entry("b")});
  driver.Arrive(1, "repeatable");
  const std::string first = Only<Send>(driver.all)[0].worker;
  WorkerEntry leaving = Entry(first == "a" ? "b" : "a");
  leaving.state = WorkerEntry::State::kDraining;
  driver.List({leaving}, WorkerList::Form::kDelta);
  for (const Send& send : Only<Send>(driver.End(1, 0, Outcome::kRejected)))
    EXPECT_EQ(send.worker, first);
}

TEST(EndpointList, SubscribesAndPollsUntilAListArrives) {
  Settings settings = BasicSettings();
  settings.subscribe = true;
  settings.max_list_poll_interval = 10 * kSecond;
  Driver driver(settings);
  driver.List({Entry("a")}, WorkerList::Form::kCached);
  driver.Advance(driver.now + 10 * kSecond);
  EXPECT_GE(Count<SubscribeList>(driver.all), 2);  // there was no answer
  driver.List({}, WorkerList::Form::kDelta);
  driver.all.clear();
  driver.Advance(driver.now + 60 * kSecond);
  EXPECT_EQ(Count<SubscribeList>(driver.all), 0);
  driver.List({}, WorkerList::Form::kFailed);  // the subscription has broken
  driver.Advance(driver.now + 10 * kSecond);
  EXPECT_GE(Count<SubscribeList>(driver.all), 1);
}

TEST(EndpointList, JittersThePollsOfNodesThatStartTogether) {
  Settings settings = BasicSettings();
  settings.subscribe = true;
  std::set<Micros> delays;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver driver(settings, seed);
    const auto actions = driver.List({Entry("a")}, WorkerList::Form::kCached);
    for (const SetTimer& timer : Only<SetTimer>(actions))
      delays.insert(timer.delay);
  }
  EXPECT_GT(delays.size(), 15u);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
