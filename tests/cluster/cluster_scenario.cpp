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
constexpr Micros kSampleInterval = 50 * kMillisecond;
constexpr int kWorkers = 12;
constexpr const char* kDuty = "housekeeping";

// The longest time that a worker may be without a running owner, computed from the settings. It is the sum of
// the time until the dead owner is probed (every member probes every other within 2n - 1 protocol periods,
// which its local health score lengthens), the longest suspicion timeout, and the time that the gossip takes.
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
  options.max_clock_drift = 0.01;
  options.max_clock_offset = 500 * kMillisecond;
  constexpr double kLoss[] = {0.0, 0.0, 0.02, 0.05, 0.2};
  options.network.loss = kLoss[random_(5)];
  options.network.duplication = random_(2) == 0 ? 0.0 : 0.05;
  if (random_(2) == 0) {
    options.network.slow_share = 0.05;
    options.network.max_slow_delay = 300 * kMillisecond;
  }
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
  InstallCallbacks();
}

ClusterVerdict ClusterScenario::Play() {
  for (int i = 0; i < members_; ++i)
    cluster_->ScheduleAt(static_cast<Micros>(random_(2'000'000)), [this, i] { cluster_->Start(i); });
  PlanFaults();
  for (Micros at = kSampleInterval; at <= kFaultPeriod && verdict_.violation.empty(); at += kSampleInterval) {
    cluster_->RunUntil(at);
    CheckOwners();
  }
  EndFaults();
  if (verdict_.violation.empty())
    CheckViews();
  if (verdict_.violation.empty())
    CheckProbes();
  if (verdict_.violation.empty())
    CheckLease();
  for (int i = 0; i < members_; ++i) {
    if (!cluster_->IsRunning(i))
      continue;
    verdict_.takeovers += cluster_->core(i).probing()->counters().takeovers;
    verdict_.deaths_refuted += cluster_->core(i).members().counters().deaths_refuted;
  }
  return verdict_;
}

void ClusterScenario::ReportViolation(const std::string& violation) {
  if (!verdict_.violation.empty())
    return;
  std::ostringstream text;
  text << "at " << static_cast<double>(cluster_->now()) / kSecond << " s: " << violation;
  verdict_.violation = text.str();
}

void ClusterScenario::PrintEvent(const std::string& text) const {
  if (verbose_)
    std::printf("%9.3f  %s\n", static_cast<double>(cluster_->now()) / kSecond, text.c_str());
}

void ClusterScenario::InstallCallbacks() {
  cluster_->on_lease = [this](int member, const cluster::LeaseChange& change) {
    CheckLeaseChange(member, change);
  };
  cluster_->on_result = [this](int member, const duties::ProbeResult& result) {
    duties::Stamp& last = last_results_[{member, result.worker}];
    if (result.stamp < last)
      ReportViolation(cluster_->name(member) + " delivered a result of " + result.worker +
                      " that is older than the one before");
    last = result.stamp;
  };
  cluster_->on_probe = [this](int, const std::string& worker) {
    probe_times_[worker].push_back(cluster_->now());
  };
  cluster_->on_membership_change = [this](int member, const membership::MembershipChange& change) {
    constexpr const char* kKinds[] = {" joined", " restarted", " suspect", " alive", " dead", " left"};
    PrintEvent(cluster_->name(member) + ": " + change.member.name + kKinds[static_cast<int>(change.kind)]);
  };
}

void ClusterScenario::CheckLeaseChange(int member, const cluster::LeaseChange& change) {
  PrintEvent(cluster_->name(member) + (change.acquired ? " acquires " : " loses ") + change.duty +
             " in term " + std::to_string(change.term));
  if (!change.acquired)
    return;
  ++verdict_.leases;
  for (int other = 0; other < members_; ++other) {
    if (other != member && cluster_->IsRunning(other) &&
        cluster_->core(other).leases().at(change.duty).HeldTerm(cluster_->LocalTime(other)))
      ReportViolation(cluster_->name(member) + " and " + cluster_->name(other) + " both hold the lease of " +
                      change.duty);
  }
  if (change.term <= last_term_)
    ReportViolation("the term of a lease, " + std::to_string(change.term) +
                    ", is not above the previous one, " + std::to_string(last_term_));
  last_term_ = change.term;
}

