// Many dispatchers in virtual time send jobs to workers that have just started ("cold" workers). The jobs
// that all of them together send to one cold worker within any `overload_window` must stay below the bound
// that overloads it: N jobs of mean length, where N is what the settings allow the worker in that window,
// plus 2 sqrt(N) + 2 for random fluctuation.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "driver.h"

namespace aldersill::dispatch::testing {
namespace {

enum class Scenario {
  kSteady,        // traffic at a steady rate
  kSurge,         // no node gets a job for one overload window, then all get many at once
  kRestarted,     // all nodes restart together with the cold workers and know no running times
  kShortTargets,  // as kRestarted, with targets far shorter than the running times, extended by a stretch
};

// The counts of one or several simulated deployments.
struct Tally {
  double worst = 0.0;                 // largest ratio of the work sent in one window to the bound
  int windows_over = 0, windows = 0;  // windows above the bound, of all windows; each send ends one
  int overloaded = 0, workers = 0;    // workers with such a window, of all cold workers
  double sent = 0.0, allowed = 0.0;   // in mean jobs, over all cold workers until they are warm

  void Add(const Tally& other) {
    worst = std::max(worst, other.worst);
    windows_over += other.windows_over;
    windows += other.windows;
    overloaded += other.overloaded;
    workers += other.workers;
    sent += other.sent;
    allowed += other.allowed;
  }
  void Print(const std::string& title) const {
    std::printf(
        "%-30s worst %.2f of the bound, %d of %d windows over, %d of %d workers overloaded, used %.2f of N\n",
        title.c_str(), worst, windows_over, windows, overloaded, workers, sent / allowed);
  }
};

// A simulated deployment whose settings, workers and traffic are drawn from `seed`.
class ColdFleet {
 public:
  ColdFleet(int nodes, bool uneven, Scenario scenario, std::uint64_t seed)
      : random_(seed), scenario_(scenario) {
    DrawSettings(nodes);
    DrawWorkers();
    const double rate = Between(0.6, 1.0) * total_slots_ / mean_job_;
    settings_.tenants = {{"only", 1.0, 0.9 * total_slots_ / mean_job_ * kSecond}};
    double total_rate = 0.0;
    for (int n = 0; n < nodes; ++n) {
      nodes_.emplace_back().rate = uneven && n % 10 == 0 ? Between(3.0, 6.0) : Between(0.7, 1.3);
      // Some nodes keep the older list, without the workers' new start times, for up to two seconds.
      nodes_.back().notified_at =
          start_ + (WithProbability(0.15) ? static_cast<Micros>(Between(0.1, 2.0) * kSecond) : 0);
      total_rate += nodes_.back().rate;
    }
    for (int n = 0; n < nodes; ++n) {
      nodes_[n].rate *= rate / total_rate;
      Restart(n);
      if (nodes_[n].notified_at > start_)
        ScheduleAt(nodes_[n].notified_at, [this, n] { PostList(n); });
      ScheduleAt(begin_, [this, n] { ScheduleNextArrival(n); });
    }
    ScheduleAt(start_, [this] {
      for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) {
        if (scenario_ == Scenario::kRestarted || scenario_ == Scenario::kShortTargets)
          Restart(n);
        if (nodes_[n].notified_at <= now_)
          PostList(n);
      }
    });
    // Every fifth node restarts while the workers are cold and forgets what it has sent to them.
    for (int n = 0; n < nodes; n += 5) {
      ScheduleAt(start_ + static_cast<Micros>(Between(0.0, 1.0) * settings_.warm_after),
                 [this, n] { Restart(n); });
    }
    if (scenario_ == Scenario::kSurge) {
      idle_until_ = start_ + static_cast<Micros>(Between(0.05, 0.6) * settings_.warm_after);
      idle_from_ = idle_until_ - settings_.overload_window;
      for (int n = 0; n < nodes; ++n) {
        for (int i = 0; i < 8; ++i)
          ScheduleAt(idle_until_ + static_cast<Micros>(Between(0.0, 0.1) * kSecond),
                     [this, n] { Arrive(n); });
      }
    }
  }

  // Runs the simulation until the workers are warm.
  Tally Simulate() {
    const Micros end = start_ + settings_.warm_after;
    while (!events_.empty() && events_.top().at < end) {
      const ScheduledCall next = events_.top();
      events_.pop();
      now_ = next.at;
      next.call();
    }
    return MakeTally();
  }

