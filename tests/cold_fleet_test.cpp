// Many instances of the module in virtual time send to workers that have just started. What all of them
// together send to one within the settings' window `fall` must stay under what pushes it over: N jobs of mean
// work, N being what the settings allow it then, and 2 sqrt(N) + 2 that are put down to chance.
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

enum class Case {
  kSteady,
  kSurge,      // nobody has had a job for a window, then all have many at once
  kRestarted,  // all nodes began with the cold workers and have learnt nothing
  kMisled,     // as kRestarted, and the targets are far shorter than the jobs, which grow them by a stretch
};

struct Tally {
  double worst = 0.0;         // sent in a window, over what pushes over
  int over = 0, windows = 0;  // windows over it, of all that end with a send
  int fell = 0, workers = 0;
  double sent = 0.0, allowed = 0.0;  // over all cold workers and all of their cold time

  void Add(const Tally& other) {
    worst = std::max(worst, other.worst);
    over += other.over;
    windows += other.windows;
    fell += other.fell;
    workers += other.workers;
    sent += other.sent;
    allowed += other.allowed;
  }
  void Print(const std::string& what) const {
    std::printf(
        "%-30s worst %.2f of the bound, %d of %d windows over, %d of %d workers fell, used %.2f of N\n",
        what.c_str(), worst, over, windows, fell, workers, sent / allowed);
  }
};

