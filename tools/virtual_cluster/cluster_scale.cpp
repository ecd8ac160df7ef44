// What membership and shared probing cost and how fast they are, by size and loss, in virtual time. Prints a
// table as Markdown (docs/duties.md holds one) and, if asked, the same as CSV.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "membership/sealer.h"
#include "virtual_cluster/virtual_cluster.h"

namespace aldersill::tools {
namespace {

struct Row {
  int instances = 0;
  double loss = 0;
  double probes_per_worker_s = 0, probes_unshared = 0;
  double packets_s = 0, bytes_s = 0;            // sent by an instance, sealed
  double bare_packets_s = 0, bare_bytes_s = 0;  // by membership alone
  double detection_median_s = 0, detection_p99_s = 0;
  double false_suspicions = 0;  // of a living member, as one other sees it, an hour
  double false_deaths = 0;
  double takeover_median_s = 0, takeover_worst_s = 0;
  double wall_s = 0;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty())
    return NAN;
  std::sort(values.begin(), values.end());
  const auto at = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(at, 1, values.size()) - 1];
}

struct Plan {
  std::uint64_t seed = 1;
  int workers = 1'000;
  int window_s = 60;
  int kills = 10;
  Micros interval = 5 * kSecond;
};

class Measure {
 public:
  Measure(const Plan& plan, int instances, double loss, bool probing) : plan_(plan) {
    VirtualCluster::Options o;
    o.seed = plan.seed;
    o.network.loss = loss;
    o.workers = probing ? plan.workers : 0;
    o.clocks_apart = 100 * kMillisecond;
    o.through_bytes = false;
    if (probing)
      o.settings.probing = duties::ProbeSettings{"", plan.interval, kSecond, 64};
    cluster_ = std::make_unique<VirtualCluster>(o);
    for (int i = 0; i < instances; ++i)
      cluster_->Add();
    // All within ten seconds, as after a deployment.
    for (int i = 0; i < instances; ++i)
      cluster_->At(i * (10 * kSecond / instances), [this, i] { cluster_->Begin(i); });
    settled_ = 40 * kSecond;
    cluster_->RunUntil(settled_);
  }

  // What a window without troubles costs.
  void Steady(Row* row, bool bare) {
    const int n = cluster_->size();
    std::vector<VirtualCluster::Sent> before;
    before.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
      before.push_back(cluster_->sent(i));
    std::uint64_t probes = 0, suspects = 0, deaths = 0;
    cluster_->on_probe = [&](int, const std::string&) { ++probes; };
    cluster_->on_news = [&](int, const membership::MembershipChange& news) {
      suspects += news.kind == membership::MembershipChange::Kind::kSuspect;
      deaths += news.kind == membership::MembershipChange::Kind::kDead;
    };
    cluster_->RunUntil(cluster_->now() + plan_.window_s * kSecond);
    cluster_->on_probe = nullptr;
    cluster_->on_news = nullptr;
    double packets = 0, bytes = 0;
    for (int i = 0; i < n; ++i) {
      const auto sent = static_cast<double>(cluster_->sent(i).packets - before[i].packets);
      packets += sent;
      bytes +=
          static_cast<double>(cluster_->sent(i).bytes - before[i].bytes) + sent * membership::kSealOverhead;
    }
    const double each = 1.0 / (n * static_cast<double>(plan_.window_s));
    (bare ? row->bare_packets_s : row->packets_s) = packets * each;
    (bare ? row->bare_bytes_s : row->bytes_s) = bytes * each;
    if (bare)
      return;
    row->probes_per_worker_s = static_cast<double>(probes) / plan_.workers / plan_.window_s;
    row->probes_unshared = n * 1e6 / static_cast<double>(plan_.interval);
    const double pairs = static_cast<double>(n) * (n - 1) * plan_.window_s / 3'600.0;
    row->false_suspicions = static_cast<double>(suspects) / pairs;
    row->false_deaths = static_cast<double>(deaths) / pairs;
  }

