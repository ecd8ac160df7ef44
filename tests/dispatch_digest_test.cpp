// Compares the dispatcher's actions on generated event sequences with recorded digests. This detects any
// change of its decisions by a refactoring. Each seed draws settings and a small simulated fleet; its digest
// is a 64-bit FNV-1a hash over every field of every action.
//
// To record new digests after an intended change of decisions, run
// ALDERSILL_RECORD_DISPATCH_DIGESTS=1 dispatch_digest_test
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::dispatch::testing {
namespace {

constexpr std::uint64_t kSeeds = 2000;
constexpr int kEventsPerSeed = 400;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kStartTime = 1000 * kSecond;

// Draws numbers by integer arithmetic on the raw output of a standard engine, so that all platforms draw the
// same.
class RandomDraws {
 public:
  explicit RandomDraws(std::uint64_t seed) : engine_(seed) {}
  // In [0, below).
  std::int64_t Below(std::int64_t below) {
    return static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(below));
  }
  // In [low, high].
  std::int64_t Between(std::int64_t low, std::int64_t high) { return low + Below(high - low + 1); }
  bool OneIn(std::int64_t count) { return Below(count) == 0; }
  double Hundredths(std::int64_t low, std::int64_t high) {
    return static_cast<double>(Between(low, high)) / 100.0;
  }

 private:
  std::mt19937_64 engine_;
};

// The FNV-1a hash of the values added so far.
class Digest {
 public:
  void Add(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8)
      AddByte(static_cast<unsigned char>(value >> shift));
  }
  void Add(const std::string& text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const char character : text)
      AddByte(static_cast<unsigned char>(character));
  }
  void Add(const Action& action) {
    Add(static_cast<std::uint64_t>(action.index()));
    std::visit([this](const auto& fields) { AddFields(fields); }, action);
  }
  std::uint64_t value() const { return hash_; }

 private:
  void AddByte(unsigned char byte) { hash_ = (hash_ ^ byte) * 0x100000001b3ULL; }
  void Add(RequestId id) { Add(static_cast<std::uint64_t>(id)); }
  void Add(Micros time) { Add(static_cast<std::uint64_t>(time)); }
  void AddFields(const Send& send) {
    Add(send.request);
    Add(send.worker);
    Add(send.give_up_at);
    Add(send.start_by);
  }
  void AddFields(const Cancel& cancel) {
    Add(cancel.request);
    Add(static_cast<std::uint64_t>(cancel.attempt_number));
  }
  void AddFields(const Reject& rejection) {
    Add(rejection.request);
    Add(rejection.retry_after);
  }
  void AddFields(const Fail& failure) { Add(failure.request); }
  void AddFields(const SetTimer& timer) {
    Add(timer.delay);
    Add(timer.token);
  }
  void AddFields(const Probe& probe) { Add(probe.worker); }
  void AddFields(const SubscribeList& /*subscribe*/) {}
  void AddFields(const Log& log) { Add(log.text); }

  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
};

// ---- Settings ----

