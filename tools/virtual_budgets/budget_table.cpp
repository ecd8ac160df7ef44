// Measures how much of a budget is used and how fast it is divided again after changes, for several numbers
// of instances, and compares this with a fixed division and with the best division. Prints the rows of the
// table in docs/budgets.md.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <optional>
#include <vector>

#include "virtual_budgets/virtual_budgets.h"

namespace aldersill::tools {
namespace {

constexpr Micros kStep = 10 * kMillisecond;
constexpr double kTotal = 3'000;  // starts per second; the total of the budget

struct Parameters {
  std::uint64_t seed = 1;
  int stated = 300;
  Micros grant_duration = 6 * kSecond, lease = 3 * kSecond;
  double loss = 0.0;
};

// The max-min fair shares for known demands.
std::vector<double> OptimalShares(const std::vector<double>& demands) {
  std::vector<double> sorted = demands;
  std::sort(sorted.begin(), sorted.end());
  double left = kTotal, level = 0;
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    level = left / static_cast<double>(sorted.size() - i);
    if (sorted[i] >= level)
      break;
    left -= sorted[i];
    level = sorted.back();
  }
  std::vector<double> shares;
  shares.reserve(demands.size());
  for (const double demand : demands)
    shares.push_back(std::min(demand, level));
  return shares;
}

// Jain's fairness index: 1 if all values are equal, 1 / n if all but one are 0.
double Jain(const std::vector<double>& x) {
  double sum = 0, squares = 0;
  for (const double v : x) {
    sum += v;
    squares += v * v;
  }
  return squares > 0 ? sum * sum / (static_cast<double>(x.size()) * squares) : 1.0;
}

// A fleet of `n` instances that start, and `more` that the caller may start later.
class Simulation {
 public:
  Simulation(const Parameters& c, int n, int more = 0) : n_(n), world(Options(c, n + more)) {
    demands.assign(static_cast<std::size_t>(n) + static_cast<std::size_t>(more), 0.0);
    served.assign(demands.size(), 0.0);
    due_arrivals_ = served;
    for (int i = 0; i < n; ++i)
      world.At(static_cast<Micros>(world.random()(1'000'000)), [this, i] { world.Start(i); });
  }

  // Runs for `duration`, or until `until` returns true.
  void Run(Micros duration, const std::function<bool()>& until = nullptr) {
    const Micros end = world.now() + duration;
    while (world.now() < end && !(until && until())) {
      world.RunUntil(world.now() + kStep);
      for (int i = 0; i < world.size(); ++i) {
        if (!world.IsRunning(i))
          continue;
        // Arrivals are evenly spaced. Their phase follows from the time at which the instance started.
        due_arrivals_[i] += demands[i] * static_cast<double>(kStep) / kSecond;
        for (; due_arrivals_[i] >= 1; --due_arrivals_[i])
          served[i] += world.Take(i, 0) ? 1 : 0;
      }
    }
  }
  // Runs for `duration` and returns which fraction of the budget was used.
  double MeasureUsed(Micros duration) {
    served.assign(served.size(), 0.0);
    Run(duration);
    double sum = 0;
    for (const double s : served)
      sum += s;
    return sum / (kTotal * static_cast<double>(duration) / kSecond);
  }
  // In starts per second.
  double Allowed(int i) const {
    if (!world.IsRunning(i) || world.IsPaused(i))
      return 0;
    return static_cast<double>(world.quota_client(i).Allowed(world.LocalTime(i), "mail")) /
           budgets::kUnitsPerStart;
  }
  double AllAllowed() const {
    double sum = 0;
    for (int i = 0; i < world.size(); ++i)
      sum += Allowed(i);
    return sum;
  }
  // Runs until `condition` is true, and returns how many seconds that took; -1 if it was not true within 60
  // s.
  double TimeUntil(const std::function<bool()>& condition) {
    const Micros from = world.now();
    bool done = false;
    Run(60 * kSecond, [&] { return done = condition(); });
    return done ? static_cast<double>(world.now() - from) / kSecond : -1;
  }
  // Gives all instances the same demand, together `times` the budget.
  void SetEvenDemand(double times) { demands.assign(demands.size(), times * kTotal / n_); }

