// The throttle must not starve a class or a tenant while the workers have capacity left. The tests draw
// settings at random and simulate, in virtual time, one node of a deployment of 1, 30 or 300 nodes; its
// workers serve every job they are sent.
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

// Jobs that arrived, and those of them that were rejected.
struct RejectionCount {
  int arrived = 0, rejected = 0;
  double share() const { return arrived == 0 ? 0.0 : 1.0 * rejected / arrived; }
};
struct RejectionCounts {
  std::map<std::string, RejectionCount> classes;
  std::map<std::string, RejectionCount> tenants;  // only tenants whose load is within their share
  RejectionCount all;
};

// Simulates one node. `load` is the arrival rate as a share of the workers' capacity. The quotas sum to 0.85
// of that capacity and are split by the tenants' shares.
RejectionCounts SimulateNode(int nodes, double load, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto between = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  Settings settings = BasicSettings();
  settings.hedging = false;
  settings.nodes = nodes;
  settings.priority_weight_by_work = random() % 2 == 0;
  settings.classes.clear();
  const int classes = 2 + random() % 5;
  std::vector<double> run_times, class_shares;
  double total_share = 0.0, mean_run_time = 0.0;
  for (int k = 0; k < classes; ++k) {
    ClassSettings class_settings;
    class_settings.name = "class" + std::to_string(k);
    class_settings.repeat = static_cast<Repeat>(k % 3);
    class_settings.scope = KeyScope::kCell;
    class_settings.window = kSecond;
    run_times.push_back(0.02 * std::pow(250.0, between(0.0, 1.0)) * kSecond);
    class_settings.target =
        std::max<Micros>(150'000, static_cast<Micros>(run_times.back() * between(0.8, 2.0)));
    class_settings.deadline = std::max<Micros>(300'000, 4 * class_settings.target);
    class_settings.priority_weight = between(1.0, 20.0);
    class_shares.push_back(between(0.05, 1.0));
    total_share += class_shares.back();
    settings.classes.push_back(class_settings);
  }
  for (int k = 0; k < classes; ++k)
    mean_run_time += class_shares[k] / total_share * run_times[k];
  const int worker_count = 10, slots = 3;
  const double capacity = worker_count * slots / mean_run_time;  // jobs per microsecond
  const int tenants = 1 + random() % 6;
  std::vector<double> demands;
  double remaining = 1.0;
  for (int t = 0; t < tenants; ++t) {
    const double share = t + 1 == tenants ? remaining : remaining * between(0.05, 0.6);
    remaining -= share;
    settings.tenants.push_back({"tenant" + std::to_string(t), share, 0.85 * share * capacity * kSecond});
    demands.push_back(share * between(0.6, 1.4));
  }
  Driver driver(settings, seed);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < worker_count; ++i)
    workers.push_back(Entry("w" + std::to_string(i)));
  driver.List(workers);
  RejectionCounts counts;
  struct ScheduledChange {
    Micros at;
    int id, attempt_number;
    bool is_end;
    bool operator<(const ScheduledChange& other) const { return at > other.at; }
  };
  std::vector<ScheduledChange> changes;
  std::map<std::string, std::vector<Micros>> slots_free_at;  // by worker: when each of its slots becomes free
  std::vector<double> job_run_times;
  std::vector<int> job_class, tenant, attempts;
  std::vector<bool> counted;
  double total_demand = 0.0;
  for (const double demand : demands)
    total_demand += demand;
  const auto handle_actions = [&](const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        const int id = static_cast<int>(static_cast<std::uint64_t>(send->request));
        auto& free_at = slots_free_at[send->worker];
        free_at.resize(slots, 0);
        auto first_free = std::min_element(free_at.begin(), free_at.end());
        const Micros start = std::max(driver.now + 1000, *first_free);
        *first_free = start + static_cast<Micros>(job_run_times[id]);
        changes.push_back({start, id, attempts[id], false});
        std::push_heap(changes.begin(), changes.end());
        changes.push_back({*first_free, id, attempts[id]++, true});
        std::push_heap(changes.begin(), changes.end());
      } else if (const auto* rejection = std::get_if<Reject>(&action)) {
        const int id = static_cast<int>(static_cast<std::uint64_t>(rejection->request));
        if (!counted[id])
          continue;
        ++counts.all.rejected;
        ++counts.classes[settings.classes[job_class[id]].name].rejected;
        ++counts.tenants[settings.tenants[tenant[id]].name].rejected;
      }
    }
  };
  const int jobs = 2000;
  for (int id = 0; id < jobs; ++id) {
    const Micros next =
        driver.now + 1 +
        static_cast<Micros>(std::exponential_distribution<double>(load * capacity / nodes)(random));
    while (!changes.empty() && changes.front().at <= next) {
      const ScheduledChange change = changes.front();
      std::pop_heap(changes.begin(), changes.end());
      changes.pop_back();
      handle_actions(driver.Advance(std::max(driver.now, change.at)));
      handle_actions(change.is_end ? driver.End(change.id, change.attempt_number, Outcome::kServed, true)
                                   : driver.Start(change.id, change.attempt_number));
    }
    handle_actions(driver.Advance(next));
    const int k = std::discrete_distribution<int>(class_shares.begin(), class_shares.end())(random);
    const int t = std::discrete_distribution<int>(demands.begin(), demands.end())(random);
    job_class.push_back(k);
    tenant.push_back(t);
    attempts.push_back(0);
    counted.push_back(id >= jobs / 10);  // leaves out the start, which is slow by design
    job_run_times.push_back(run_times[k] * between(0.5, 1.5));
    if (counted[id]) {
      ++counts.all.arrived;
      ++counts.classes[settings.classes[k].name].arrived;
      ++counts.tenants[settings.tenants[t].name].arrived;
    }
    handle_actions(driver.Arrive(id, settings.classes[k].name, settings.classes[k].deadline, 1,
                                 settings.tenants[t].name));
  }
  // The guarantee covers only tenants that stay within their share.
  for (int t = 0; t < tenants; ++t) {
    if (demands[t] / total_demand * load > settings.tenants[t].share * 0.85)
      counts.tenants.erase(settings.tenants[t].name);
  }
  return counts;
}

