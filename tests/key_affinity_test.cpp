// Tests that requests with a data key go to the workers that hold its data (the owners of the key).
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

// The jobs of a popular key would overload its owners if they went to these alone.
TEST(KeyAffinity, SpreadsAPopularKeyBeyondItsOwners) {
  Settings settings = BasicSettings();
  settings.hedging = false;
  Driver driver(settings);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  driver.List(workers);
  std::map<std::string, int> sends;
  for (int id = 1; id <= 400; ++id) {
    Arrival arrival;
    arrival.request = RequestId{static_cast<std::uint64_t>(id)};
    arrival.job_class = "unsafe";
    arrival.time_left = 100 * kSecond;
    arrival.key = 7;
    driver.now += kSecond / 100;
    for (const Send& send : Only<Send>(driver.Do(arrival)))
      ++sends[send.worker];
  }
  EXPECT_GT(sends.size(), 20u);
}

// Each node sees only a few jobs of a popular key, so it cannot see that all nodes together overload the same
// owners.
TEST(KeyAffinity, GivesAPopularKeyOwnersInProportionOnEveryNode) {
  std::map<std::string, int> popular_key_sends;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Driver driver(BasicSettings(), seed);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 100; ++i)
      workers.push_back(Entry("w" + std::to_string(i)));
    driver.List(workers);
    for (int id = 1; id <= 2000; ++id) {
      Arrival arrival;
      arrival.request = RequestId{static_cast<std::uint64_t>(id)};
      arrival.job_class = "unsafe";
      arrival.time_left = 5 * kSecond;
      arrival.key = id % 10 == 0 ? 7 : 1000 + id;
      driver.now += kSecond / 20;
      for (const Send& send : Only<Send>(driver.Do(arrival))) {
        if (arrival.key == 7u)
          ++popular_key_sends[send.worker];
        driver.Start(id, 0);
        driver.End(id, 0, Outcome::kServed, true);  // the node itself never has two jobs in flight
      }
    }
  }
  EXPECT_GE(popular_key_sends.size(), 10u);
  EXPECT_LE(popular_key_sends.size(), 50u);
}

// A rare key must stay on one worker, which must be the same on every node.
TEST(KeyAffinity, KeepsARareKeyOnOneWorkerOnEveryNode) {
  std::map<std::string, int> sends;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver driver(BasicSettings(), seed);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 40; ++i)
      workers.push_back(Entry("w" + std::to_string(i)));
    driver.List(workers);
    Arrival arrival;
    arrival.request = RequestId{1};
    arrival.job_class = "unsafe";
    arrival.time_left = 5 * kSecond;
    arrival.key = 7;
    for (const Send& send : Only<Send>(driver.Do(arrival)))
      ++sends[send.worker];
  }
  EXPECT_EQ(sends.size(), 1u);
}

}  // namespace
}  // namespace aldersill::dispatch::testing