// Draws the faults one after another. At least one member is running and not paused at any time.
void ClusterScenario::PlanFaults() {
  Micros at = 8 * kSecond;
  while (at < kFaultPeriod - 8 * kSecond) {
    const int member = static_cast<int>(random_(members_));
    const Micros duration = 1 * kSecond + random_(12'000'000);
    switch (random_(7)) {
      case 0:
        PlanKill(at, member, duration);
        break;
      case 1:
        PlanRestart(at, member);
        break;
      case 2:
        PlanPause(at, member, duration);
        break;
      case 3:
        PlanPartition(at, duration);
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

void ClusterScenario::PlanKill(Micros at, int member, Micros duration) {
  cluster_->ScheduleAt(at, [this, member] { StopMember(member, "is killed"); });
  cluster_->ScheduleAt(at + duration, [this, member] { StartMember(member); });
}

void ClusterScenario::PlanRestart(Micros at, int member) {
  cluster_->ScheduleAt(at, [this, member] {
    if (!cluster_->IsRunning(member))
      return;
    PrintEvent(cluster_->name(member) + " restarts");
    ForgetResults(member);
    cluster_->Restart(member);
  });
}

void ClusterScenario::PlanPause(Micros at, int member, Micros duration) {
  cluster_->ScheduleAt(at, [this, member] {
    if (CountServing() < 2 || !cluster_->IsRunning(member))
      return;
    PrintEvent(cluster_->name(member) + " is paused");
    cluster_->Pause(member);
  });
  cluster_->ScheduleAt(at + duration, [this, member] {
    if (!cluster_->IsPaused(member))
      return;
    PrintEvent(cluster_->name(member) + " is resumed");
    cluster_->Resume(member);
  });
}

void ClusterScenario::PlanPartition(Micros at, Micros duration) {
  std::set<int> side;
  for (int member = 0; member < members_; ++member) {
    if (random_(2) == 0)
      side.insert(member);
  }
  cluster_->ScheduleAt(at, [this, side] {
    PrintEvent("partition");
    cluster_->Partition(side);
  });
  cluster_->ScheduleAt(at + duration, [this] {
    PrintEvent("the partition is healed");
    cluster_->HealAll();
  });
}

void ClusterScenario::PlanCut(Micros at, int member, Micros duration) {
  const int to = static_cast<int>(random_(members_));
  cluster_->ScheduleAt(at, [this, member, to] {
    PrintEvent("the link from " + cluster_->name(member) + " to " + cluster_->name(to) + " is cut");
    cluster_->Cut(member, to);
  });
  cluster_->ScheduleAt(at + duration, [this] { cluster_->HealAll(); });
}

void ClusterScenario::PlanDeparture(Micros at, int member, Micros duration) {
  cluster_->ScheduleAt(at, [this, member] {
    if (CountServing() < 2 || !cluster_->IsRunning(member) || cluster_->IsPaused(member))
      return;
    PrintEvent(cluster_->name(member) + " leaves");
    cluster_->Leave(member);
    cluster_->ScheduleAt(cluster_->now() + 400 * kMillisecond,
                         [this, member] { StopMember(member, "ends"); });
  });
  cluster_->ScheduleAt(at + duration, [this, member] { StartMember(member); });
}

int ClusterScenario::CountServing() const {
  int serving = 0;
  for (int i = 0; i < members_; ++i)
    serving += cluster_->IsRunning(i) && !cluster_->IsPaused(i);
  return serving;
}

void ClusterScenario::ForgetResults(int member) {
  std::erase_if(last_results_, [member](const auto& result) { return result.first.first == member; });
}

void ClusterScenario::StopMember(int member, const char* how) {
  if (CountServing() < 2 || !cluster_->IsRunning(member))
    return;
  PrintEvent(cluster_->name(member) + " " + how);
  ForgetResults(member);
  cluster_->Kill(member);
}

void ClusterScenario::StartMember(int member) {
  if (cluster_->IsRunning(member))
    return;
  PrintEvent(cluster_->name(member) + " starts");
  cluster_->Start(member);
}

// A worker has an owner if a member that is running and not paused considers itself the owner.
void ClusterScenario::CheckOwners() {
  verdict_.ownerless_bound = OwnerlessBound(settings_.membership, members_);
  if (cluster_->now() < 3 * kSecond)
    return;  // some members have not started yet
  for (int w = 0; w < kWorkers; ++w) {
    const std::string worker = cluster_->WorkerName(w);
    bool owned = false;
    for (int i = 0; i < members_ && !owned; ++i) {
      owned = cluster_->IsRunning(i) && !cluster_->IsPaused(i) &&
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
    ReportViolation("a worker had no running owner for " + std::to_string(verdict_.ownerless) +
                    " us, allowed are " + std::to_string(verdict_.ownerless_bound) + " us");
}

void ClusterScenario::ResumeAll() {
  for (int i = 0; i < members_; ++i) {
    if (cluster_->IsPaused(i))
      cluster_->Resume(i);
  }
}

void ClusterScenario::EndFaults() {
  cluster_->HealAll();
  ResumeAll();
  // Faults that were scheduled earlier may still stop a member. All members are running after this time.
  cluster_->RunUntil(kFaultPeriod + 15 * kSecond);
  cluster_->HealAll();
  ResumeAll();
  const int dead = static_cast<int>(random_(members_ + 1));  // `members_`: no member stays dead
  if (dead < members_ && cluster_->IsRunning(dead) && members_ > 3)
    StopMember(dead, "stays dead");
  cluster_->SetNetwork(tools::Network{});
  PrintEvent("all faults have ended");
  const membership::Settings& settings = settings_.membership;
  cluster_->RunUntil(cluster_->now() + OwnerlessBound(settings, members_) +
                     4 * settings.anti_entropy_interval);
}

void ClusterScenario::CheckViews() {
  for (int i = 0; i < members_; ++i) {
    if (!cluster_->IsRunning(i))
      continue;
    for (int j = 0; j < members_; ++j) {
      const std::optional<State> state = cluster_->core(i).members().StateOf(cluster_->name(j));
      if (cluster_->IsRunning(j) && state != State::kAlive)
        ReportViolation(cluster_->name(i) + " does not consider " + cluster_->name(j) +
                        " alive, but it is running");
      if (!cluster_->IsRunning(j) && (state == State::kAlive || state == State::kSuspect))
        ReportViolation(cluster_->name(i) + " considers " + cluster_->name(j) +
                        " alive or suspect, but it is dead");
    }
  }
}

// Without faults, one member probes each worker once per interval.
void ClusterScenario::CheckProbes() {
  const Micros interval = settings_.probing->interval;
  probe_times_.clear();
  const Micros from = cluster_->now();
  cluster_->RunUntil(from + 5 * interval);
  for (int w = 0; w < kWorkers; ++w) {
    const auto times = probe_times_[cluster_->WorkerName(w)].size();
    if (times < 4 || times > 6)
      ReportViolation(cluster_->WorkerName(w) + " was probed " + std::to_string(times) +
                      " times in 5 intervals, expected 4 to 6");
  }
}

void ClusterScenario::CheckLease() {
  int voters = 0;
  int holders = 0;
  for (int i = 0; i < members_; ++i) {
    if (!cluster_->IsRunning(i))
      continue;
    voters +=
        static_cast<int>(std::count(settings_.voters.begin(), settings_.voters.end(), cluster_->name(i)));
    holders += cluster_->core(i).leases().at(kDuty).HeldTerm(cluster_->LocalTime(i)).has_value() ? 1 : 0;
  }
  const bool majority = 2 * voters > static_cast<int>(settings_.voters.size());
  if (holders != (majority ? 1 : 0))
    ReportViolation(std::to_string(holders) + " members hold the lease after the faults, with " +
                    std::to_string(voters) + " of " + std::to_string(settings_.voters.size()) +
                    " voters running");
}

}  // namespace aldersill::tests