// Expects that at most the share `bound` of the jobs of any class or tenant is rejected. Ignores those with
// less than a twentieth of the jobs.
void ExpectNoStarvation(double load, double bound) {
  for (const int nodes : {1, 30, 300}) {
    double worst_class = 0.0, worst_tenant = 0.0, rejected = 0.0;
    const int seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const RejectionCounts counts = SimulateNode(nodes, load, seed);
      rejected += counts.all.share() / seeds;
      for (const auto& [name, count] : counts.classes) {
        if (count.arrived * 20 < counts.all.arrived)
          continue;
        worst_class = std::max(worst_class, count.share());
        EXPECT_LE(count.share(), bound)
            << nodes << " nodes, load " << load << ", seed " << seed << ' ' << name;
      }
      for (const auto& [name, count] : counts.tenants) {
        if (count.arrived * 20 < counts.all.arrived)
          continue;
        worst_tenant = std::max(worst_tenant, count.share());
        EXPECT_LE(count.share(), bound)
            << nodes << " nodes, load " << load << ", seed " << seed << ' ' << name;
      }
    }
    std::printf(
        "%d nodes, load %.1f: mean share rejected %.3f, worst class %.3f, worst tenant within its share "
        "%.3f\n",
        nodes, load, rejected, worst_class, worst_tenant);
  }
}

TEST(Floors, NoClassOrTenantStarvesAtLowLoad) { ExpectNoStarvation(0.4, 0.1); }
TEST(Floors, NoClassOrTenantStarvesAtNormalLoad) { ExpectNoStarvation(0.7, 0.25); }

}  // namespace
}  // namespace aldersill::dispatch::testing