 private:
  struct ScheduledCall {
    Micros at;
    std::uint64_t number;
    std::function<void()> call;
    bool operator<(const ScheduledCall& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  struct Node {
    std::unique_ptr<Dispatcher> dispatcher;
    double rate = 0.0;       // jobs a microsecond
    Micros notified_at = 0;  // when it receives the list with the start times of the cold workers
    int generation = 0;      // counts its restarts, so that events for an earlier instance are dropped
  };
  struct Sent {
    Micros at;
    double work;         // running time, in units of the mean job
    bool from_notified;  // whether the node knew of the worker's start
  };
  struct SimulatedWorker {
    std::string name;
    double slots = 1.0;
    WorkerEntry entry;
    bool cold = false;
    bool failing = false;
    int unfinished_jobs = 0;  // running and waiting
    std::vector<Sent> sent;   // while it was cold
  };

  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool WithProbability(double p) { return Between(0.0, 1.0) < p; }
  void ScheduleAt(Micros at, std::function<void()> call) {
    events_.push({at, next_number_++, std::move(call)});
  }

  void DrawSettings(int nodes) {
    Settings& settings = settings_;
    settings = BasicSettings();
    settings.hedging = false;
    settings.nodes = nodes;
    settings.overload_factor = Between(2.0, 4.0);
    settings.overload_window = static_cast<Micros>(Between(1.0, 3.0) * kSecond);
    settings.cold_capacity_share = Between(0.3, 0.6);
    settings.warm_after = static_cast<Micros>(Between(3.0, 9.0) * kSecond);
    const bool short_targets = scenario_ == Scenario::kShortTargets;
    const double typical_run_time = 0.04 * std::pow(short_targets ? 15.0 : 75.0, Between(0.0, 1.0)) * kSecond;
    const int classes = 2 + static_cast<int>(random_() % 3);
    // How much the mean running times of the classes differ.
    const double class_spread = Between(0.0, short_targets ? 0.15 : 1.0);
    // With a stretch, the target says little about the running time.
    const bool stretched = WithProbability(0.5) || short_targets;
    if (short_targets)
      settings.overload_factor = Between(3.5, 4.0);
    if (short_targets)
      settings.overload_window = static_cast<Micros>(Between(2.0, 3.0) * kSecond);
    settings.classes.resize(1);
    const ClassSettings base_class = settings.classes[0];
    settings.classes.clear();
    double total_share = 0.0;
    for (int k = 0; k < classes; ++k) {
      ClassSettings job_class = base_class;
      job_class.name = "class" + std::to_string(k);
      run_times_.push_back(typical_run_time * std::exp(class_spread * Between(-1.0, 1.0)));
      class_shares_.push_back(Between(0.2, 1.0));
      total_share += class_shares_.back();
      job_class.stretch = stretched ? 2.0 : 0.0;
      job_class.target = static_cast<Micros>(run_times_.back() * (short_targets ? Between(0.05, 0.3)
                                                                  : stretched   ? Between(0.05, 1.0)
                                                                                : Between(0.8, 2.0)));
      job_class.deadline = 10 * kSecond;
      job_class.repeat = k % 2 == 0 ? Repeat::kRepeatable : Repeat::kUnsafe;
      settings.classes.push_back(job_class);
    }
    for (int k = 0; k < classes; ++k)
      mean_job_ += (class_shares_[k] /= total_share) * run_times_[k];
    exponential_run_times_ = WithProbability(0.3);
    run_time_variation_ = Between(0.25, 0.72);
  }

  void DrawWorkers() {
    const int max_workers = static_cast<int>(12'000 * mean_job_ / kSecond / 50);
    const int worker_count = std::clamp(max_workers, 5, std::clamp(settings_.nodes / 2, 8, 40));
    const int weight_accuracy = static_cast<int>(random_() % 3);  // 0: exact, 1: approximate, 2: all equal
    // Either six in ten workers are cold or a single one is.
    const bool many_cold = WithProbability(scenario_ == Scenario::kShortTargets ? 0.3 : 0.6);
    const double slots[] = {2.0 + random_() % 4, 2.0 + random_() % 4};
    for (int i = 0; i < worker_count; ++i) {
      SimulatedWorker& worker = workers_.emplace_back();
      worker.name = "w" + std::to_string(i);
      worker.slots = slots[i % 2];
      worker.cold = many_cold ? i % 10 < 6 : i == 0;
      worker.failing = !worker.cold && i % 10 == 9;
      worker.entry = Entry(worker.name, i % 4 < 2 ? "near" : "far", i / 4, i % 2 == 0 ? "box" : "crate");
      worker.entry.weight = weight_accuracy == 0   ? worker.slots
                            : weight_accuracy == 1 ? worker.slots * Between(0.7, 1.3)
                                                   : 1.0;
      total_slots_ += worker.slots;
    }
  }

  void Restart(int n) {
    nodes_[n].dispatcher = std::make_unique<Dispatcher>(settings_, random_());
    ++nodes_[n].generation;
    PostList(n);
  }
  void PostList(int n) {
    std::vector<WorkerEntry> entries;
    for (const SimulatedWorker& worker : workers_) {
      entries.push_back(worker.entry);
      if (worker.cold && now_ >= start_ && now_ >= nodes_[n].notified_at)
        entries.back().since = start_;
    }
    Handle(n, WorkerList{WorkerList::Form::kFull, entries});
  }

  void ScheduleNextArrival(int n) {
    const double rate = nodes_[n].rate * (now_ >= idle_until_ && idle_until_ > begin_ ? 2.0 : 1.0);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    ScheduleAt(now_ + 1 + static_cast<Micros>(gap), [this, n] {
      if (now_ < idle_from_ || now_ >= idle_until_)
        Arrive(n);
      ScheduleNextArrival(n);
    });
  }
  void Arrive(int n) {
    Arrival arrival;
    const auto id = next_id_++;
    arrival.request = RequestId{id};
    const int k = std::discrete_distribution<int>(class_shares_.begin(), class_shares_.end())(random_);
    arrival.job_class = settings_.classes[k].name;
    arrival.tenant = "only";
    arrival.time_left = settings_.classes[k].deadline;
    double run_time_factor = 1.0;
    if (exponential_run_times_) {
      run_time_factor = std::exponential_distribution<double>(1.0)(random_);
    } else {
      const double sigma = std::sqrt(std::log(1.0 + run_time_variation_ * run_time_variation_));
      run_time_factor = std::lognormal_distribution<double>(-sigma * sigma / 2.0, sigma)(random_);
    }
    job_run_times_.push_back(run_times_[k] * run_time_factor);
    attempt_counts_.push_back(0);
    Handle(n, arrival);
  }

  void Handle(int n, const Event& event) {
    std::vector<Action> actions;
    nodes_[n].dispatcher->Handle(now_, event, &actions);
    const int generation = nodes_[n].generation;
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        ScheduleAt(now_ + timer->delay, [this, n, generation, token = timer->token] {
          HandleUnlessRestarted(n, generation, TimerFired{token});
        });
      } else if (const auto* send = std::get_if<Send>(&action)) {
        StartAttempt(n, *send);
      }
    }
  }
  void HandleUnlessRestarted(int n, int generation, const Event& event) {
    if (nodes_[n].generation == generation)
      Handle(n, event);
  }

