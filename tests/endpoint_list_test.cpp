// Draining and removed workers, and the subscription to the endpoint list.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// Nodes lose their subscriptions together and must not all call at once.
TEST(EndpointList, RenewsABrokenSubscriptionWithJitter) {
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

TEST(EndpointList, SendsNothingToADrainingOrRemovedWorker) {
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
        d.End(id, 0, Outcome::kRejected);
        d.Advance(d.now + kSecond / 10);
      }
      EXPECT_GT(Count<Send>(d.all), 0);
      for (const Send& send : Only<Send>(d.all))
        EXPECT_EQ(send.worker, "b");
    }
  }
}

TEST(EndpointList, RemovesAWorkerMissingFromAFullList) {
  Driver d(BasicSettings());
  d.List({Entry("a"), Entry("b")});
  d.List({Entry("b")});
  d.all.clear();
  for (int id = 1; id < 50; ++id)
    d.Arrive(id, "repeatable");
  for (const Send& send : Only<Send>(d.all))
    EXPECT_EQ(send.worker, "b");
}

TEST(EndpointList, RetriesAvoidADrainingWorker) {
  Settings s = BasicSettings();
  Driver d(s);
  d.List({Entry("a"), Entry("b")});
  d.Arrive(1, "repeatable");
  const std::string first = Only<Send>(d.all)[0].worker;
  WorkerEntry leaving = Entry(first == "a" ? "b" : "a");
  leaving.state = WorkerEntry::State::kDraining;
  d.List({leaving}, WorkerList::Form::kDelta);
  for (const Send& send : Only<Send>(d.End(1, 0, Outcome::kRejected)))
    EXPECT_EQ(send.worker, first);
}

TEST(EndpointList, SubscribesAndPollsUntilAListArrives) {
  Settings s = BasicSettings();
  s.subscribe = true;
  s.max_list_poll_interval = 10 * kSecond;
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

TEST(EndpointList, JittersThePollsOfNodesThatStartTogether) {
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

}  // namespace
}  // namespace aldersill::dispatch::testing