// One deployment, drawn from `seed`, and its day.
class ColdFleet {
 public:
  ColdFleet(int nodes, bool uneven, Case what, std::uint64_t seed) : random_(seed), what_(what) {
    DrawSettings(nodes);
    DrawWorkers();
    const double rate = Between(0.6, 1.0) * slots_ / mean_job_;
    settings_.tenants = {{"only", 1.0, 0.9 * slots_ / mean_job_ * kSecond}};
    double parts = 0.0;
    for (int n = 0; n < nodes; ++n) {
      nodes_.emplace_back().rate = uneven && n % 10 == 0 ? Between(3.0, 6.0) : Between(0.7, 1.3);
      // Where a worker starts anew under its name, some have the older list for a while.
      nodes_.back().notified_at =
          start_ + (Chance(0.15) ? static_cast<Micros>(Between(0.1, 2.0) * kSecond) : 0);
      parts += nodes_.back().rate;
    }
    for (int n = 0; n < nodes; ++n) {
      nodes_[n].rate *= rate / parts;
      Restart(n);
      if (nodes_[n].notified_at > start_)
        At(nodes_[n].notified_at, [this, n] { PostList(n); });
      At(begin_, [this, n] { Next(n); });
    }
    At(start_, [this] {
      for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) {
        if (what_ == Case::kRestarted || what_ == Case::kMisled)
          Restart(n);
        if (nodes_[n].notified_at <= now_)
          PostList(n);
      }
    });
    // One in five is started anew while workers are cold, and does not know what it has sent to them.
    for (int n = 0; n < nodes; n += 5) {
      At(start_ + static_cast<Micros>(Between(0.0, 1.0) * settings_.warm_after), [this, n] { Restart(n); });
    }
    if (what_ == Case::kSurge) {
      idle_until_ = start_ + static_cast<Micros>(Between(0.05, 0.6) * settings_.warm_after);
      idle_from_ = idle_until_ - settings_.overload_window;
      for (int n = 0; n < nodes; ++n) {
        for (int i = 0; i < 8; ++i)
          At(idle_until_ + static_cast<Micros>(Between(0.0, 0.1) * kSecond), [this, n] { Arrive(n); });
      }
    }
  }

  Tally Play() {
    const Micros end = start_ + settings_.warm_after;
    while (!events_.empty() && events_.top().at < end) {
      const Due due = events_.top();
      events_.pop();
      now_ = due.at;
      due.what();
    }
    return Count();
  }

 private:
  struct Due {
    Micros at;
    std::uint64_t number;
    std::function<void()> what;
    bool operator<(const Due& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
  };
  struct Node {
    std::unique_ptr<Dispatcher> dispatcher;
    double rate = 0.0;  // jobs a microsecond
    Micros notified_at = 0;
    int life = 0;
  };
  struct Sent {
    Micros at;
    double work;  // in mean jobs
    bool from_notified;
  };
  struct Box {
    std::string name;
    double slots = 1.0;
    WorkerEntry entry;
    bool cold = false;
    bool bad = false;
    int in_work = 0;
    std::vector<Sent> sent;
  };

  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool Chance(double p) { return Between(0.0, 1.0) < p; }
  void At(Micros at, std::function<void()> what) { events_.push({at, number_++, std::move(what)}); }

  void DrawSettings(int nodes) {
    Settings& s = settings_;
    s = BasicSettings();
    s.hedging = false;
    s.nodes = nodes;
    s.overload_factor = Between(2.0, 4.0);
    s.overload_window = static_cast<Micros>(Between(1.0, 3.0) * kSecond);
    s.cold_capacity_share = Between(0.3, 0.6);
    s.warm_after = static_cast<Micros>(Between(3.0, 9.0) * kSecond);
    const bool misled = what_ == Case::kMisled;
    const double middle = 0.04 * std::pow(misled ? 15.0 : 75.0, Between(0.0, 1.0)) * kSecond;
    const int classes = 2 + static_cast<int>(random_() % 3);
    const double unlike = Between(0.0, misled ? 0.15 : 1.0);  // how much the classes differ in length
    const bool stretched = Chance(0.5) || misled;  // the target then tells little of the running time
    if (misled)
      s.overload_factor = Between(3.5, 4.0);
    if (misled)
      s.overload_window = static_cast<Micros>(Between(2.0, 3.0) * kSecond);
    s.classes.resize(1);
    const ClassSettings usual = s.classes[0];
    s.classes.clear();
    double shares = 0.0;
    for (int k = 0; k < classes; ++k) {
      ClassSettings c = usual;
      c.name = "class" + std::to_string(k);
      runs_.push_back(middle * std::exp(unlike * Between(-1.0, 1.0)));
      shares_.push_back(Between(0.2, 1.0));
      shares += shares_.back();
      c.stretch = stretched ? 2.0 : 0.0;
      c.target = static_cast<Micros>(runs_.back() * (misled      ? Between(0.05, 0.3)
                                                     : stretched ? Between(0.05, 1.0)
                                                                 : Between(0.8, 2.0)));
      c.deadline = 10 * kSecond;
      c.repeat = k % 2 == 0 ? Repeat::kRepeatable : Repeat::kUnsafe;
      s.classes.push_back(c);
    }
    for (int k = 0; k < classes; ++k)
      mean_job_ += (shares_[k] /= shares) * runs_[k];
    exponential_ = Chance(0.3);
    spread_ = Between(0.25, 0.72);
  }

  void DrawWorkers() {
    const int most = static_cast<int>(12'000 * mean_job_ / kSecond / 50);
    const int boxes = std::clamp(most, 5, std::clamp(settings_.nodes / 2, 8, 40));
    const int weight_accuracy = static_cast<int>(random_() % 3);  // weights: as they are, roughly, not at all
    const bool many = Chance(what_ == Case::kMisled ? 0.3 : 0.6);  // six in ten start, or one alone
    const double slots[] = {2.0 + random_() % 4, 2.0 + random_() % 4};
    for (int i = 0; i < boxes; ++i) {
      Box& b = boxes_.emplace_back();
      b.name = "w" + std::to_string(i);
      b.slots = slots[i % 2];
      b.cold = many ? i % 10 < 6 : i == 0;
      b.bad = !b.cold && i % 10 == 9;
      b.entry = Entry(b.name, i % 4 < 2 ? "near" : "far", i / 4, i % 2 == 0 ? "box" : "crate");
      b.entry.weight = weight_accuracy == 0   ? b.slots
                       : weight_accuracy == 1 ? b.slots * Between(0.7, 1.3)
                                              : 1.0;
      slots_ += b.slots;
    }
  }

  void Restart(int n) {
    nodes_[n].dispatcher = std::make_unique<Dispatcher>(settings_, random_());
    ++nodes_[n].life;
    PostList(n);
  }
  void PostList(int n) {
    std::vector<WorkerEntry> entries;
    for (const Box& b : boxes_) {
      entries.push_back(b.entry);
      if (b.cold && now_ >= start_ && now_ >= nodes_[n].notified_at)
        entries.back().since = start_;
    }
    Do(n, WorkerList{WorkerList::Form::kFull, entries});
  }

  void Next(int n) {
    const double rate = nodes_[n].rate * (now_ >= idle_until_ && idle_until_ > begin_ ? 2.0 : 1.0);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    At(now_ + 1 + static_cast<Micros>(gap), [this, n] {
      if (now_ < idle_from_ || now_ >= idle_until_)
        Arrive(n);
      Next(n);
    });
  }
  void Arrive(int n) {
    Arrival a;
    const auto id = next_id_++;
    a.request = RequestId{id};
    const int k = std::discrete_distribution<int>(shares_.begin(), shares_.end())(random_);
    a.job_class = settings_.classes[k].name;
    a.tenant = "only";
    a.time_left = settings_.classes[k].deadline;
    double times = 1.0;
    if (exponential_) {
      times = std::exponential_distribution<double>(1.0)(random_);
    } else {
      const double sigma = std::sqrt(std::log(1.0 + spread_ * spread_));
      times = std::lognormal_distribution<double>(-sigma * sigma / 2.0, sigma)(random_);
    }
    jobs_.push_back(runs_[k] * times);
    attempts_.push_back(0);
    Do(n, a);
  }

  void Do(int n, const Event& event) {
    std::vector<Action> actions;
    nodes_[n].dispatcher->Handle(now_, event, &actions);
    const int life = nodes_[n].life;
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        At(now_ + timer->delay, [this, n, life, token = timer->token] { Post(n, life, TimerFired{token}); });
      } else if (const auto* send = std::get_if<Send>(&action)) {
        Run(n, *send);
      }
    }
  }
  void Post(int n, int life, const Event& event) {
    if (nodes_[n].life == life)
      Do(n, event);
  }

  void Run(int n, const Send& send) {
    Box& b = boxes_[std::stoi(send.worker.substr(1))];
    const auto id = static_cast<std::uint64_t>(send.request);
    const int attempt_number = attempts_[id]++;
    const double work = jobs_[id];
    if (b.cold && now_ >= start_)
      b.sent.push_back({now_, work / mean_job_, now_ >= nodes_[n].notified_at});
    const int life = nodes_[n].life;
    AttemptEnded e;
    e.request = send.request;
    e.attempt_number = attempt_number;
    const bool full = b.in_work >= 5 * b.slots;
    e.outcome = Chance(0.02)                  ? Outcome::kConnectFailed
                : full                        ? Outcome::kRejected
                : Chance(b.bad ? 0.3 : 0.003) ? Outcome::kError
                                              : Outcome::kServed;
    e.report.free_slots = std::max(0.0, b.slots - b.in_work) * Between(0.95, 1.05);
    if (e.outcome != Outcome::kServed) {
      At(now_ + 1000, [this, n, life, e] { Post(n, life, e); });
      return;
    }
    const double wait = std::max(0.0, b.in_work + 1 - b.slots) * mean_job_ / b.slots;
    ++b.in_work;
    const Micros starts = now_ + 1000 + static_cast<Micros>(wait);
    At(starts, [this, n, life, e] { Post(n, life, Progress{e.request, e.attempt_number, true, 0.0}); });
    At(starts + static_cast<Micros>(work), [this, n, life, e, &b] {
      --b.in_work;
      Post(n, life, e);
    });
  }

  // What it can do of its full capacity, on the mean over the window that ends then.
  double Able(Micros end) const {
    const auto able = [this](double t) {
      return settings_.cold_capacity_share +
             (1.0 - settings_.cold_capacity_share) * std::max(0.0, t) / settings_.warm_after;
    };
    double sum = 0.0;
    for (int i = 0; i < 20; ++i)
      sum += able(end - start_ - (i + 0.5) / 20.0 * settings_.overload_window);
    return sum / 20.0;
  }

  Tally Count() const {
    Tally tally;
    for (const Box& b : boxes_) {
      if (!b.cold)
        continue;
      ++tally.workers;
      const double warm_calls = settings_.overload_factor * b.slots * settings_.overload_window / mean_job_;
      double sent = 0.0, of_notified = 0.0;
      bool fell = false, down = false;
      for (std::size_t first = 0, last = 0; last < b.sent.size(); ++last) {
        const Sent& s = b.sent[last];
        sent += s.work;
        of_notified += s.from_notified ? s.work : 0.0;
        tally.sent += s.from_notified ? s.work : 0.0;
        for (; s.at - b.sent[first].at > settings_.overload_window; ++first) {
          sent -= b.sent[first].work;
          of_notified -= b.sent[first].from_notified ? b.sent[first].work : 0.0;
        }
        const double n = warm_calls * Able(s.at);
        const double bound = n + 2.0 * std::sqrt(n) + 2.0;
        ++tally.windows;
        // A fall is put down to those who knew of the start where they alone sent too much, or over two
        // thirds of what made it fall first; it stays down from then on.
        const bool theirs = of_notified > bound || (!down && of_notified > 2.0 / 3.0 * sent);
        down = down || sent > bound;
        tally.worst = std::max(tally.worst, (theirs ? sent : of_notified) / bound);
        tally.over += theirs && sent > bound;
        fell = fell || (theirs && sent > bound);
      }
      tally.fell += fell;
      const double mean_share = (1.0 + settings_.cold_capacity_share) / 2.0;
      tally.allowed += warm_calls * mean_share * settings_.warm_after / settings_.overload_window;
    }
    return tally;
  }

  std::mt19937_64 random_;
  Case what_;
  Settings settings_;
  std::vector<double> runs_, shares_;  // by class: the mean running time, the part of the jobs
  double mean_job_ = 0.0, slots_ = 0.0, spread_ = 0.0;
  bool exponential_ = false;
  std::vector<Node> nodes_;
  std::vector<Box> boxes_;
  std::priority_queue<Due> events_;
  std::uint64_t number_ = 0, next_id_ = 0;
  std::vector<double> jobs_;  // running time of each
  std::vector<int> attempts_;
  const Micros begin_ = 1000 * kSecond, start_ = 1010 * kSecond;
  Micros now_ = begin_, idle_from_ = begin_, idle_until_ = begin_;
};

