// Runs a reducer without sockets: tests post events at chosen times and read the effects of the last event.
#ifndef ALDERSILL_TESTS_DAEMON_REDUCER_HARNESS_H_
#define ALDERSILL_TESTS_DAEMON_REDUCER_HARNESS_H_

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/reducer.h"

namespace aldersill {

constexpr Micros kTestStart = 1'000'000 * kSecond;

// Returns settings with three classes: "safe" may be repeated, "keyed" may be repeated within a window of one
// second, and "once" is unsafe, so it must not be repeated.
inline CoreSettings TestSettings() {
  CoreSettings settings;
  settings.dispatcher.classes = {
      {.name = "safe", .target = 400'000, .deadline = 5 * kSecond, .repeat = dispatch::Repeat::kRepeatable},
      {.name = "keyed",
       .target = 400'000,
       .deadline = 5 * kSecond,
       .repeat = dispatch::Repeat::kKeyed,
       .window = kSecond},
      {.name = "once", .target = 400'000, .deadline = 5 * kSecond}};
  settings.dispatcher.subscribe = true;
  settings.dispatcher.cancel = true;
  settings.dispatcher.max_attempts = 5;
  settings.dispatcher.retry_after = true;
  settings.dispatcher.tenants = {{.name = "t", .quota_per_s = 1000.0}};
  return settings;
}

inline TimerKey TimerOf(AttemptId attempt, TimerKey::Kind kind) {
  return {.kind = kind, .id = static_cast<std::uint64_t>(attempt)};
}

// Starts with a cached endpoint list that contains the worker "a".
class ReducerHarness {
 public:
  explicit ReducerHarness(CoreSettings settings = TestSettings()) : core_(std::move(settings)) {
    UpdateEndpoints(EndpointListUpdate::Form::kCached, {Worker("a")});
  }

  static WorkerEndpoint Worker(const std::string& name,
                               WorkerEndpoint::State state = WorkerEndpoint::State::kReady) {
    WorkerEndpoint worker;
    worker.name = name;
    worker.address = name + ":1";
    worker.state = state;
    return worker;
  }

  // Posts an event `after` microseconds after the previous one.
  void Post(Event event, Micros after = kMillisecond) {
    now_ += after;
    effects_.clear();
    core_.Reduce(now_, std::move(event), &effects_);
  }

  // Posts a request of HTTP client number `client`. A non-empty `id` is an idempotent id.
  void Request(std::uint64_t client, const std::string& job_class, const std::string& id = "",
               Micros time_left = kSecond) {
    Job job;
    job.id = id;
    job.has_idempotent_id = !id.empty();
    job.job_class = job_class;
    job.tenant = "t";
    job.time_left = time_left;
    Post(RequestReceived{.client = HttpClient(client), .job = std::move(job)});
  }

  void PostClientLeft(std::uint64_t client, Micros after = kMillisecond) {
    Post(ClientLeft{.client = HttpClient(client)}, after);
  }

  void EndAttempt(AttemptId attempt, Outcome outcome, const std::string& result = "",
                  Micros after = kMillisecond) {
    Post(AttemptEnded{.attempt = attempt, .outcome = outcome, .result = result, .report = {}}, after);
  }

  void UpdateEndpoints(EndpointListUpdate::Form form, std::vector<WorkerEndpoint> workers,
                       WorkerEndpoint::Source source = WorkerEndpoint::Source::kDiscovery) {
    Post(EndpointListUpdate{.form = form, .source = source, .workers = std::move(workers)});
  }

  // Returns the effects of type T that the last event produced.
  template <typename T>
  std::vector<T> EffectsOf() const {
    std::vector<T> matches;
    for (const Effect& effect : effects_) {
      if (const auto* match = std::get_if<T>(&effect))
        matches.push_back(*match);
    }
    return matches;
  }

  // Returns the last event's effect of type T. Requires that there is exactly one.
  template <typename T>
  T Single() const {
    REQUIRE(EffectsOf<T>().size() == 1);
    return EffectsOf<T>().front();
  }

  Reducer& core() { return core_; }

 private:
  static ClientRef HttpClient(std::uint64_t number) {
    return {.frontend = ClientRef::Frontend::kHttp, .number = number};
  }

  Reducer core_;
  Micros now_ = kTestStart;
  std::vector<Effect> effects_;
};

}  // namespace aldersill

#endif  // ALDERSILL_TESTS_DAEMON_REDUCER_HARNESS_H_
