// Measures the network traffic and the reaction times of membership and shared probing in virtual time, for
// several cluster sizes and packet loss rates. Prints a Markdown table (docs/duties.md holds one) and
// optionally writes the same figures as CSV.
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

// The results for one cluster size and loss rate. Rates per second unless noted otherwise.
struct Row {
  int members = 0;
  double loss = 0;  // share of packets lost
  // Health checks per worker: measured, and computed for members that do not share them.
  double probes_per_worker_s = 0, probes_unshared = 0;
  double packets_s = 0, bytes_s = 0;                        // sent per member; bytes include the seal
  double membership_packets_s = 0, membership_bytes_s = 0;  // the same without shared probing
  double detection_median_s = 0, detection_p99_s = 0;  // from a member's death until another declares it dead
  // Per hour and per pair of an observing member and a living member that it wrongly suspects or declares
  // dead.
  double false_suspicions = 0;
  double false_deaths = 0;
  // From a member's death until one of its workers is probed by another member, in seconds.
  double takeover_median_s = 0, takeover_worst_s = 0;
  double wall_s = 0;  // real time that the measurement took, in seconds
};

// The q-quantile by the nearest-rank method; NaN without values.
double Quantile(std::vector<double> values, double q) {
  if (values.empty())
    return NAN;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

struct Parameters {
  std::uint64_t seed = 1;
  int workers = 1'000;
  int window_s = 60;  // virtual seconds of the steady-state measurement
  int kills = 10;
  Micros interval = 5 * kSecond;  // between the health checks of one worker
};

// Measures one virtual cluster.
class Measurement {
 public:
  // Starts the cluster and waits until it has settled. `probing`: whether the members share health checks.
  Measurement(const Parameters& parameters, int members, double loss, bool probing)
      : parameters_(parameters) {
    VirtualCluster::Options options;
    options.seed = parameters.seed;
    options.network.loss = loss;
    options.workers = probing ? parameters.workers : 0;
    options.max_clock_offset = 100 * kMillisecond;
    options.decode_packets = false;
    if (probing)
      options.settings.probing = duties::ProbeSettings{"", parameters.interval, kSecond, 64};
    cluster_ = std::make_unique<VirtualCluster>(options);
    for (int i = 0; i < members; ++i)
      cluster_->Add();
    // All members start within ten seconds, as after a deployment.
    for (int i = 0; i < members; ++i)
      cluster_->ScheduleAt(i * (10 * kSecond / members), [this, i] { cluster_->Start(i); });
    settled_ = 40 * kSecond;
    cluster_->RunUntil(settled_);
  }

  // Measures traffic, probes and false reports in a time window without failures.
  void MeasureSteadyState(Row* row, bool membership_only) {
    const int n = cluster_->size();
    std::vector<VirtualCluster::Traffic> before;
    before.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
      before.push_back(cluster_->traffic(i));
    std::uint64_t probes = 0, suspects = 0, deaths = 0;
    cluster_->on_probe = [&](int, const std::string&) { ++probes; };
    cluster_->on_membership_change = [&](int, const membership::MembershipChange& change) {
      suspects += change.kind == membership::MembershipChange::Kind::kSuspect;
      deaths += change.kind == membership::MembershipChange::Kind::kDead;
    };
    cluster_->RunUntil(cluster_->now() + parameters_.window_s * kSecond);
    cluster_->on_probe = nullptr;
    cluster_->on_membership_change = nullptr;
    double packets = 0, bytes = 0;
    for (int i = 0; i < n; ++i) {
      const auto sent = static_cast<double>(cluster_->traffic(i).packets - before[i].packets);
      packets += sent;
      bytes += static_cast<double>(cluster_->traffic(i).bytes - before[i].bytes) +
               sent * membership::kSealOverhead;
    }
    const double per_member_second = 1.0 / (n * static_cast<double>(parameters_.window_s));
    (membership_only ? row->membership_packets_s : row->packets_s) = packets * per_member_second;
    (membership_only ? row->membership_bytes_s : row->bytes_s) = bytes * per_member_second;
    if (membership_only)
      return;
    row->probes_per_worker_s = static_cast<double>(probes) / parameters_.workers / parameters_.window_s;
    row->probes_unshared = n * 1e6 / static_cast<double>(parameters_.interval);
    const double pair_hours = static_cast<double>(n) * (n - 1) * parameters_.window_s / 3'600.0;
    row->false_suspicions = static_cast<double>(suspects) / pair_hours;
    row->false_deaths = static_cast<double>(deaths) / pair_hours;
  }

  // Kills one member after another. Measures how soon the others declare it dead and take over its workers,
  // then restarts it.
  void MeasureFailures(Row* row) {
    std::vector<double> detections, takeovers;
    for (int kill = 0; kill < parameters_.kills; ++kill) {
      const int victim = 1 + kill % (cluster_->size() - 1);
      const std::string name = cluster_->name(victim);
      std::set<std::string> orphaned;
      for (int w = 0; w < parameters_.workers; ++w) {
        const std::string worker = cluster_->WorkerName(w);
        if (cluster_->core(victim).probing()->OwnerOf(worker) == name)
          orphaned.insert(worker);
      }
      const Micros killed_at = cluster_->now();
      std::set<int> observers;
      cluster_->on_membership_change = [&](int i, const membership::MembershipChange& change) {
        if (change.member.name != name || change.kind != membership::MembershipChange::Kind::kDead)
          return;
        if (observers.insert(i).second)
          detections.push_back(static_cast<double>(cluster_->now() - killed_at) / kSecond);
      };
      std::size_t taken = 0;
      cluster_->on_probe = [&](int, const std::string& worker) {
        if (orphaned.erase(worker) == 0)
          return;
        ++taken;
        takeovers.push_back(static_cast<double>(cluster_->now() - killed_at) / kSecond);
      };
      cluster_->Kill(victim);
      cluster_->RunUntil(killed_at + 30 * kSecond);
      cluster_->on_membership_change = nullptr;
      cluster_->on_probe = nullptr;
      cluster_->Start(victim);
      cluster_->RunUntil(cluster_->now() + 10 * kSecond);
    }
    row->detection_median_s = Quantile(detections, 0.5);
    row->detection_p99_s = Quantile(detections, 0.99);
    row->takeover_median_s = Quantile(takeovers, 0.5);
    row->takeover_worst_s = Quantile(takeovers, 1.0);
  }

 private:
  const Parameters parameters_;
  std::unique_ptr<VirtualCluster> cluster_;
  Micros settled_ = 0;
};

Row MeasureRow(const Parameters& parameters, int members, double loss) {
  const auto start = std::chrono::steady_clock::now();
  Row row;
  row.members = members;
  row.loss = loss;
  Measurement(parameters, members, loss, false).MeasureSteadyState(&row, true);
  Measurement measurement(parameters, members, loss, true);
  measurement.MeasureSteadyState(&row, false);
  measurement.MeasureFailures(&row);
  row.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  return row;
}

}  // namespace
}  // namespace aldersill::tools