Tally PlaySeeds(int nodes, bool uneven, Case what, int seeds) {
  Tally all;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Tally one = ColdFleet(nodes, uneven, what, seed).Play();
    if (one.fell > 0)
      one.Print("  seed " + std::to_string(seed));
    all.Add(one);
  }
  return all;
}

void NoneFalls(Case what, const std::string& name) {
  for (const int nodes : {3, 20, 30, 300}) {
    for (const bool uneven : {false, true}) {
      const int seeds = (what == Case::kMisled ? 30 : 8) / COLD_FLEET_SEEDS_PART;
      const Tally all = PlaySeeds(nodes, uneven, what, seeds);
      all.Print(name + ", " + std::to_string(nodes) + (uneven ? " uneven" : " even"));
      EXPECT_EQ(all.fell, 0) << nodes << " nodes, " << (uneven ? "uneven" : "even");
    }
  }
}

TEST(ColdFleet, NoneFallsInSteadyTraffic) { NoneFalls(Case::kSteady, "steady"); }
TEST(ColdFleet, NoneFallsInASurgeAfterAWindowWithoutJobs) { NoneFalls(Case::kSurge, "surge"); }
TEST(ColdFleet, NoneFallsWhereAllNodesHaveJustBegun) { NoneFalls(Case::kRestarted, "restarted"); }
TEST(ColdFleet, NoneFallsWhereTargetsSayLittleOfRunningTimes) { NoneFalls(Case::kMisled, "misled"); }

