// How well a whole is used and how soon it is divided anew, at several sizes, beside a fixed division and one
// that sees everything. Prints the rows of the table in docs/budgets.md.
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
constexpr double kWhole = 3'000;  // starts a second

struct Choices {
  std::uint64_t seed = 1;
  int stated = 300;
  Micros grant = 6 * kSecond, lease = 3 * kSecond;
  double loss = 0.0;
};

// Shares of one that sees all demands: nobody has less than another and wants more.
std::vector<double> SeesEverything(const std::vector<double>& demands) {
  std::vector<double> sorted = demands;
  std::sort(sorted.begin(), sorted.end());
  double left = kWhole, level = 0;
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

double Jain(const std::vector<double>& x) {
  double sum = 0, squares = 0;
  for (const double v : x)
    sum += v, squares += v * v;
  return squares > 0 ? sum * sum / (static_cast<double>(x.size()) * squares) : 1.0;
}

class Trial {
 public:
  Trial(const Choices& c, int n, int more = 0) : n_(n), world(Options(c, n + more)) {
    demands.assign(static_cast<std::size_t>(n) + static_cast<std::size_t>(more), 0.0);
    served.assign(demands.size(), 0.0), owed_ = served;
    for (int i = 0; i < n; ++i)
      world.At(static_cast<Micros>(world.random()(1'000'000)), [this, i] { world.Begin(i); });
  }

  void Run(Micros lasts, const std::function<bool()>& until = nullptr) {
    const Micros end = world.now() + lasts;
    while (world.now() < end && !(until && until())) {
      world.RunUntil(world.now() + kStep);
      for (int i = 0; i < world.size(); ++i) {
        if (!world.Runs(i))
          continue;
        // Arrivals are even, from a phase of their own.
        owed_[i] += demands[i] * static_cast<double>(kStep) / kSecond;
        for (; owed_[i] >= 1; --owed_[i])
          served[i] += world.Take(i, 0) ? 1 : 0;
      }
    }
  }
  double Used(Micros lasts) {
    served.assign(served.size(), 0.0);
    Run(lasts);
    double sum = 0;
    for (const double s : served)
      sum += s;
    return sum / (kWhole * static_cast<double>(lasts) / kSecond);
  }
  double Allowed(int i) const {
    if (!world.Runs(i) || world.Stands(i))
      return 0;
    return static_cast<double>(world.quota_client(i).Allowed(world.LocalTime(i), "mail")) /
           budgets::kUnitsAStart;
  }
  double AllAllowed() const {
    double sum = 0;
    for (int i = 0; i < world.size(); ++i)
      sum += Allowed(i);
    return sum;
  }
  // In seconds; below 0 where it did not come about.
  double Until(const std::function<bool()>& what) {
    const Micros from = world.now();
    bool done = false;
    Run(60 * kSecond, [&] { return done = what(); });
    return done ? static_cast<double>(world.now() - from) / kSecond : -1;
  }
  void Even(double times) { demands.assign(demands.size(), times * kWhole / n_); }

 private:
  static VirtualBudgets::Options Options(const Choices& c, int n) {
    VirtualBudgets::Options o;
    o.seed = c.seed, o.instances = n;
    o.network.loss = c.loss;
    o.drift = 0.01, o.clocks_apart = 200 * kMillisecond;
    o.lease = c.lease, o.count_bytes = true;
    o.settings.grant = c.grant, o.settings.instances = c.stated;
    o.settings.budgets = {{"mail", budgets::Kind::kRate, static_cast<budgets::Units>(kWhole * 1e6),
                           std::int64_t{2} * c.stated, 0, 0, 0.02}};
    return o;
  }
  const int n_;
  std::vector<double> owed_;

 public:
  VirtualBudgets world;
  std::vector<double> demands, served;
};

constexpr Micros kWarm = 30 * kSecond;

// What the run under even demand tells for later columns.
struct SteadyCost {
  double start = 0;           // seconds until 95 % of the whole were allowed
  double requests = 0;        // a second
  double bytes = 0;           // a second
  double allocator_busy = 0;  // of a second
};

// Share used and evenness.
SteadyCost PrintEvenDemand(const Choices& c, int n) {
  Trial even(c, n);
  even.Even(2.0);
  SteadyCost cost;
  cost.start = even.Until([&] { return even.AllAllowed() >= 0.95 * kWhole; });
  even.Run(kWarm);
  even.world.packets = even.world.bytes = 0;
  even.world.grantor_seconds = 0, even.world.grantor_asks = 0;
  const double used = even.Used(20 * kSecond);
  std::printf(" %.3f, %.4f |", used, Jain(even.served));
  cost.allocator_busy = even.world.grantor_seconds / 20;
  cost.requests = static_cast<double>(even.world.grantor_asks) / 20;
  cost.bytes = static_cast<double>(even.world.bytes) / 20;
  return cost;
}

// Demand by Zipf's law, beside the best division and fixed shares.
void PrintZipfDemand(const Choices& c, int n) {
  Trial zipf(c, n);
  double harmonic = 0;
  for (int k = 1; k <= n; ++k)
    harmonic += 1.0 / k;
  for (int k = 1; k <= n; ++k)
    zipf.demands[k - 1] = 1.5 * kWhole / k / harmonic;
  zipf.Run(kWarm);
  const double used = zipf.Used(20 * kSecond);
  const std::vector<double> best = SeesEverything(zipf.demands);
  std::vector<double> part;
  double fixed = 0, all = 0;
  for (int i = 0; i < n; ++i) {
    part.push_back(zipf.served[i] / (20 * best[i]));
    fixed += std::min(zipf.demands[i], kWhole / n), all += best[i];
  }
  std::printf(" %.3f, %.4f | %.3f | %.3f |", used, Jain(part), fixed / kWhole, all / kWhole);
}

void PrintSingleDemand(const Choices& c, int n) {
  Trial one(c, n);
  one.demands[static_cast<std::size_t>(n / 2)] = 2 * kWhole;
  one.Run(kWarm);
  std::printf(" %.3f, %.3f |", one.Used(20 * kSecond), 1.0 / n);
}

// Of three in ten members each is away for 5 s of 30 s: every other one releases its quota first, the rest
// die.
void PrintChurn(const Choices& c, int n) {
  Trial churn(c, n);
  churn.Even(3.0);
  churn.Run(kWarm);
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
      churn.world.At(at + 5 * kSecond, [&, i] { churn.world.Begin(i); });
    }
  }
  std::printf(" %.3f |", churn.Used(60 * kSecond));
}

