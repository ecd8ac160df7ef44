// No class or tenant starves under the throttle while there is room: settings drawn at random, one node of 1,
// 30 or 300 in virtual time whose workers serve all that they are sent.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

struct Count {
  int asked = 0, refused = 0;
  double share() const { return asked == 0 ? 0.0 : 1.0 * refused / asked; }
};
struct Day {
  std::map<std::string, Count> classes;
  std::map<std::string, Count> tenants;  // those that ask for no more than their share
  Count all;
};

// `load`: of what the workers can run; quotas are 0.85 of that, split by the tenants' shares.
Day PlayDay(int nodes, double load, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto between = [&](double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(random);
  };
  Settings s = BasicSettings();
  s.hedging = false;
  s.nodes = nodes;
  s.priority_weight_by_work = random() % 2 == 0;
  s.classes.clear();
  const int classes = 2 + random() % 5;
  std::vector<double> runs, parts;
  double all_parts = 0.0, mean = 0.0;
  for (int k = 0; k < classes; ++k) {
    ClassSettings c;
    c.name = "class" + std::to_string(k);
    c.repeat = static_cast<Repeat>(k % 3);
    c.scope = KeyScope::kCell;
    c.window = kSecond;
    runs.push_back(0.02 * std::pow(250.0, between(0.0, 1.0)) * kSecond);
    c.target = std::max<Micros>(150'000, static_cast<Micros>(runs.back() * between(0.8, 2.0)));
    c.deadline = std::max<Micros>(300'000, 4 * c.target);
    c.priority_weight = between(1.0, 20.0);
    parts.push_back(between(0.05, 1.0));
    all_parts += parts.back();
    s.classes.push_back(c);
  }
  for (int k = 0; k < classes; ++k)
    mean += parts[k] / all_parts * runs[k];
  const int boxes = 10, slots = 3;
  const double able = boxes * slots / mean;  // jobs a microsecond
  const int tenants = 1 + random() % 6;
  std::vector<double> asks;
  double left = 1.0;
  for (int t = 0; t < tenants; ++t) {
    const double share = t + 1 == tenants ? left : left * between(0.05, 0.6);
    left -= share;
    s.tenants.push_back({"tenant" + std::to_string(t), share, 0.85 * share * able * kSecond});
    asks.push_back(share * between(0.6, 1.4));
  }
  Driver d(s, seed);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < boxes; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  d.List(workers);
  Day day;
  struct Running {
    Micros at;
    int id, attempt_number;
    bool ends;
    bool operator<(const Running& other) const { return at > other.at; }
  };
  std::vector<Running> running;
  std::map<std::string, std::vector<Micros>> busy;  // by worker: when its slots are free
  std::vector<double> work;
  std::vector<int> job_class, tenant, attempts;
  std::vector<bool> counted;
  double all_asks = 0.0;
  for (const double a : asks)
    all_asks += a;
  const auto take = [&](const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        const int id = static_cast<int>(static_cast<std::uint64_t>(send->request));
        auto& free = busy[send->worker];
        free.resize(slots, 0);
        auto soonest = std::min_element(free.begin(), free.end());
        const Micros start = std::max(d.now + 1000, *soonest);
        *soonest = start + static_cast<Micros>(work[id]);
        running.push_back({start, id, attempts[id], false});
        std::push_heap(running.begin(), running.end());
        running.push_back({*soonest, id, attempts[id]++, true});
        std::push_heap(running.begin(), running.end());
      } else if (const auto* refuse = std::get_if<Reject>(&action)) {
        const int id = static_cast<int>(static_cast<std::uint64_t>(refuse->request));
        if (!counted[id])
          continue;
        ++day.all.refused;
        ++day.classes[s.classes[job_class[id]].name].refused;
        ++day.tenants[s.tenants[tenant[id]].name].refused;
      }
    }
  };
  const int jobs = 2000;
  for (int id = 0; id < jobs; ++id) {
    const Micros next =
        d.now + 1 + static_cast<Micros>(std::exponential_distribution<double>(load * able / nodes)(random));
    while (!running.empty() && running.front().at <= next) {
      const Running r = running.front();
      std::pop_heap(running.begin(), running.end());
      running.pop_back();
      take(d.Advance(std::max(d.now, r.at)));
      take(r.ends ? d.End(r.id, r.attempt_number, Outcome::kServed, true) : d.Start(r.id, r.attempt_number));
    }
    take(d.Advance(next));
    const int k = std::discrete_distribution<int>(parts.begin(), parts.end())(random);
    const int t = std::discrete_distribution<int>(asks.begin(), asks.end())(random);
    job_class.push_back(k);
    tenant.push_back(t);
    attempts.push_back(0);
    counted.push_back(id >= jobs / 10);  // a start is slow by design
    work.push_back(runs[k] * between(0.5, 1.5));
    if (counted[id]) {
      ++day.all.asked;
      ++day.classes[s.classes[k].name].asked;
      ++day.tenants[s.tenants[t].name].asked;
    }
    take(d.Arrive(id, s.classes[k].name, s.classes[k].deadline, 1, s.tenants[t].name));
  }
  // What a tenant asks beyond its share is not its floor's.
  for (int t = 0; t < tenants; ++t) {
    if (asks[t] / all_asks * load > s.tenants[t].share * 0.85)
      day.tenants.erase(s.tenants[t].name);
  }
  return day;
}

void NobodyStarves(double load, double bound) {
  for (const int nodes : {1, 30, 300}) {
    double worst_class = 0.0, worst_tenant = 0.0, refused = 0.0;
    const int seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const Day day = PlayDay(nodes, load, seed);
      refused += day.all.share() / seeds;
      for (const auto& [name, count] : day.classes) {
        if (count.asked * 20 < day.all.asked)
          continue;
        worst_class = std::max(worst_class, count.share());
        EXPECT_LE(count.share(), bound)
            << nodes << " nodes, load " << load << ", seed " << seed << ' ' << name;
      }
      for (const auto& [name, count] : day.tenants) {
        if (count.asked * 20 < day.all.asked)
          continue;
        worst_tenant = std::max(worst_tenant, count.share());
        EXPECT_LE(count.share(), bound)
            << nodes << " nodes, load " << load << ", seed " << seed << ' ' << name;
      }
    }
    std::printf(
        "%d nodes, load %.1f: refused %.3f on the mean, worst class %.3f, worst tenant within its share "
        "%.3f\n",
        nodes, load, refused, worst_class, worst_tenant);
  }
}

TEST(Floors, NoClassOrTenantStarvesAtLittleLoad) { NobodyStarves(0.4, 0.1); }
TEST(Floors, NoClassOrTenantStarvesAtUsualLoad) { NobodyStarves(0.7, 0.25); }

}  // namespace
}  // namespace aldersill::dispatch::testing