ClassSettings DrawClass(RandomDraws* draws, std::string name, int kinds) {
  ClassSettings job_class;
  job_class.name = std::move(name);
  job_class.target = draws->Between(20, 2'000) * 1'000;
  job_class.deadline = job_class.target * draws->Between(2, 20);
  job_class.stretch = draws->Hundredths(0, 300);
  job_class.priority_weight = draws->Hundredths(0, 1'000);
  job_class.late_priority_weight = draws->Hundredths(0, 100);
  job_class.repeat = static_cast<Repeat>(draws->Below(3));
  job_class.scope = static_cast<KeyScope>(draws->Below(3));
  job_class.window = draws->Between(100, 5'000) * 1'000;
  job_class.streaming = draws->OneIn(4);
  job_class.kind = static_cast<int>(draws->Between(-1, kinds - 1));
  job_class.priority = static_cast<int>(draws->Below(3));
  return job_class;
}

Settings DrawSettings(RandomDraws* draws) {
  Settings settings;
  const char* const kKinds[] = {"box", "crate", "drum"};
  const char* const kZones[] = {"near", "far", "farther"};
  const int kinds = static_cast<int>(draws->Between(1, 3));
  const int zones = static_cast<int>(draws->Between(1, 3));
  settings.kinds.assign(kKinds, kKinds + kinds);
  settings.zones.assign(kZones, kZones + zones);
  settings.zone = draws->OneIn(8) ? "" : settings.zones[draws->Below(zones)];
  const int classes = static_cast<int>(draws->Between(1, 4));
  for (int i = 0; i < classes; ++i)
    settings.classes.push_back(DrawClass(draws, "class" + std::to_string(i), kinds));
  const int tenants = static_cast<int>(draws->Below(4));
  const bool quotas = draws->OneIn(2);
  for (int i = 0; i < tenants; ++i) {
    TenantSettings& tenant = settings.tenants.emplace_back();
    tenant.name = "tenant" + std::to_string(i);
    tenant.share = draws->Hundredths(1, 300);
    if (quotas)
      tenant.quota_per_s = draws->Hundredths(10, 20'000);
  }
  settings.nodes = static_cast<int>(draws->OneIn(3) ? draws->Between(2, 200) : draws->Between(1, 4));
  settings.priority_weight_by_work = draws->OneIn(2);
  settings.subscribe = draws->OneIn(2);
  settings.reports_start = draws->OneIn(2);
  settings.progress = draws->OneIn(2) ? 0 : 100'000;
  settings.reports = static_cast<Settings::Reports>(draws->Below(3));
  settings.probes = draws->OneIn(2);
  settings.cancel = draws->OneIn(2);
  settings.hedging = draws->OneIn(2);
  settings.retry_after = draws->OneIn(2);
  settings.max_attempts = static_cast<int>(draws->Between(1, 4));
  settings.max_retry_after = draws->Between(100, 10'000) * 1'000;
  settings.answer_slack = draws->Between(0, 100) * 1'000;
  settings.drain_grace = draws->Between(0, 1'000) * 1'000;
  settings.max_list_poll_interval = draws->Between(1, 60) * kSecond;
  settings.overload_factor = draws->Hundredths(50, 400);
  settings.overload_window = draws->Between(100, 5'000) * 1'000;
  settings.cold_capacity_share = draws->Hundredths(0, 100);
  settings.warm_after = draws->Between(0, 60) * kSecond;
  settings.price_cross_zone = draws->Hundredths(0, 50);
  settings.price_probe = draws->Hundredths(0, 10);
  return settings;
}

// Sets the options that decide which parts of the module run, as in four kinds of deployment. Profiles from 4
// on keep the drawn settings.
void ApplyProfile(std::uint64_t profile, Settings* settings) {
  using Reports = Settings::Reports;
  const auto keyed = [settings](KeyScope scope) {
    for (ClassSettings& job_class : settings->classes) {
      job_class.repeat = Repeat::kKeyed;
      job_class.scope = scope;
    }
  };
  switch (profile) {
    case 0:  // neither probes nor load reports
      settings->probes = false;
      settings->reports = Reports::kNone;
      settings->reports_start = false;
      settings->max_attempts = 3;
      break;
    case 1:  // load reports with answers, idempotency keys
      settings->probes = false;
      settings->reports = Reports::kWithAnswers;
      settings->max_attempts = 3;
      keyed(KeyScope::kCell);
      break;
    case 2:  // load reports by probes alone, tenants with quotas
      settings->probes = true;
      settings->reports = Reports::kProbesOnly;
      settings->retry_after = true;
      settings->tenants = {{"tenant0", 0.5, 30.0}, {"tenant1", 0.3, 20.0}, {"tenant2", 0.2, 5.0}};
      break;
    case 3:  // watched endpoint list, starts are reported, hedging and cancellation are allowed
      settings->subscribe = true;
      settings->reports_start = true;
      settings->hedging = true;
      settings->cancel = true;
      settings->max_attempts = 3;
      keyed(KeyScope::kAll);
      break;
    default:
      break;
  }
}

// ---- A small fleet and its clients ----

// Passes events to one dispatcher and schedules the events that result from its actions.
class Playback {
 public:
  explicit Playback(std::uint64_t seed)
      : draws_(seed), settings_(MakeSettings(seed, &draws_)), dispatcher_(settings_, seed) {
    workers_ = static_cast<int>(draws_.Between(3, 40));
    mean_gap_ = draws_.Between(1, 10) * (draws_.OneIn(2) ? 1'000 : 20'000);
    mean_run_time_ = settings_.classes.front().target / draws_.Between(1, 10) + 1'000;
    failure_interval_ = draws_.Between(3, 40);
  }

  // Runs the sequence and returns its digest.
  std::uint64_t Run() {
    Schedule(0, DrawList(WorkerList::Form::kFull));
    Arrival first = MakeArrival();
    Schedule(draws_.Below(mean_gap_), std::move(first));
    for (int played = 0; played < kEventsPerSeed && !queue_.empty(); ++played) {
      const Scheduled next = queue_.top();
      queue_.pop();
      now_ = next.at;
      Play(events_[next.event]);
    }
    for (int i = 0; i < workers_; ++i)
      digest_.Add(static_cast<std::uint64_t>(dispatcher_.IsEjected(WorkerName(i))));
    return digest_.value();
  }
  // The number of actions by the index of their alternative in Action.
  const std::vector<std::uint64_t>& action_counts() const { return action_counts_; }

 private:
  struct Scheduled {
    Micros at;
    std::size_t event;  // index into events_; orders events of the same time
    bool operator<(const Scheduled& other) const {
      return std::tie(at, event) > std::tie(other.at, other.event);
    }
  };
  struct SentAttempt {
    bool ended = false;
  };
  struct SentRequest {
    std::vector<SentAttempt> attempts;
    bool ended = false;
  };

  static Settings MakeSettings(std::uint64_t seed, RandomDraws* draws) {
    Settings settings = DrawSettings(draws);
    ApplyProfile(seed % 8, &settings);
    return settings;
  }
  static std::string WorkerName(std::int64_t index) { return "worker" + std::to_string(index); }

  void Schedule(Micros delay, Event event) {
    queue_.push({now_ + delay, events_.size()});
    events_.push_back(std::move(event));
  }

  void Play(const Event& scheduled) {
    Event event = scheduled;
    if (auto* end = std::get_if<AttemptEnded>(&event)) {
      if (!PrepareEnd(end))
        return;
    }
    if (std::holds_alternative<Arrival>(event))
      ScheduleNext();
    if (const auto* gone = std::get_if<ClientGone>(&event))
      requests_[gone->request].ended = true;
    actions_.clear();
    dispatcher_.Handle(now_, event, &actions_);
    for (const Action& action : actions_) {
      digest_.Add(action);
      ++action_counts_[action.index()];
      std::visit([this](const auto& fields) { CarryOut(fields); }, action);
    }
    digest_.Add(static_cast<std::uint64_t>(actions_.size()));
  }

  // Marks the attempt as ended and sets `request_ended`. Returns false if the attempt has already ended.
  bool PrepareEnd(AttemptEnded* end) {
    SentRequest& request = requests_[end->request];
    if (std::exchange(request.attempts[end->attempt_number].ended, true))
      return false;
    request.ended = request.ended || end->outcome == Outcome::kServed;
    end->request_ended = request.ended;
    return true;
  }

  // Schedules the next arrival and, at random, a change of the worker list or a client that disconnects. Each
  // event is drawn before its delay, in a statement of its own: C++ leaves the order of a call's arguments
  // open.
  void ScheduleNext() {
    // Every third block of 40 arrivals is a surge.
    const std::int64_t rate_factor = (arrivals_ / 40) % 3 == 1 ? 8 : 1;
    Arrival next = MakeArrival();
    Schedule(draws_.Below(2 * mean_gap_ / rate_factor + 1), std::move(next));
    if (draws_.OneIn(12)) {
      const ClientGone gone{RequestId{static_cast<std::uint64_t>(draws_.Between(1, arrivals_))}};
      Schedule(draws_.Below(mean_gap_), gone);
    }
    if (!draws_.OneIn(10))
      return;
    const WorkerList::Form kForms[] = {WorkerList::Form::kDelta, WorkerList::Form::kDelta,
                                       WorkerList::Form::kFull, WorkerList::Form::kCached,
                                       WorkerList::Form::kFailed};
    WorkerList list = DrawList(kForms[draws_.Below(5)]);
    Schedule(draws_.Below(mean_gap_), std::move(list));
  }

  Arrival MakeArrival() {
    ++arrivals_;
    const std::int64_t classes = std::ssize(settings_.classes);
    const std::int64_t drawn = draws_.Below(classes);
    Arrival arrival;
    arrival.request = RequestId{static_cast<std::uint64_t>(arrivals_)};
    arrival.job_class = draws_.OneIn(50) ? "unknown" : settings_.classes[drawn].name;
    if (!settings_.tenants.empty() && !draws_.OneIn(20))
      arrival.tenant = settings_.tenants[draws_.Below(std::ssize(settings_.tenants))].name;
    if (draws_.OneIn(2))
      arrival.key = static_cast<std::uint64_t>(draws_.Below(draws_.OneIn(2) ? 3 : 100));
    const Micros deadline = settings_.classes[drawn].deadline;
    arrival.time_left = draws_.OneIn(100) ? 0 : deadline / 2 + draws_.Below(deadline);
    if (draws_.OneIn(3))
      arrival.work = mean_run_time_;
    arrival.slots = draws_.OneIn(4) ? static_cast<int>(draws_.Between(2, 4)) : 1;
    arrival.is_retry = draws_.OneIn(10);
    return arrival;
  }

  WorkerList DrawList(WorkerList::Form form) {
    WorkerList list{form, {}};
    if (form == WorkerList::Form::kFailed)
      return list;
    const bool delta = form == WorkerList::Form::kDelta;
    for (int i = 0; i < workers_; ++i) {
      if (delta ? !draws_.OneIn(6) : draws_.OneIn(12))
        continue;
      WorkerEntry& entry = list.workers.emplace_back();
      entry.worker = WorkerName(i);
      if (draws_.OneIn(8))
        entry.state = static_cast<WorkerEntry::State>(draws_.Below(3));
      entry.weight = i % 5 == 0 ? 4.0 : 1.0;
      entry.kind = i % 11 == 10 ? "unlisted" : settings_.kinds[i % settings_.kinds.size()];
      entry.zone = i % 13 == 12 ? "unlisted" : settings_.zones[i / 2 % settings_.zones.size()];
      entry.cell = i % 4;
      if (draws_.OneIn(5))
        entry.since = now_ - draws_.Below(settings_.warm_after + 10 * kSecond);
    }
    return list;
  }

  LoadReport DrawReport() {
    LoadReport report;
    switch (draws_.Below(5)) {
      case 0:
        report.free_slots = draws_.Hundredths(-100, 600);
        break;
      case 1:
        report.running_jobs = draws_.Hundredths(0, 600);
        report.waiting = draws_.Hundredths(0, 300);
        break;
      case 2:
        report.cpu_share = draws_.Hundredths(0, 100);
        break;
      case 3:
        report.free_slots = draws_.Hundredths(0, 600);
        report.served_per_s = draws_.Hundredths(0, 100);
        report.errors_per_s = draws_.Hundredths(0, 100);
        report.service_ms = draws_.Hundredths(0, 10'000);
        break;
      default:
        break;
    }
    return report;
  }

  Outcome DrawOutcome() {
    if (!draws_.OneIn(failure_interval_))
      return Outcome::kServed;
    return static_cast<Outcome>(draws_.Between(1, 7));
  }

  // ---- Carrying out actions ----

  void CarryOut(const Send& send) {
    SentRequest& request = requests_[send.request];
    const int number = static_cast<int>(request.attempts.size());
    request.attempts.emplace_back();
    const Micros delay =
        draws_.OneIn(4) ? draws_.Below(4 * mean_run_time_) : draws_.Below(mean_run_time_ / 4 + 1);
    if (draws_.OneIn(15))
      return;  // the worker never answers, unless the attempt is cancelled
    const Outcome outcome = DrawOutcome();
    const bool runs =
        outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
    if (runs && settings_.reports_start)
      Schedule(delay, Progress{send.request, number, true, 0.0});
    const Micros ran = runs ? draws_.Below(2 * mean_run_time_) : 0;
    if (runs && draws_.OneIn(10))
      Schedule(delay + ran / 2, StreamStarted{send.request, number});
    if (runs && settings_.progress > 0 && draws_.OneIn(4))
      Schedule(delay + ran / 2, Progress{send.request, number, false, 0.5});
    AttemptEnded end;
    end.request = send.request;
    end.attempt_number = number;
    end.outcome = outcome;
    end.elapsed = delay + ran;
    if (settings_.reports == Settings::Reports::kWithAnswers)
      end.report = DrawReport();
    Schedule(delay + ran, end);
  }
  void CarryOut(const Cancel& cancel) {
    AttemptEnded end;
    end.request = cancel.request;
    end.attempt_number = cancel.attempt_number;
    end.outcome = Outcome::kCancelled;
    Schedule(draws_.Below(20'000), end);
  }
  void CarryOut(const Reject& rejection) { requests_[rejection.request].ended = true; }
  void CarryOut(const Fail& failure) { requests_[failure.request].ended = true; }
  void CarryOut(const SetTimer& timer) { Schedule(timer.delay, TimerFired{timer.token}); }
  void CarryOut(const Probe& probe) {
    if (draws_.OneIn(8))
      return;
    ProbeDone done;
    done.worker = probe.worker;
    done.outcome = DrawOutcome();
    done.elapsed = draws_.Below(400'000);
    done.report = DrawReport();
    Schedule(done.elapsed, done);
  }
  void CarryOut(const SubscribeList& /*subscribe*/) {
    if (draws_.OneIn(4))
      return;
    const bool fails = draws_.OneIn(3);
    WorkerList list = DrawList(fails ? WorkerList::Form::kFailed : WorkerList::Form::kFull);
    Schedule(draws_.Below(100'000), std::move(list));
  }
  void CarryOut(const Log& /*log*/) {}

  RandomDraws draws_;
  Settings settings_;
  Dispatcher dispatcher_;
  Digest digest_;
  Micros now_ = kStartTime;
  int workers_ = 0;
  Micros mean_gap_ = 0;  // mean time between arrivals outside surges
  Micros mean_run_time_ = 0;
  std::int64_t failure_interval_ = 0;  // on average one attempt in this number fails
  std::int64_t arrivals_ = 0;
  std::map<RequestId, SentRequest> requests_;
  std::vector<Event> events_;
  std::priority_queue<Scheduled> queue_;
  std::vector<Action> actions_;
  std::vector<std::uint64_t> action_counts_ = std::vector<std::uint64_t>(std::variant_size_v<Action>);
};

std::string RecordedPath() {
  return std::string(ALDERSILL_SOURCE_DIR) + "/tests/recorded/dispatch_digests.txt";
}

std::string ToHex(std::uint64_t value) {
  const char* const kDigits = "0123456789abcdef";
  std::string hex(16, '0');
  for (auto digit = hex.rbegin(); digit != hex.rend(); ++digit, value >>= 4)
    *digit = kDigits[value & 15];
  return hex;
}

TEST(DispatchDigest, ActionsEqualTheRecordedOnes) {
  if (std::getenv("ALDERSILL_RECORD_DISPATCH_DIGESTS") != nullptr) {
    std::ofstream recorded(RecordedPath());
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
      recorded << ToHex(Playback(seed).Run()) << '\n';
    FAIL() << "recorded " << kSeeds << " digests: run again without ALDERSILL_RECORD_DISPATCH_DIGESTS";
  }
  std::ifstream recorded(RecordedPath());
  std::vector<std::string> expected;
  for (std::string line; std::getline(recorded, line);)
    expected.push_back(line);
  ASSERT_EQ(expected.size(), kSeeds);
  std::uint64_t first = 0;
  std::uint64_t differing = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; seed += DISPATCH_DIGEST_STRIDE) {
    if (ToHex(Playback(seed).Run()) == expected[seed - 1])
      continue;
    first = first == 0 ? seed : first;
    ++differing;
  }
  EXPECT_EQ(differing, 0u) << "the first seed that differs: " << first;
}

// The digests cover a kind of action only if it is frequent in the sequences.
TEST(DispatchDigest, EveryKindOfActionIsFrequent) {
  std::vector<std::uint64_t> counts(std::variant_size_v<Action>);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Playback playback(seed);
    playback.Run();
    for (std::size_t kind = 0; kind < counts.size(); ++kind)
      counts[kind] += playback.action_counts()[kind];
  }
  for (std::size_t kind = 0; kind < counts.size(); ++kind)
    EXPECT_GE(counts[kind], 20u) << "kind " << kind;
}

TEST(DispatchDigest, SameSeedGivesTheSameDigestAndAnotherSeedAnother) {
  EXPECT_EQ(Playback(7).Run(), Playback(7).Run());
  EXPECT_NE(Playback(7).Run(), Playback(15).Run());
}

}  // namespace
}  // namespace aldersill::dispatch::testing
