// A reducer without sockets: tests post events at given times and read the effects of the last one.
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

// The classes "safe", "keyed" with a window of a second, and "once", which is unsafe.
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

// Starts with a cached list of discovery's that holds the worker "a".
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

  // Every event comes `after` the one before.
  void Post(Event event, Micros after = kMillisecond) {
    now_ += after;
    effects_.clear();
    core_.Reduce(now_, std::move(event), &effects_);
  }

  // A request of HTTP client number `client`; an `id` is an idempotent one.
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

  void LeaveClient(std::uint64_t client, Micros after = kMillisecond) {
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

  // The effects of this type that the last event gave.
  template <typename T>
  std::vector<T> EffectsOf() const {
    std::vector<T> all;
    for (const Effect& effect : effects_) {
      if (const auto* one = std::get_if<T>(&effect))
        all.push_back(*one);
    }
    return all;
  }

  // The last event's only effect of this type.
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
