#include "cluster_scenario.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>
#include <sstream>

namespace aldersill::tests {
namespace {

using membership::State;
using tools::VirtualCluster;

constexpr Micros kFaultPeriod = 60 * kSecond;
constexpr Micros kSample = 50 * kMillisecond;
constexpr int kWorkers = 12;
constexpr const char* kDuty = "housekeeping";

// How long a worker may be without an owner that runs, from the settings: the dead owner must be probed (each
// member probes each other within 2n - 1 of its protocol periods, stretched by its local health multiplier),
// the longest suspicion must time out, and the gossip must travel.
Micros OwnerlessBound(const membership::Settings& settings, int members) {
  const Micros probe = settings.probe_interval * 2;
  const Micros suspicion = settings.suspicion_min_periods * settings.probe_interval *
                           (members - 2 < settings.confirmations ? 1 : settings.suspicion_max_multiplier);
  return (2 * members - 1) * probe + suspicion + 10 * settings.gossip_interval;
}

}  // namespace

ClusterScenario::ClusterScenario(std::uint64_t seed, bool verbose) : verbose_(verbose), random_(seed, 77) {
  VirtualCluster::Options options;
  options.seed = seed;
  members_ = 3 + static_cast<int>(random_(6));
  options.workers = kWorkers;
  options.drift = 0.01;
  options.clocks_apart = 500 * kMillisecond;
  constexpr double kLoss[] = {0.0, 0.0, 0.02, 0.05, 0.2};
  options.network.loss = kLoss[random_(5)];
  options.network.doubled = random_(2) == 0 ? 0.0 : 0.05;
  if (random_(2) == 0)
    options.network.slow = 0.05, options.network.slow_most = 300 * kMillisecond;
  options.settings.probing = duties::ProbeSettings{"", 2 * kSecond, kSecond, 32};
  options.settings.exclusive = {kDuty};
  for (int i = 0; i < std::min(members_, random_(2) == 0 ? 3 : 5); ++i)
    options.settings.voters.push_back("n" + std::to_string(i));
  options.settings.lease = 6 * kSecond;
  options.settings.max_clock_drift = 0.01;
  settings_ = options.settings;
  cluster_ = std::make_unique<VirtualCluster>(options);
  for (int i = 0; i < members_; ++i)
    cluster_->Add();
  Watch();
}

ClusterVerdict ClusterScenario::Play() {
  for (int i = 0; i < members_; ++i)
    cluster_->At(static_cast<Micros>(random_(2'000'000)), [this, i] { cluster_->Begin(i); });
  PlanFaults();
  for (Micros at = kSample; at <= kFaultPeriod && verdict_.broken.empty(); at += kSample) {
    cluster_->RunUntil(at);
    CheckOwners();
  }
  MendAll();
  if (verdict_.broken.empty())
    CheckViews();
  if (verdict_.broken.empty())
    CheckProbes();
  if (verdict_.broken.empty())
    CheckLease();
  for (int i = 0; i < members_; ++i) {
    if (!cluster_->Runs(i))
      continue;
    verdict_.takeovers += cluster_->core(i).probing()->counters().takeovers;
    verdict_.deaths_refuted += cluster_->core(i).members().counters().deaths_refuted;
  }
  return verdict_;
}

void ClusterScenario::Break(const std::string& what) {
  if (!verdict_.broken.empty())
    return;
  std::ostringstream text;
  text << "at " << static_cast<double>(cluster_->now()) / kSecond << " s: " << what;
  verdict_.broken = text.str();
}

void ClusterScenario::Say(const std::string& what) const {
  if (verbose_)
    std::printf("%9.3f  %s\n", static_cast<double>(cluster_->now()) / kSecond, what.c_str());
}

void ClusterScenario::Watch() {
  cluster_->on_lease = [this](int member, const cluster::LeaseChange& change) {
    CheckLeaseChange(member, change);
  };
  cluster_->on_result = [this](int member, const duties::ProbeResult& result) {
    duties::Stamp& last = last_results_[{member, result.worker}];
    if (result.stamp < last)
      Break("an old result came after a newer one at " + cluster_->name(member));
    last = result.stamp;
  };
  cluster_->on_probe = [this](int, const std::string& worker) {
    probe_times_[worker].push_back(cluster_->now());
  };
  cluster_->on_news = [this](int member, const membership::MembershipChange& change) {
    constexpr const char* kWhat[] = {" joined", " restarted", " suspect", " alive", " dead", " left"};
    Say(cluster_->name(member) + ": " + change.member.name + kWhat[static_cast<int>(change.kind)]);
  };
}

void ClusterScenario::CheckLeaseChange(int member, const cluster::LeaseChange& change) {
  Say(cluster_->name(member) + (change.acquired ? " takes " : " loses ") + change.duty + " under " +
      std::to_string(change.term));
  if (!change.acquired)
    return;
  ++verdict_.leases;
  for (int other = 0; other < members_; ++other) {
    if (other != member && cluster_->Runs(other) &&
        cluster_->core(other).leases().at(change.duty).HeldTerm(cluster_->LocalTime(other)))
      Break(cluster_->name(member) + " and " + cluster_->name(other) + " both hold " + change.duty);
  }
  if (change.term <= last_term_)
    Break("a term was not above the one before");
  last_term_ = change.term;
}

// Faults are drawn one after another; at any time at least one member is left to serve.
void ClusterScenario::PlanFaults() {
  Micros at = 8 * kSecond;
  while (at < kFaultPeriod - 8 * kSecond) {
    const int member = static_cast<int>(random_(members_));
    const Micros duration = 1 * kSecond + random_(12'000'000);
    switch (random_(7)) {
      case 0:
        PlanDeath(at, member, duration);
        break;
      case 1:
        PlanRestart(at, member);
        break;
      case 2:
        PlanPause(at, member, duration);
        break;
      case 3:
        PlanSplit(at, duration);
        break;
      case 4:
        PlanCut(at, member, duration);
        break;
      case 5:
        PlanDeparture(at, member, duration);
        break;
      default:
        break;  // no fault this time
    }
    at += 500 * kMillisecond + random_(8'000'000);
  }
}

void ClusterScenario::PlanDeath(Micros at, int member, Micros duration) {
  cluster_->At(at, [this, member] { TakeDown(member, "dies"); });
  cluster_->At(at + duration, [this, member] { BringUp(member); });
}

void ClusterScenario::PlanRestart(Micros at, int member) {
  cluster_->At(at, [this, member] {
    if (!cluster_->Runs(member))
      return;
    Say(cluster_->name(member) + " restarts");
    ForgetResults(member);
    cluster_->Restart(member);
  });
}

void ClusterScenario::PlanPause(Micros at, int member, Micros duration) {
  cluster_->At(at, [this, member] {
    if (Serving() < 2 || !cluster_->Runs(member))
      return;
    Say(cluster_->name(member) + " is paused");
    cluster_->Pause(member);
  });
  cluster_->At(at + duration, [this, member] {
    if (!cluster_->Stands(member))
      return;
    Say(cluster_->name(member) + " is resumed");
    cluster_->Resume(member);
  });
}

void ClusterScenario::PlanSplit(Micros at, Micros duration) {
  std::set<int> side;
  for (int member = 0; member < members_; ++member) {
    if (random_(2) == 0)
      side.insert(member);
  }
  cluster_->At(at, [this, side] {
    Say("split");
    cluster_->Split(side);
  });
  cluster_->At(at + duration, [this] {
    Say("mended");
    cluster_->Mend();
  });
}

void ClusterScenario::PlanCut(Micros at, int member, Micros duration) {
  const int to = static_cast<int>(random_(members_));
  cluster_->At(at, [this, member, to] {
    Say("cut from " + cluster_->name(member) + " to " + cluster_->name(to));
    cluster_->Cut(member, to);
  });
  cluster_->At(at + duration, [this] { cluster_->Mend(); });
}

void ClusterScenario::PlanDeparture(Micros at, int member, Micros duration) {
  cluster_->At(at, [this, member] {
    if (Serving() < 2 || !cluster_->Runs(member) || cluster_->Stands(member))
      return;
    Say(cluster_->name(member) + " leaves");
    cluster_->Leave(member);
    cluster_->At(cluster_->now() + 400 * kMillisecond, [this, member] { TakeDown(member, "is gone"); });
  });
  cluster_->At(at + duration, [this, member] { BringUp(member); });
}

int ClusterScenario::Serving() const {
  int serving = 0;
  for (int i = 0; i < members_; ++i)
    serving += cluster_->Runs(i) && !cluster_->Stands(i);
  return serving;
}

void ClusterScenario::ForgetResults(int member) {
  std::erase_if(last_results_, [member](const auto& result) { return result.first.first == member; });
}

void ClusterScenario::TakeDown(int member, const char* how) {
  if (Serving() < 2 || !cluster_->Runs(member))
    return;
  Say(cluster_->name(member) + " " + how);
  ForgetResults(member);
  cluster_->Kill(member);
}

void ClusterScenario::BringUp(int member) {
  if (cluster_->Runs(member))
    return;
  Say(cluster_->name(member) + " begins");
  cluster_->Begin(member);
}

// A worker has an owner if some member that runs takes it for its own.
void ClusterScenario::CheckOwners() {
  verdict_.ownerless_bound = OwnerlessBound(settings_.membership, members_);
  if (cluster_->now() < 3 * kSecond)
    return;  // until all have begun
  for (int w = 0; w < kWorkers; ++w) {
    const std::string worker = cluster_->WorkerName(w);
    bool owned = false;
    for (int i = 0; i < members_ && !owned; ++i) {
      owned = cluster_->Runs(i) && !cluster_->Stands(i) &&
              cluster_->core(i).probing()->OwnerOf(worker) == cluster_->name(i);
    }
    Micros& since = ownerless_since_[worker];
    if (owned) {
      since = 0;
    } else if (since == 0) {
      since = cluster_->now();
    } else {
      verdict_.ownerless = std::max(verdict_.ownerless, cluster_->now() - since);
    }
  }
  if (verdict_.ownerless > verdict_.ownerless_bound)
    Break("a worker was without an owner for longer than the bound");
}

void ClusterScenario::ResumeAll() {
  for (int i = 0; i < members_; ++i) {
    if (cluster_->Stands(i))
      cluster_->Resume(i);
  }
}

void ClusterScenario::MendAll() {
  cluster_->Mend();
  ResumeAll();
  // The rest of the plan may still take a member down; all are up at the end.
  cluster_->RunUntil(kFaultPeriod + 15 * kSecond);
  cluster_->Mend();
  ResumeAll();
  const int dead = static_cast<int>(random_(members_ + 1));  // one stays dead, or none
  if (dead < members_ && cluster_->Runs(dead) && members_ > 3)
    TakeDown(dead, "stays dead");
  cluster_->SetNetwork(tools::Network{});
  Say("all faults are mended");
  const membership::Settings& settings = settings_.membership;
  cluster_->RunUntil(cluster_->now() + OwnerlessBound(settings, members_) +
                     4 * settings.anti_entropy_interval);
}

void ClusterScenario::CheckViews() {
  for (int i = 0; i < members_; ++i) {
    if (!cluster_->Runs(i))
      continue;
    for (int j = 0; j < members_; ++j) {
      const std::optional<State> state = cluster_->core(i).members().StateOf(cluster_->name(j));
      if (cluster_->Runs(j) && state != State::kAlive)
        Break(cluster_->name(i) + " does not take " + cluster_->name(j) + " for alive, though it is");
      if (!cluster_->Runs(j) && (state == State::kAlive || state == State::kSuspect))
        Break(cluster_->name(i) + " takes " + cluster_->name(j) + " for alive, though it is dead");
    }
  }
}

// Without faults each worker is probed by one member, once an interval.
void ClusterScenario::CheckProbes() {
  const Micros interval = settings_.probing->interval;
  probe_times_.clear();
  const Micros from = cluster_->now();
  cluster_->RunUntil(from + 5 * interval);
  for (int w = 0; w < kWorkers; ++w) {
    const auto times = probe_times_[cluster_->WorkerName(w)].size();
    if (times < 4 || times > 6)
      Break(cluster_->WorkerName(w) + " was probed " + std::to_string(times) + " times in 5 intervals");
  }
}

void ClusterScenario::CheckLease() {
  int voters = 0;
  int holders = 0;
  for (int i = 0; i < members_; ++i) {
    if (!cluster_->Runs(i))
      continue;
    voters +=
        static_cast<int>(std::count(settings_.voters.begin(), settings_.voters.end(), cluster_->name(i)));
    holders += cluster_->core(i).leases().at(kDuty).HeldTerm(cluster_->LocalTime(i)).has_value() ? 1 : 0;
  }
  const bool majority = 2 * voters > static_cast<int>(settings_.voters.size());
  if (holders != (majority ? 1 : 0))
    Break(std::to_string(holders) + " hold the lease after the faults, with " + std::to_string(voters) +
          " of " + std::to_string(settings_.voters.size()) + " voters up");
}

}  // namespace aldersill::tests