  void StartAttempt(int n, const Send& send) {
    SimulatedWorker& worker = workers_[std::stoi(send.worker.substr(1))];
    const auto id = static_cast<std::uint64_t>(send.request);
    const int attempt_number = attempt_counts_[id]++;
    const double work = job_run_times_[id];
    if (worker.cold && now_ >= start_)
      worker.sent.push_back({now_, work / mean_job_, now_ >= nodes_[n].notified_at});
    const int generation = nodes_[n].generation;
    AttemptEnded end;
    end.request = send.request;
    end.attempt_number = attempt_number;
    const bool full = worker.unfinished_jobs >= 5 * worker.slots;
    end.outcome = WithProbability(0.02)                           ? Outcome::kConnectFailed
                  : full                                          ? Outcome::kRejected
                  : WithProbability(worker.failing ? 0.3 : 0.003) ? Outcome::kError
                                                                  : Outcome::kServed;
    end.report.free_slots = std::max(0.0, worker.slots - worker.unfinished_jobs) * Between(0.95, 1.05);
    if (end.outcome != Outcome::kServed) {
      ScheduleAt(now_ + 1000, [this, n, generation, end] { HandleUnlessRestarted(n, generation, end); });
      return;
    }
    const double wait = std::max(0.0, worker.unfinished_jobs + 1 - worker.slots) * mean_job_ / worker.slots;
    ++worker.unfinished_jobs;
    const Micros starts = now_ + 1000 + static_cast<Micros>(wait);
    ScheduleAt(starts, [this, n, generation, end] {
      HandleUnlessRestarted(n, generation, Progress{end.request, end.attempt_number, true, 0.0});
    });
    ScheduleAt(starts + static_cast<Micros>(work), [this, n, generation, end, &worker] {
      --worker.unfinished_jobs;
      HandleUnlessRestarted(n, generation, end);
    });
  }