void PrintJoin(const Choices& c, int n) {
  Trial join(c, n, 1);
  join.Even(2.0);
  join.Run(kWarm);
  join.world.Begin(n);
  std::printf(" %.1f |", join.Until([&] { return join.Allowed(n) >= 0.9 * kWhole / (n + 1); }));
}

// A third of the members go, none of them the lease holder.
void PrintDepartures(const Choices& c, int n, bool gives_back) {
  Trial go(c, n);
  go.Even(3.0);
  go.Run(kWarm);
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
  std::printf(" %.1f |", 0.06 + go.Until([&] { return go.AllAllowed() >= 0.95 * kWhole; }));
}

void PrintLostHolder(const Choices& c, int n) {
  Trial lost(c, n, 1);
  lost.Even(2.0);
  lost.Run(kWarm);
  lost.world.Kill(lost.world.Holder().value_or(0));
  lost.world.Begin(n);
  double least = kWhole;
  const double regained = lost.Until([&] {
    least = std::min(least, lost.AllAllowed());
    return lost.Allowed(n) >= 0.9 * kWhole / n;
  });
  std::printf(" %.1f, %.2f |", regained, least / kWhole);
}

void PrintMovedDemand(const Choices& c, int n) {
  Trial moves(c, n);
  moves.demands[0] = 0.9 * kWhole;
  moves.Run(kWarm);
  std::swap(moves.demands[0], moves.demands[1]);
  std::printf(" %.1f |", moves.Until([&] { return moves.Allowed(1) >= 0.85 * kWhole; }));
}

void Row(const Choices& c, int n) {
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
  CLI::App app("How well a whole is used, and how soon it is divided anew, at several sizes.");
  std::vector<int> sizes = {3, 12, 30, 100, 300};
  tools::Choices c;
  Micros grant_ms = 6'000, lease_ms = 3'000;
  app.add_option("--sizes", sizes, "Numbers of instances")->delimiter(',');
  app.add_option("--stated", c.stated, "The number of instances in the settings");
  app.add_option("--grant-ms", grant_ms, "How long a grant lasts");
  app.add_option("--lease-ms", lease_ms, "How long the duty's lease lasts");
  app.add_option("--loss", c.loss, "Of packets");
  app.add_option("--seed", c.seed, "Another run");
  CLI11_PARSE(app, argc, argv);
  c.grant = grant_ms * kMillisecond, c.lease = lease_ms * kMillisecond;
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
