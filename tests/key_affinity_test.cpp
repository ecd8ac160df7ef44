// Requests with a data key go to the workers that have its data.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// The owners of a popular key alone would be overloaded by its jobs.
TEST(KeyAffinity, SpreadsAPopularKeyBeyondItsOwners) {
  Settings s = BasicSettings();
  s.hedging = false;
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

// Each node sees few jobs of a popular key; all together would fill the same few owners unseen.
TEST(KeyAffinity, GivesAPopularKeyOwnersInProportionOnEveryNode) {
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

// A rare key stays on one worker, the same on every node.
TEST(KeyAffinity, KeepsARareKeyOnOneWorkerOnEveryNode) {
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

}  // namespace
}  // namespace aldersill::dispatch::testing
