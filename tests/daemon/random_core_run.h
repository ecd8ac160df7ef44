// Generates random event sequences for the reducer that depend only on the seed.
#ifndef ALDERSILL_TESTS_DAEMON_RANDOM_CORE_RUN_H_
#define ALDERSILL_TESTS_DAEMON_RANDOM_CORE_RUN_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/reducer.h"
#include "deterministic_random.h"
#include "effect_digest.h"

namespace aldersill {

constexpr Micros kRandomRunStart = 1'000'000 * kSecond;
constexpr int kEventsPerRandomRun = 400;

// Runs one reducer and simulates its transports, timers, clients and discovery. Events are chosen at random,
// but mostly arrive in the order in which the daemon would post them.
class RandomCoreRun {
 public:
  explicit RandomCoreRun(std::uint64_t seed) : random_(seed), core_(RandomSettings()) {}

  std::uint64_t DigestOfRun() {
    PostEndpointList(EndpointListUpdate::Form::kCached, Source::kDiscovery);
    for (int event = 0; event < kEventsPerRandomRun; ++event)
      PostRandomEvent();
    digest_.Add(core_.counters());
    AddObservations();
    return digest_.value();
  }

 private:
  using Frontend = ClientRef::Frontend;
  using Source = WorkerEndpoint::Source;
  using State = WorkerEndpoint::State;

  struct OpenAttempt {
    AttemptId id{};
    Source source = Source::kDiscovery;
    bool connected = false;
    bool sent = false;
  };