 private:
  static VirtualBudgets::Options Options(const Parameters& c, int n) {
    VirtualBudgets::Options o;
    o.seed = c.seed;
    o.instances = n;
    o.network.loss = c.loss;
    o.max_drift = 0.01;
    o.max_clock_offset = 200 * kMillisecond;
    o.lease = c.lease;
    o.count_bytes = true;
    o.settings.grant_duration = c.grant_duration;
    o.settings.instances = c.stated;
    o.settings.budgets = {{"mail", budgets::Kind::kRate, static_cast<budgets::Units>(kTotal * 1e6),
                           std::int64_t{2} * c.stated, 0, 0, 0.02}};
    return o;
  }
  const int n_;
  std::vector<double> due_arrivals_;

 public:
  VirtualBudgets world;
  std::vector<double> demands, served;
};

constexpr Micros kWarmUp = 30 * kSecond;

// Results of the run under even demand, for later columns.
struct SteadyCost {
  double start = 0;           // seconds until 95 % of the budget were allowed
  double requests = 0;        // per second
  double bytes = 0;           // per second
  double allocator_busy = 0;  // seconds of real time per second
};

// Prints the fraction of the budget that is used, and how evenly.
SteadyCost PrintEvenDemand(const Parameters& c, int n) {
  Simulation even(c, n);
  even.SetEvenDemand(2.0);
  SteadyCost cost;
  cost.start = even.TimeUntil([&] { return even.AllAllowed() >= 0.95 * kTotal; });
  even.Run(kWarmUp);
  even.world.packets = even.world.bytes = 0;
  even.world.allocator_seconds = 0;
  even.world.allocator_requests = 0;
  const double used = even.MeasureUsed(20 * kSecond);
  std::printf(" %.3f, %.4f |", used, Jain(even.served));
  cost.allocator_busy = even.world.allocator_seconds / 20;
  cost.requests = static_cast<double>(even.world.allocator_requests) / 20;
  cost.bytes = static_cast<double>(even.world.bytes) / 20;
  return cost;
}

// Prints the use under demand by Zipf's law, and that of fixed shares and of the best division.
void PrintZipfDemand(const Parameters& c, int n) {
  Simulation zipf(c, n);
  double harmonic = 0;
  for (int k = 1; k <= n; ++k)
    harmonic += 1.0 / k;
  for (int k = 1; k <= n; ++k)
    zipf.demands[k - 1] = 1.5 * kTotal / k / harmonic;
  zipf.Run(kWarmUp);
  const double used = zipf.MeasureUsed(20 * kSecond);
  const std::vector<double> best = OptimalShares(zipf.demands);
  std::vector<double> part;
  double fixed = 0, all = 0;
  for (int i = 0; i < n; ++i) {
    part.push_back(zipf.served[i] / (20 * best[i]));
    fixed += std::min(zipf.demands[i], kTotal / n);
    all += best[i];
  }
  std::printf(" %.3f, %.4f | %.3f | %.3f |", used, Jain(part), fixed / kTotal, all / kTotal);
}

// Prints the use if all demand is at one instance, and that of fixed shares.
void PrintSingleDemand(const Parameters& c, int n) {
  Simulation one(c, n);
  one.demands[static_cast<std::size_t>(n / 2)] = 2 * kTotal;
  one.Run(kWarmUp);
  std::printf(" %.3f, %.3f |", one.MeasureUsed(20 * kSecond), 1.0 / n);
}

// Prints the use while three in ten members are each away for 5 s of every 30 s: one of the three releases
// its quota first, the others die.
void PrintChurn(const Parameters& c, int n) {
  Simulation churn(c, n);
  churn.SetEvenDemand(3.0);
  churn.Run(kWarmUp);
  for (int i = 0; i < n; ++i) {
    if (i % 10 != 1 && i % 10 != 4 && i % 10 != 7)
      continue;
    for (Micros at = churn.world.now() + churn.world.random()(30'000'000); at < 100 * kSecond;
         at += 30 * kSecond) {
      churn.world.At(at, [&, i] {
        if (i % 10 == 4)
          churn.world.ReleaseQuota(i);
      });
      churn.world.At(at + 50 * kMillisecond, [&, i] { churn.world.Kill(i); });
      churn.world.At(at + 5 * kSecond, [&, i] { churn.world.Start(i); });
    }
  }
  std::printf(" %.3f |", churn.MeasureUsed(60 * kSecond));
}

// Prints the seconds until an instance that joins is allowed 90 % of its even share.
void PrintJoin(const Parameters& c, int n) {
  Simulation join(c, n, 1);
  join.SetEvenDemand(2.0);
  join.Run(kWarmUp);
  join.world.Start(n);
  std::printf(" %.1f |", join.TimeUntil([&] { return join.Allowed(n) >= 0.9 * kTotal / (n + 1); }));
}

// Prints the seconds until 95 % of the budget are allowed after a third of the members, without the lease
// holder, have left or died.
void PrintDepartures(const Parameters& c, int n, bool gives_back) {
  Simulation go(c, n);
  go.SetEvenDemand(3.0);
  go.Run(kWarmUp);
  const int holder = go.world.Holder().value_or(0);
  const int gone = std::max(1, n / 3);
  for (int i = n - 1, left = gone; i >= 0 && left > 0; --i) {
    if (i == holder)
      continue;
    --left;
    if (gives_back)
      go.world.ReleaseQuota(i);
    go.world.At(go.world.now() + 50 * kMillisecond, [&, i] { go.world.Kill(i); });
  }
  go.Run(60 * kMillisecond);
  std::printf(" %.1f |", 0.06 + go.TimeUntil([&] { return go.AllAllowed() >= 0.95 * kTotal; }));
}

// Kills the lease holder while an instance joins: prints the seconds until that instance is allowed 90 % of
// its even share, and the smallest fraction of the budget that was allowed until then.
void PrintLostHolder(const Parameters& c, int n) {
  Simulation lost(c, n, 1);
  lost.SetEvenDemand(2.0);
  lost.Run(kWarmUp);
  lost.world.Kill(lost.world.Holder().value_or(0));
  lost.world.Start(n);
  double least = kTotal;
  const double regained = lost.TimeUntil([&] {
    least = std::min(least, lost.AllAllowed());
    return lost.Allowed(n) >= 0.9 * kTotal / n;
  });
  std::printf(" %.1f, %.2f |", regained, least / kTotal);
}

// Prints the seconds until the share follows when all demand moves from one instance to another.
void PrintMovedDemand(const Parameters& c, int n) {
  Simulation moves(c, n);
  moves.demands[0] = 0.9 * kTotal;
  moves.Run(kWarmUp);
  std::swap(moves.demands[0], moves.demands[1]);
  std::printf(" %.1f |", moves.TimeUntil([&] { return moves.Allowed(1) >= 0.85 * kTotal; }));
}

void Row(const Parameters& c, int n) {
  std::printf("| %d |", n);
  const SteadyCost cost = PrintEvenDemand(c, n);
  PrintZipfDemand(c, n);
  PrintSingleDemand(c, n);
  PrintChurn(c, n);
  std::printf(" %.1f |", cost.start);
  PrintJoin(c, n);
  for (const bool gives_back : {true, false})
    PrintDepartures(c, n, gives_back);
  PrintLostHolder(c, n);
  PrintMovedDemand(c, n);
  std::printf(" %.0f, %.1f, %.2f, %.2f |\n", cost.requests, cost.bytes / 1000, cost.bytes / 1000 / n,
              1000 * cost.allocator_busy);
  std::fflush(stdout);
}

}  // namespace
}  // namespace aldersill::tools

