// Tests of a cluster of three daemon processes: the rate of health checks, and the behavior when a member is
// killed, suspended, isolated or restarted. The test of kills makes two of them by default; with
// ALDERSILL_KILLS=20 it makes the measurement in docs/duties.md.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <vector>

#include "cluster_under_test.h"
#include "player.h"
#include "probed_workers.h"

namespace aldersill::tests {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kWorkers = 9;

double Seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

void AwaitConverged(const ClusterUnderTest& cluster) {
  Await("the cluster has converged", [&] { return cluster.Converged(); });
}

// The smallest number of probes that any worker has received since `since`.
std::size_t FewestProbes(const tools::ProbedWorkers& workers, Clock::time_point since) {
  std::size_t fewest = SIZE_MAX;
  for (int worker = 0; worker < workers.size(); ++worker)
    fewest = std::min(fewest, workers.CountProbesSince(worker, since));
  return fewest;
}

// ---- Shared probing ----

TEST_CASE("three members probe each worker a third as often as three daemons without a cluster") {
  constexpr double kThird = 1.0 / 3.0;
  tools::ProbedWorkers shared(kWorkers);
  tools::ProbedWorkers unshared(kWorkers);
  const ClusterUnderTest together(&shared, /*joined=*/true);
  const ClusterUnderTest apart(&unshared, /*joined=*/false);
  AwaitConverged(together);
  // Both clusters are measured in the same time window, so that a slow machine affects both equally.
  const auto from = Clock::now();
  Await("90 probes of each worker", [&] { return FewestProbes(unshared, from) >= 90; });
  double worst_ratio = kThird;
  double all_shared = 0;
  double all_unshared = 0;
  for (int worker = 0; worker < kWorkers; ++worker) {
    const auto shared_probes = static_cast<double>(shared.CountProbesSince(worker, from));
    const auto unshared_probes = static_cast<double>(unshared.CountProbesSince(worker, from));
    const double ratio = shared_probes / unshared_probes;
    if (std::abs(ratio - kThird) > std::abs(worst_ratio - kThird))
      worst_ratio = ratio;
    all_shared += shared_probes;
    all_unshared += unshared_probes;
  }
  MESSAGE("probes of a worker, shared against unshared: "
          << all_shared / all_unshared << " in all, furthest from a third " << worst_ratio);
  CHECK(std::abs(worst_ratio - kThird) <= 0.15 / 3.0);
}

// ---- Killed members ----

int KillsToMake() {
  const char* kills = std::getenv("ALDERSILL_KILLS");
  return kills != nullptr ? std::atoi(kills) : 2;
}

// The longest time from `since` to a worker's next probe, in seconds.
double LongestGapAfter(const tools::ProbedWorkers& workers, Clock::time_point since) {
  double longest = 0;
  for (int worker = 0; worker < workers.size(); ++worker) {
    const auto probes = workers.ProbeTimes(worker);
    const auto next = std::find_if(probes.begin(), probes.end(), [&](auto time) { return time > since; });
    longest = std::max(longest, Seconds(*next - since));
  }
  return longest;
}

// Kills a member and restarts it once the others have taken over its workers. Returns the longest time, in
// seconds, that a worker was not probed after the kill.
double KillAndRestart(ClusterUnderTest* cluster, const tools::ProbedWorkers& workers, int victim) {
  const int survivor = (victim + 1) % kMembers;
  const std::uint64_t epoch = cluster->EpochOf(survivor, victim);
  const auto killed_at = Clock::now();
  cluster->daemon(victim).Signal(SIGKILL);
  CHECK(cluster->daemon(victim).WaitForExit() == -SIGKILL);
  // Probes that were in flight at the time of the kill do not count.
  const auto from = killed_at + milliseconds(kWorkerProbeMs / 5);
  Await("every worker is still probed", [&] { return FewestProbes(workers, from) > 0; });
  const double gap = LongestGapAfter(workers, killed_at);
  cluster->StartMember(victim);
  Await("the member has joined with a new epoch", [&] { return cluster->EpochOf(survivor, victim) > epoch; });
  return gap;
}

TEST_CASE("a killed member's workers are probed by the others; restarted, it takes its share again") {
  const int kills = KillsToMake();
  tools::ProbedWorkers workers(kWorkers);
  ClusterUnderTest cluster(&workers, /*joined=*/true);
  std::vector<double> gaps;
  for (int kill = 0; kill < kills; ++kill) {
    AwaitConverged(cluster);
    gaps.push_back(KillAndRestart(&cluster, workers, kill % kMembers));
  }
  AwaitConverged(cluster);
  std::sort(gaps.begin(), gaps.end());
  // The sum of up to 2n - 1 protocol periods until the killed member is probed, the suspicion timeout, a
  // tenth of the workers' probe interval, and that interval itself.
  const double bound =
      ((2 * kMembers - 1 + kSuspicionRounds) * kMemberProbeMs + kWorkerProbeMs / 10 + kWorkerProbeMs) /
      1'000.0;
  MESSAGE(kills << " kills: gap median " << gaps[gaps.size() / 2] << " s, worst " << gaps.back()
                << " s, bound " << bound << " s");
}

// ---- Partitions ----

TEST_CASE("in a partition only the majority holds the lease; once healed, the cluster converges") {
  tools::ProbedWorkers workers(kWorkers);
  ClusterUnderTest cluster(&workers, /*joined=*/true);
  Await("a member holds the lease", [&] { return cluster.AllAlive() && cluster.LeaseHolder(); });
  const int isolated = *cluster.LeaseHolder();
  const std::vector<int> majority = {(isolated + 1) % kMembers, (isolated + 2) % kMembers};
  cluster.Isolate(isolated);
  bool two_held = false;
  Await("a member of the majority holds the lease", [&] {
    two_held |= cluster.TwoHoldLease();
    const auto holder = cluster.LeaseHolder();
    return holder && *holder != isolated;
  });
  Await("each side considers the other dead", [&] {
    two_held |= cluster.TwoHoldLease();
    return std::all_of(majority.begin(), majority.end(), [&](int member) {
      return cluster.StateOf(isolated, member) == "dead" && cluster.StateOf(member, isolated) == "dead";
    });
  });
  // One member on each side of the partition probes each worker: two probes per interval.
  CHECK(cluster.OwnedWorkers(isolated) == kWorkers);
  CHECK(cluster.OwnedWorkers(majority[0]) + cluster.OwnedWorkers(majority[1]) == kWorkers);
  CHECK(cluster.LeaseTerm(isolated) == 0);
  cluster.relay().HealAll();
  Await("the cluster has converged", [&] {
    two_held |= cluster.TwoHoldLease();
    return cluster.Converged();
  });
  CHECK(!two_held);
  CHECK(cluster.relay().dropped() > 0);
}

// ---- Suspended members ----

TEST_CASE("a suspended member loses its duties, and does not claim them when it continues") {
  tools::ProbedWorkers workers(kWorkers);
  ClusterUnderTest cluster(&workers, /*joined=*/true);
  Await("a member holds the lease", [&] { return cluster.AllAlive() && cluster.LeaseHolder(); });
  const int suspended = *cluster.LeaseHolder();
  const int other = (suspended + 1) % kMembers;
  const int third = (suspended + 2) % kMembers;
  const std::uint64_t term = cluster.LeaseTerm(suspended);
  cluster.daemon(suspended).Suspend();
  Await("another member holds the lease in a higher term",
        [&] { return std::max(cluster.LeaseTerm(other), cluster.LeaseTerm(third)) > term; });
  Await("the other members own all workers",
        [&] { return cluster.OwnedWorkers(other) + cluster.OwnedWorkers(third) == kWorkers; });
  cluster.daemon(suspended).Signal(SIGCONT);
  CHECK(cluster.LeaseTerm(suspended) == 0);
  AwaitConverged(cluster);
}

// ---- Rolling restarts ----

// Ends the member with SIGTERM and starts it again.
void RestartMember(ClusterUnderTest* cluster, int member) {
  const int observer = (member + 1) % kMembers;
  const std::uint64_t epoch = cluster->EpochOf(observer, member);
  cluster->daemon(member).Signal(SIGTERM);
  // The member announces that it leaves, so its workers get other owners before its process has ended.
  Await("another member knows that it has left",
        [&] { return cluster->StateOf(observer, member) == "left"; });
  CHECK(cluster->daemon(member).WaitForExit() == 0);
  cluster->StartMember(member);
  Await("the member has joined with a new epoch",
        [&] { return cluster->EpochOf(observer, member) > epoch && cluster->AllAlive(); });
}

// The longest time between two probes of one worker from `from` to `until`, in seconds.
double LongestGapBetween(const tools::ProbedWorkers& workers, Clock::time_point from,
                         Clock::time_point until) {
  double longest = 0;
  for (int worker = 0; worker < workers.size(); ++worker) {
    auto last = from;
    for (const auto time : workers.ProbeTimes(worker)) {
      if (time < from || time > until)
        continue;
      longest = std::max(longest, Seconds(time - last));
      last = time;
    }
  }
  return longest;
}

TEST_CASE("in a rolling restart each member leaves and rejoins, and in the end each worker has one owner") {
  tools::ProbedWorkers workers(kWorkers);
  ClusterUnderTest cluster(&workers, /*joined=*/true);
  AwaitConverged(cluster);
  const auto from = Clock::now();
  for (int member = 0; member < kMembers; ++member)
    RestartMember(&cluster, member);
  Await("each worker has one owner", [&] { return cluster.EachWorkerOwnedOnce(); });
  MESSAGE("longest time that a worker was not probed: " << LongestGapBetween(workers, from, Clock::now())
                                                        << " s, interval " << kWorkerProbeMs / 1'000.0
                                                        << " s");
}

// ---- Foreign datagrams ----

TEST_CASE("datagrams from non-members are dropped and counted by reason") {
  tools::ProbedWorkers workers(1);
  ClusterUnderTest cluster(&workers, /*joined=*/true);
  Await("all members are alive", [&] { return cluster.AllAlive(); });
  const tools::Socket foreign_sender(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const sockaddr_in to = tools::Loopback(cluster.daemon(0).ports().at("membership"));
  for (int i = 0; i < 2'000; ++i) {
    const std::string bytes(static_cast<std::size_t>(i % 1'500), static_cast<char>(i));
    sendto(foreign_sender.fd(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
           sizeof(to));
  }
  Await("the dropped datagrams are counted", [&] {
    const nlohmann::json dropped = cluster.Query(0, "members").at("dropped");
    return dropped.at("truncated") > 0 && dropped.at("format") > 0;
  });
  // None of them reached the decoder.
  CHECK(cluster.Query(0, "members").at("dropped").at("malformed") == 0);
  Await("all members are alive", [&] { return cluster.AllAlive(); });
  cluster.daemon(0).Signal(SIGTERM);
  CHECK(cluster.daemon(0).WaitForExit() == 0);
}

}  // namespace
}  // namespace aldersill::tests