  // The mean share of its full capacity that a cold worker has over the window that ends at `end`.
  double MeanCapacityShare(Micros end) const {
    const auto share_at = [this](double t) {
      return settings_.cold_capacity_share +
             (1.0 - settings_.cold_capacity_share) * std::max(0.0, t) / settings_.warm_after;
    };
    double sum = 0.0;
    for (int i = 0; i < 20; ++i)
      sum += share_at(end - start_ - (i + 0.5) / 20.0 * settings_.overload_window);
    return sum / 20.0;
  }

  Tally MakeTally() const {
    Tally tally;
    for (const SimulatedWorker& worker : workers_) {
      if (!worker.cold)
        continue;
      ++tally.workers;
      const double warm_jobs =
          settings_.overload_factor * worker.slots * settings_.overload_window / mean_job_;
      double sent = 0.0, sent_by_notified = 0.0;
      bool overloaded = false, was_overloaded = false;
      for (std::size_t first = 0, last = 0; last < worker.sent.size(); ++last) {
        const Sent& send = worker.sent[last];
        sent += send.work;
        sent_by_notified += send.from_notified ? send.work : 0.0;
        tally.sent += send.from_notified ? send.work : 0.0;
        for (; send.at - worker.sent[first].at > settings_.overload_window; ++first) {
          sent -= worker.sent[first].work;
          sent_by_notified -= worker.sent[first].from_notified ? worker.sent[first].work : 0.0;
        }
        const double n = warm_jobs * MeanCapacityShare(send.at);
        const double bound = n + 2.0 * std::sqrt(n) + 2.0;
        ++tally.windows;
        // An overload counts against the nodes that knew of the worker's start if their work alone exceeds
        // the bound, or if it is more than two thirds of the work in the windows up to the first overload.
        // After the first overload only the former counts.
        const bool by_notified =
            sent_by_notified > bound || (!was_overloaded && sent_by_notified > 2.0 / 3.0 * sent);
        was_overloaded = was_overloaded || sent > bound;
        tally.worst = std::max(tally.worst, (by_notified ? sent : sent_by_notified) / bound);
        tally.windows_over += by_notified && sent > bound;
        overloaded = overloaded || (by_notified && sent > bound);
      }
      tally.overloaded += overloaded;
      const double mean_share = (1.0 + settings_.cold_capacity_share) / 2.0;
      tally.allowed += warm_jobs * mean_share * settings_.warm_after / settings_.overload_window;
    }
    return tally;
  }