// The least favourable: each node knows the workers and the jobs exactly, nobody has had a job for a window,
// and then all have more than the worker may get.
TEST(ColdFleet, WhatNodesKeptAndTheNextWindowStayUnderTheBoundTogether) {
  for (const double mean_s : {0.1, 0.2, 0.4, 1.0}) {
    Settings s = BasicSettings();
    s.hedging = false;
    s.nodes = 300;
    s.overload_factor = 4.0;
    s.overload_window = 3 * kSecond;
    s.cold_capacity_share = 0.6;
    s.warm_after = 9 * kSecond;
    s.classes.resize(1);
    s.classes[0].target = static_cast<Micros>(mean_s * kSecond);
    s.tenants = {{"only", 1.0, 100.0 * s.nodes}};
    const double slots = 5.0;
    std::vector<Micros> sends;
    const Micros start = 1000 * kSecond, idle_until = start + 5 * kSecond;
    for (int node = 0; node < s.nodes; ++node) {
      Driver d(s, 100 + node);
      std::vector<WorkerEntry> workers = {Entry("warm"), Entry("cold")};
      workers[1].since = start;
      d.now = start - kSecond;
      d.List({workers[0]});
      d.Arrive(1, "repeatable");
      d.Start(1, 0);
      d.now += s.classes[0].target;
      AttemptEnded e;
      e.request = RequestId{1};
      e.request_ended = true;
      e.report.free_slots = slots;
      d.Do(e);
      d.now = start;
      d.List(workers);
      for (int id = 2; id < 50; ++id) {
        d.Advance(idle_until + (id - 2) * s.overload_window / 48);
        for (const Send& send : Only<Send>(d.Arrive(id, "repeatable", 5 * kSecond, 1, "only"))) {
          if (send.worker == "cold" && send.request == RequestId{static_cast<std::uint64_t>(id)})
            sends.push_back(d.now);
        }
      }
    }
    const double able = s.cold_capacity_share + (1.0 - s.cold_capacity_share) * 5.0 / 9.0;
    const double n = s.overload_factor * able * slots * s.overload_window / (mean_s * kSecond);
    std::printf("kept and used, N = %4.0f: %zu sent, bound %.0f\n", n, sends.size(),
                n + 2.0 * std::sqrt(n) + 2.0);
    EXPECT_LE(static_cast<double>(sends.size()), n + 2.0 * std::sqrt(n) + 2.0) << "N = " << n;
    EXPECT_GT(static_cast<double>(sends.size()), n / 4.0) << "N = " << n;  // and it is used
  }
}

}  // namespace
}  // namespace aldersill::dispatch::testing