int main(int argc, char** argv) {
  using namespace aldersill::tools;
  CLI::App app("Measures membership and shared probing by size and loss, in virtual time.");
  Parameters parameters;
  std::vector<int> sizes{3, 10, 30, 100, 300};
  std::vector<double> losses{0.0, 0.05, 0.2};
  std::string csv;
  app.add_option("--seed", parameters.seed, "Seed of the random numbers");
  app.add_option("--workers", parameters.workers, "Number of workers");
  app.add_option("--window-s", parameters.window_s, "Virtual seconds of the steady-state measurement");
  app.add_option("--kills", parameters.kills, "Number of members killed, one after another");
  app.add_option("--sizes", sizes, "Instances")->delimiter(',');
  app.add_option("--losses", losses, "Shares of packets lost")->delimiter(',');
  app.add_option("--csv", csv, "File to which the table is also written as CSV");
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
      const Row r = MeasureRow(parameters, size, loss);
      std::printf(
          "| %d | %.0f %% | %.3f (%.1f) | %.1f, %.2f | %.1f, %.2f | %.2f, %.2f | %.2f, %.2f | %.1f, %.2f |\n",
          r.members, r.loss * 100, r.probes_per_worker_s, r.probes_unshared, r.packets_s, r.bytes_s / 1'000,
          r.membership_packets_s, r.membership_bytes_s / 1'000, r.detection_median_s, r.detection_p99_s,
          r.takeover_median_s, r.takeover_worst_s, r.false_suspicions, r.false_deaths);
      std::fflush(stdout);
      if (out.is_open()) {
        out << r.members << ',' << r.loss << ',' << r.probes_per_worker_s << ',' << r.probes_unshared << ','
            << r.packets_s << ',' << r.bytes_s << ',' << r.membership_packets_s << ',' << r.membership_bytes_s
            << ',' << r.detection_median_s << ',' << r.detection_p99_s << ',' << r.takeover_median_s << ','
            << r.takeover_worst_s << ',' << r.false_suspicions << ',' << r.false_deaths << ',' << r.wall_s
            << std::endl;
      }
    }
  }
  return 0;
}