int main(int argc, char** argv) {
  using namespace aldersill;
  CLI::App app(
      "Measures how much of a budget is used and how fast it is divided again, for several numbers of "
      "instances.");
  std::vector<int> sizes = {3, 12, 30, 100, 300};
  tools::Parameters c;
  Micros grant_ms = 6'000, lease_ms = 3'000;
  app.add_option("--sizes", sizes, "Numbers of instances")->delimiter(',');
  app.add_option("--stated", c.stated, "The number of instances in the settings");
  app.add_option("--grant-ms", grant_ms, "How long a grant lasts");
  app.add_option("--lease-ms", lease_ms, "How long the duty's lease lasts");
  app.add_option("--loss", c.loss, "Fraction of packets that are lost");
  app.add_option("--seed", c.seed, "Seed of the run");
  CLI11_PARSE(app, argc, argv);
  c.grant_duration = grant_ms * kMillisecond;
  c.lease = lease_ms * kMillisecond;
  std::printf(
      "| instances | even: used, Jain | Zipf: used, Jain | Zipf, fixed | Zipf, sees all | all at one: used, "
      "fixed "
      "| 30 %% come and go: used | from the start s | join s | a third leaves s | a third dies s | holder "
      "lost: "
      "growth after s, least allowed | all traffic moves s | asks/s, KB/s, KB/s an instance, holder ms/s |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int n : sizes)
    tools::Row(c, n);
}