  // One dies, is found out, its workers are taken over; it comes back, and another dies.
  void Deaths(Row* row) {
    std::vector<double> detections, takeovers;
    for (int kill = 0; kill < plan_.kills; ++kill) {
      const int victim = 1 + kill % (cluster_->size() - 1);
      const std::string name = cluster_->name(victim);
      std::set<std::string> its;
      for (int w = 0; w < plan_.workers; ++w) {
        const std::string worker = cluster_->WorkerName(w);
        if (cluster_->core(victim).probing()->OwnerOf(worker) == name)
          its.insert(worker);
      }
      const Micros died = cluster_->now();
      std::set<int> knows;
      cluster_->on_news = [&](int i, const membership::MembershipChange& news) {
        if (news.member.name != name || news.kind != membership::MembershipChange::Kind::kDead)
          return;
        if (knows.insert(i).second)
          detections.push_back(static_cast<double>(cluster_->now() - died) / kSecond);
      };
      std::size_t taken = 0;
      cluster_->on_probe = [&](int, const std::string& worker) {
        if (its.erase(worker) == 0)
          return;
        ++taken;
        takeovers.push_back(static_cast<double>(cluster_->now() - died) / kSecond);
      };
      cluster_->Kill(victim);
      cluster_->RunUntil(died + 30 * kSecond);
      cluster_->on_news = nullptr;
      cluster_->on_probe = nullptr;
      cluster_->Begin(victim);
      cluster_->RunUntil(cluster_->now() + 10 * kSecond);
    }
    row->detection_median_s = Quantile(detections, 0.5);
    row->detection_p99_s = Quantile(detections, 0.99);
    row->takeover_median_s = Quantile(takeovers, 0.5);
    row->takeover_worst_s = Quantile(takeovers, 1.0);
  }

 private:
  const Plan plan_;
  std::unique_ptr<VirtualCluster> cluster_;
  Micros settled_ = 0;
};

Row Take(const Plan& plan, int instances, double loss) {
  const auto began = std::chrono::steady_clock::now();
  Row row;
  row.instances = instances;
  row.loss = loss;
  Measure(plan, instances, loss, false).Steady(&row, true);
  Measure measure(plan, instances, loss, true);
  measure.Steady(&row, false);
  measure.Deaths(&row);
  row.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  return row;
}

}  // namespace
}  // namespace aldersill::tools

int main(int argc, char** argv) {
  using namespace aldersill::tools;
  CLI::App app("Measures membership and shared probing by size and loss, in virtual time.");
  Plan plan;
  std::vector<int> sizes{3, 10, 30, 100, 300};
  std::vector<double> losses{0.0, 0.05, 0.2};
  std::string csv;
  app.add_option("--seed", plan.seed);
  app.add_option("--workers", plan.workers);
  app.add_option("--window-s", plan.window_s, "Virtual seconds of the quiet window");
  app.add_option("--kills", plan.kills, "How many die, one after another");
  app.add_option("--sizes", sizes, "Instances")->delimiter(',');
  app.add_option("--losses", losses, "Shares of packets lost")->delimiter(',');
  app.add_option("--csv", csv, "Writes the table there as well");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| instances | loss | probes/s a worker (unshared) | packets/s, KB/s an instance | of these membership "
      "alone | "
      "detection s: median, p99 | takeover s: median, worst | false suspicions, deaths of a member an hour "
      "|\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  std::ofstream out;
  if (!csv.empty()) {
    out.open(csv);
    out << "instances,loss,probes_per_worker_s,probes_unshared,packets_s,bytes_s,bare_packets_s,bare_bytes_s,"
           "detection_median_s,detection_p99_s,takeover_median_s,takeover_worst_s,false_suspicions_h,"
           "false_deaths_h,wall_s\n";
  }
  for (const double loss : losses) {
    for (const int size : sizes) {
      const Row r = Take(plan, size, loss);
      std::printf(
          "| %d | %.0f %% | %.3f (%.1f) | %.1f, %.2f | %.1f, %.2f | %.2f, %.2f | %.2f, %.2f | %.1f, %.2f |\n",
          r.instances, r.loss * 100, r.probes_per_worker_s, r.probes_unshared, r.packets_s, r.bytes_s / 1'000,
          r.bare_packets_s, r.bare_bytes_s / 1'000, r.detection_median_s, r.detection_p99_s,
          r.takeover_median_s, r.takeover_worst_s, r.false_suspicions, r.false_deaths);
      std::fflush(stdout);
      if (out.is_open()) {
        out << r.instances << ',' << r.loss << ',' << r.probes_per_worker_s << ',' << r.probes_unshared << ','
            << r.packets_s << ',' << r.bytes_s << ',' << r.bare_packets_s << ',' << r.bare_bytes_s << ','
            << r.detection_median_s << ',' << r.detection_p99_s << ',' << r.takeover_median_s << ','
            << r.takeover_worst_s << ',' << r.false_suspicions << ',' << r.false_deaths << ',' << r.wall_s
            << std::endl;
      }
    }
  }
  return 0;
}