  CoreSettings RandomSettings() {
    CoreSettings settings;
    settings.dispatcher.classes = {
        {.name = "safe", .target = 400'000, .deadline = 5 * kSecond, .repeat = dispatch::Repeat::kRepeatable},
        {.name = "keyed",
         .target = 400'000,
         .deadline = 5 * kSecond,
         .repeat = dispatch::Repeat::kKeyed,
         .window = (50 + static_cast<Micros>(random_.Below(2'000))) * kMillisecond},
        {.name = "zone",
         .target = 300'000,
         .deadline = 2 * kSecond,
         .priority_weight = 3.0,
         .repeat = dispatch::Repeat::kKeyed,
         .scope = dispatch::KeyScope::kZone,
         .window = kSecond},
        {.name = "once", .target = 400'000, .deadline = 3 * kSecond}};
    settings.dispatcher.zones = {"z1", "z2"};
    settings.dispatcher.zone = "z1";
    settings.dispatcher.subscribe = random_.Percent(90);
    settings.dispatcher.cancel = random_.Percent(70);
    settings.dispatcher.hedging = random_.Percent(50);
    settings.dispatcher.probes = random_.Percent(50);
    settings.dispatcher.reports_start = random_.Percent(50);
    settings.dispatcher.max_attempts = 1 + static_cast<int>(random_.Below(5));
    settings.dispatcher.retry_after = random_.Percent(70);
    settings.dispatcher.tenants = {{.name = "t", .quota_per_s = 1000.0}, {.name = "u", .quota_per_s = 5.0}};
    settings.seed = random_.Below(1'000);
    settings.has_discovery = random_.Percent(80);
    settings.dial_timeout = (50 + static_cast<Micros>(random_.Below(1'000))) * kMillisecond;
    settings.fetch_timeout = (100 + static_cast<Micros>(random_.Below(1'000))) * kMillisecond;
    return settings;
  }

  void PostRandomEvent() {
    const std::uint64_t choice = random_.Below(20);
    if (choice < 5)
      PostRequest();
    else if (choice < 12)
      PostAttemptEvent();
    else if (choice < 15)
      PostTimer();
    else if (choice == 15)
      PostClientLeft();
    else if (choice == 16)
      PostEndpointListEvent();
    else if (choice == 17)
      PostProbeOrAbandoned();
    else if (choice == 18)
      PostTransfer();
    else
      PostRareEvent();
  }

  Job RandomJob() {
    static const std::vector<std::string> kClasses{"safe", "keyed", "zone", "once"};
    Job job;
    job.job_class = random_.Percent(2) ? "unknown" : random_.Pick(kClasses);
    job.tenant = random_.Percent(80) ? "t" : "u";
    if (random_.Percent(30))
      job.subject = random_.Below(5);
    if (random_.Percent(60))
      job.id = "id" + std::to_string(random_.Below(random_.Percent(50) ? 6 : 1'000'000));
    job.has_idempotent_id = !job.id.empty() && random_.Percent(60);
    job.idempotency_key = random_.Percent(30) ? "key" : "";
    job.target = "/work";
    job.body = std::string(random_.Below(4), 'b');
    job.time_left = random_.Percent(5) ? static_cast<Micros>(random_.Below(2'000))
                                       : (20 + static_cast<Micros>(random_.Below(4'000))) * kMillisecond;
    if (random_.Percent(40))
      job.work = static_cast<Micros>(random_.Below(300)) * kMillisecond;
    job.slots = 1 + static_cast<int>(random_.Below(2));
    job.is_retry = random_.Percent(15);
    return job;
  }

  ClientRef NewClient() {
    const ClientRef client{random_.Percent(60) ? Frontend::kHttp : Frontend::kFaktory, next_client_++};
    clients_.push_back(client);
    return client;
  }

  void PostRequest() {
    RequestReceived request;
    request.client = NewClient();
    request.job = RandomJob();
    Post(std::move(request));
  }

  void PostClientLeft() {
    ClientLeft left;
    if (random_.Percent(5) || clients_.empty())
      left.client = {Frontend::kHttp, random_.Below(next_client_ + 5)};
    else
      left.client = random_.Pick(clients_);
    Post(std::move(left));
  }

  LoadReport RandomReport() {
    LoadReport report;
    if (random_.Percent(50)) {
      report.running_jobs = static_cast<double>(random_.Below(10));
      report.waiting = static_cast<double>(random_.Below(4));
      report.cpu_share = static_cast<double>(random_.Below(8)) / 8.0;
    }
    return report;
  }

  // Posts the next event of a random attempt: it connects, is sent, makes progress or ends. Some events are
  // out of order, and some belong to an attempt that is unknown or has ended.
  void PostAttemptEvent() {
    if (attempts_.empty() || random_.Percent(3))
      return PostAttemptEnded(AttemptId{random_.Below(40)});
    OpenAttempt& attempt = attempts_[random_.Below(attempts_.size())];
    if (!attempt.sent && random_.Percent(70)) {
      const bool connects = !std::exchange(attempt.connected, true);
      attempt.sent = !connects;
      if (connects)
        return Post(AttemptConnected{attempt.id});
      return Post(AttemptSent{attempt.id});
    }
    if (random_.Percent(25))
      return Post(
          AttemptProgress{attempt.id, random_.Percent(50), static_cast<double>(random_.Below(5)) / 4.0});
    PostAttemptEnded(attempt.id);
  }

  void PostAttemptEnded(AttemptId id) {
    static const std::vector<Outcome> kOutcomes{
        Outcome::kServed,    Outcome::kServed,   Outcome::kServed,        Outcome::kServed,
        Outcome::kError,     Outcome::kRejected, Outcome::kConnectFailed, Outcome::kLost,
        Outcome::kCancelled, Outcome::kTimeout,  Outcome::kNotSent};
    AttemptEnded ended;
    ended.attempt = id;
    ended.outcome = random_.Pick(kOutcomes);
    if (ended.outcome == Outcome::kServed)
      ended.result = "r" + std::to_string(random_.Below(10));
    ended.report = RandomReport();
    std::erase_if(attempts_, [id](const OpenAttempt& attempt) { return attempt.id == id; });
    Post(std::move(ended));
  }

  void PostTimer() {
    if (random_.Percent(4) || timers_.empty()) {
      const TimerKey unknown{static_cast<TimerKey::Kind>(random_.Below(4)), random_.Below(60),
                             DispatcherGeneration{random_.Below(3)}};
      return Post(TimerDue{unknown});
    }
    const auto due_earlier = [](const auto& left, const auto& right) { return left.second < right.second; };
    const auto next = std::ranges::min_element(timers_, due_earlier);
    const TimerKey key = next->first;
    const Micros late = random_.Percent(30) ? static_cast<Micros>(random_.Below(200)) * kMillisecond : 0;
    now_ = std::max(now_, next->second + late);
    timers_.erase(next);
    PostAt(now_, TimerDue{key});
  }

  WorkerEndpoint RandomWorker(Source source) {
    const std::uint64_t number = random_.Below(5);
    WorkerEndpoint worker;
    worker.name = (source == Source::kSession ? "s" : "w") + std::to_string(number);
    worker.address = random_.Percent(90) ? worker.name + ":1" : "";
    worker.zone = number % 2 == 0 ? "z1" : "z2";
    worker.cell = static_cast<int>(number % 3);
    worker.state = random_.Percent(75)   ? State::kReady
                   : random_.Percent(60) ? State::kDraining
                                         : State::kGone;
    worker.weight = random_.Percent(80) ? 1.0 : 2.0;
    if (random_.Percent(20))
      worker.started = now_ - static_cast<Micros>(random_.Below(40)) * kSecond;
    worker.source = source;
    return worker;
  }

  void PostEndpointList(EndpointListUpdate::Form form, Source source) {
    EndpointListUpdate update;
    update.form = form;
    update.source = source;
    const bool complete =
        form == EndpointListUpdate::Form::kSnapshot || form == EndpointListUpdate::Form::kCached;
    const std::uint64_t count = complete ? random_.Below(6) : 1 + random_.Below(2);
    for (std::uint64_t worker = 0; worker < count; ++worker)
      update.workers.push_back(RandomWorker(source));
    Post(std::move(update));
  }

  void PostEndpointListEvent() {
    using Form = EndpointListUpdate::Form;
    static const std::vector<Form> kForms{Form::kDelta, Form::kDelta, Form::kSnapshot, Form::kCached,
                                          Form::kDeltaFromPreviousSource};
    switch (random_.Below(10)) {
      case 0:
        return Post(EndpointListWatchFailed{});
      case 1:
        return Post(EndpointListLease{EndpointListLease::kUnlimited});
      case 2:
        return Post(EndpointListLease{static_cast<Micros>(random_.Below(4)) * kSecond});
      case 3:
        return Post(EndpointListLease{3 * kSecond});
      case 4:
      case 5:
      case 6:
        return PostEndpointList(Form::kDelta, Source::kSession);
      default:
        return PostEndpointList(random_.Pick(kForms), Source::kDiscovery);
    }
  }

  void PostProbeOrAbandoned() {
    if (!stopped_.empty() && random_.Percent(60)) {
      const AttemptId id = random_.Pick(stopped_);
      std::erase(stopped_, id);
      return Post(AbandonedAttemptEnded{id});
    }
    ProbeCompleted completed;
    completed.worker = probed_.empty() || random_.Percent(10) ? "w" + std::to_string(random_.Below(6))
                                                              : random_.Pick(probed_);
    completed.outcome = random_.Percent(70) ? Outcome::kServed : Outcome::kConnectFailed;
    completed.elapsed = static_cast<Micros>(random_.Below(100)) * kMillisecond;
    completed.report = RandomReport();
    Post(std::move(completed));
  }

  void PostTransfer() {
    if (random_.Percent(50)) {
      JobReceived received;
      received.client = {Frontend::kHttp, next_client_++};
      clients_.push_back(received.client);
      received.job = RandomJob();
      received.worker = "w" + std::to_string(random_.Below(5));
      received.may_have_run = random_.Percent(50);
      received.transfer_number = random_.Below(100);
      return Post(std::move(received));
    }
    AddObservations();
    const std::vector<InFlightJob> jobs = core_.InFlightJobs();
    if (!jobs.empty())
      return Post(JobTransferred{random_.Pick(jobs).client});
    if (!clients_.empty())
      Post(JobTransferred{random_.Pick(clients_)});
  }

  void PostRareEvent() {
    static const std::vector<int> kStatuses{400, 405, 408, 413, 431, 503};
    switch (random_.Below(6)) {
      case 0:
        return Post(SettingsRefused{});
      case 1: {
        SettingsChanged changed;
        changed.settings = RandomSettings();
        changed.settings.dispatcher_changed = random_.Percent(70);
        if (!changed.settings.dispatcher_changed)
          changed.settings.dispatcher = last_dispatcher_settings_;
        else if (random_.Percent(30))
          changed.settings.dispatcher.classes.erase(changed.settings.dispatcher.classes.begin());
        last_dispatcher_settings_ = changed.settings.dispatcher;
        return Post(std::move(changed));
      }
      case 2:
        return Post(RequestRejectedByFrontend{Frontend::kHttp, random_.Pick(kStatuses), "bad", ""});
      default: {
        // Drawn in statements of their own: C++ leaves the order of the operands of + open.
        const std::string number = std::to_string(random_.Below(5));
        const std::string name = (random_.Percent(80) ? "w" : "s") + number;
        return Post(WorkerBanned{name, random_.Percent(50)});
      }
    }
  }

  void Post(Event event) {
    now_ += random_.Percent(10) ? static_cast<Micros>(random_.Below(500)) * kMillisecond
                                : static_cast<Micros>(random_.Below(20'000));
    PostAt(random_.Percent(2) ? now_ - kSecond : now_, std::move(event));
  }

  void PostAt(Micros now, Event event) {
    std::vector<Effect> effects;
    core_.Reduce(now, std::move(event), &effects);
    digest_.Add(effects.size());
    for (const Effect& effect : effects) {
      digest_.Add(effect);
      std::visit([this](const auto& typed_effect) { Track(typed_effect); }, effect);
    }
  }

  void Track(const StartAttempt& start) {
    attempts_.push_back({.id = start.attempt, .source = start.source});
  }
  void Track(const ResumeAttempt& resume) {
    attempts_.push_back({.id = resume.attempt, .connected = true, .sent = true});
  }
  void Track(const StopAttempt& stop) {
    // Events of an attempt may still arrive after the core has stopped it.
    if (random_.Percent(90))
      std::erase_if(attempts_, [&](const OpenAttempt& attempt) { return attempt.id == stop.attempt; });
    if (stop.source == Source::kSession)
      stopped_.push_back(stop.attempt);
  }
  void Track(const SetTimer& timer) { timers_[timer.key] = now_ + timer.delay; }
  void Track(const ClearTimer& timer) {
    if (random_.Percent(98))
      timers_.erase(timer.key);
  }
  void Track(const ProbeWorker& probe) { probed_.push_back(probe.worker); }
  void Track(const Answer& answer) {
    if (random_.Percent(95))
      std::erase(clients_, answer.client);
  }
  void Track(const SendAttempt&) {}
  void Track(const WatchEndpointList&) {}
  void Track(const LogLine&) {}
  void Track(const JobIdClosed&) {}

  // Adds the state that the daemon reads from the reducer between events.
  void AddObservations() {
    const std::vector<InFlightJob> jobs = core_.InFlightJobs();
    digest_.Add(jobs.size());
    for (const InFlightJob& job : jobs)
      digest_.Add(job);
    digest_.Add(core_.IsIdle());
    digest_.Add(core_.AvoidedWorkers());
    digest_.Add(core_.ListConfirmed());
    for (const auto& [name, worker] : core_.endpoints()) {
      digest_.Add(name);
      digest_.Add(worker.address);
      digest_.Add(worker.state);
      digest_.Add(worker.started);
      digest_.Add(worker.source);
    }
    for (int number = 0; number < 5; ++number)
      digest_.Add(core_.IsKnownWorker("w" + std::to_string(number)));
    for (const std::string& name : core_.banned())
      digest_.Add(name);
  }

  DeterministicRandom random_;
  dispatch::Settings last_dispatcher_settings_ = RandomSettings().dispatcher;
  Reducer core_;
  EffectDigest digest_;
  Micros now_ = kRandomRunStart;
  std::uint64_t next_client_ = 1;
  std::vector<ClientRef> clients_;  // mostly clients without an answer yet
  std::vector<OpenAttempt> attempts_;
  std::vector<AttemptId> stopped_;  // attempts at sessions, which cannot be told to stop
  std::vector<std::string> probed_;
  std::map<TimerKey, Micros> timers_;
};

}  // namespace aldersill

#endif  // ALDERSILL_TESTS_DAEMON_RANDOM_CORE_RUN_H_