  std::mt19937_64 random_;
  Scenario scenario_;
  Settings settings_;
  std::vector<double> run_times_, class_shares_;  // by class: the mean running time, the share of the jobs
  // The mean running time of all jobs, the slots of all workers, and the coefficient of variation of the
  // running times within a class.
  double mean_job_ = 0.0, total_slots_ = 0.0, run_time_variation_ = 0.0;
  bool exponential_run_times_ = false;
  std::vector<Node> nodes_;
  std::vector<SimulatedWorker> workers_;
  std::priority_queue<ScheduledCall> events_;
  std::uint64_t next_number_ = 0, next_id_ = 0;
  std::vector<double> job_run_times_;  // running time of each job, by its ID
  std::vector<int> attempt_counts_;    // attempts sent of each job, by its ID
  // When the simulation begins, and when the cold workers start.
  const Micros begin_ = 1000 * kSecond, start_ = 1010 * kSecond;
  Micros now_ = begin_, idle_from_ = begin_, idle_until_ = begin_;
};

Tally SimulateSeeds(int nodes, bool uneven, Scenario scenario, int seeds) {
  Tally all;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Tally one = ColdFleet(nodes, uneven, scenario, seed).Simulate();
    if (one.overloaded > 0)
      one.Print("  seed " + std::to_string(seed));
    all.Add(one);
  }
  return all;
}

void ExpectNoOverload(Scenario scenario, const std::string& name) {
  for (const int nodes : {3, 20, 30, 300}) {
    for (const bool uneven : {false, true}) {
      const int seeds = (scenario == Scenario::kShortTargets ? 30 : 8) / COLD_FLEET_SEEDS_PART;
      const Tally all = SimulateSeeds(nodes, uneven, scenario, seeds);
      all.Print(name + ", " + std::to_string(nodes) + (uneven ? " uneven" : " even"));
      EXPECT_EQ(all.overloaded, 0) << nodes << " nodes, " << (uneven ? "uneven" : "even");
    }
  }
}

// A cold worker "falls" if it is overloaded in any window.
TEST(ColdFleet, NoneFallsInSteadyTraffic) { ExpectNoOverload(Scenario::kSteady, "steady"); }
TEST(ColdFleet, NoneFallsInASurgeAfterAWindowWithoutJobs) { ExpectNoOverload(Scenario::kSurge, "surge"); }
TEST(ColdFleet, NoneFallsWhereAllNodesHaveJustBegun) { ExpectNoOverload(Scenario::kRestarted, "restarted"); }
TEST(ColdFleet, NoneFallsWhereTargetsSayLittleOfRunningTimes) {
  ExpectNoOverload(Scenario::kShortTargets, "short targets");
}

// The worst case: every node knows the workers and the running times exactly, no node gets a job for one
// overload window, and then all get more jobs than the worker may receive. The allowance that the nodes saved
// and that of the next window together must stay within the bound.
TEST(ColdFleet, WhatNodesKeptAndTheNextWindowStayUnderTheBoundTogether) {
  for (const double mean_s : {0.1, 0.2, 0.4, 1.0}) {
    Settings settings = BasicSettings();
    settings.hedging = false;
    settings.nodes = 300;
    settings.overload_factor = 4.0;
    settings.overload_window = 3 * kSecond;
    settings.cold_capacity_share = 0.6;
    settings.warm_after = 9 * kSecond;
    settings.classes.resize(1);
    settings.classes[0].target = static_cast<Micros>(mean_s * kSecond);
    settings.tenants = {{"only", 1.0, 100.0 * settings.nodes}};
    const double slots = 5.0;
    std::vector<Micros> sends;
    const Micros start = 1000 * kSecond, idle_until = start + 5 * kSecond;
    for (int node = 0; node < settings.nodes; ++node) {
      Driver driver(settings, 100 + node);
      std::vector<WorkerEntry> workers = {Entry("warm"), Entry("cold")};
      workers[1].since = start;
      driver.now = start - kSecond;
      driver.List({workers[0]});
      driver.Arrive(1, "repeatable");
      driver.Start(1, 0);
      driver.now += settings.classes[0].target;
      AttemptEnded end;
      end.request = RequestId{1};
      end.request_ended = true;
      end.report.free_slots = slots;
      driver.Do(end);
      driver.now = start;
      driver.List(workers);
      for (int id = 2; id < 50; ++id) {
        driver.Advance(idle_until + (id - 2) * settings.overload_window / 48);
        for (const Send& send : Only<Send>(driver.Arrive(id, "repeatable", 5 * kSecond, 1, "only"))) {
          if (send.worker == "cold" && send.request == RequestId{static_cast<std::uint64_t>(id)})
            sends.push_back(driver.now);
        }
      }
    }
    const double capacity_share =
        settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) * 5.0 / 9.0;
    const double n =
        settings.overload_factor * capacity_share * slots * settings.overload_window / (mean_s * kSecond);
    std::printf("saved and new allowance, N = %4.0f: %zu sent, bound %.0f\n", n, sends.size(),
                n + 2.0 * std::sqrt(n) + 2.0);
    EXPECT_LE(static_cast<double>(sends.size()), n + 2.0 * std::sqrt(n) + 2.0) << "N = " << n;
    EXPECT_GT(static_cast<double>(sends.size()), n / 4.0) << "N = " << n;  // the allowance is used
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
