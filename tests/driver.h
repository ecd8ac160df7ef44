// Test helper that passes events to one dispatcher and records the actions it returns.
#ifndef ALDERSILL_TESTS_DRIVER_H_
#define ALDERSILL_TESTS_DRIVER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::dispatch::testing {

constexpr Micros kSecond = 1'000'000;

inline WorkerEntry Entry(const std::string& name, const std::string& zone = "near", int cell = 0,
                         const std::string& kind = "box") {
  WorkerEntry entry;
  entry.worker = name;
  entry.kind = kind;
  entry.zone = zone;
  entry.cell = cell;
  return entry;
}

// The names of the classes in BasicSettings().
constexpr const char* kClasses[] = {"repeatable", "keyed", "unsafe"};

inline LoadReport ReportOfFreeSlots(double free_slots) {
  LoadReport report;
  report.free_slots = free_slots;
  return report;
}

// One class of each Repeat value, two worker kinds, two zones and no tenants; cancelling and hedging are
// allowed.
inline Settings BasicSettings() {
  Settings settings;
  for (const Repeat repeat : {Repeat::kRepeatable, Repeat::kKeyed, Repeat::kUnsafe}) {
    ClassSettings job_class;
    job_class.name = repeat == Repeat::kRepeatable ? "repeatable"
                     : repeat == Repeat::kKeyed    ? "keyed"
                                                   : "unsafe";
    job_class.repeat = repeat;
    job_class.scope = KeyScope::kCell;
    job_class.window = 2 * kSecond;
    job_class.target = kSecond / 5;
    job_class.deadline = 5 * kSecond;
    job_class.stretch = 2.0;
    settings.classes.push_back(job_class);
  }
  settings.kinds = {"box", "crate"};
  settings.zones = {"near", "far"};
  settings.zone = "near";
  settings.reports_start = true;
  settings.cancel = true;
  settings.hedging = true;
  settings.max_attempts = 3;
  settings.drain_grace = kSecond / 2;
  settings.warm_after = 20 * kSecond;
  settings.reports = Settings::Reports::kWithAnswers;
  return settings;
}

// A dispatcher with a clock of its own.
class Driver {
 public:
  explicit Driver(Settings settings, std::uint64_t seed = 1) : dispatcher_(std::move(settings), seed) {}

  // Handles one event at time `now` and returns the resulting actions. Advance() fires the timers among them.
  std::vector<Action> Do(const Event& event) {
    std::vector<Action> actions;
    dispatcher_.Handle(now, event, &actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(now + timer->delay, timer->token);
      all.push_back(action);
    }
    return actions;
  }

  // Moves the clock to `until`, fires the timers that are due by then, and returns the resulting actions.
  std::vector<Action> Advance(Micros until) {
    std::vector<Action> actions;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [due, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = due;
      const auto more = Do(TimerFired{token});
      actions.insert(actions.end(), more.begin(), more.end());
    }
    now = until;
    return actions;
  }

  // Passes a worker list.
  std::vector<Action> List(std::vector<WorkerEntry> workers,
                           WorkerList::Form form = WorkerList::Form::kFull) {
    return Do(WorkerList{form, std::move(workers)});
  }

  // Reports the arrival of a job.
  std::vector<Action> Arrive(int id, const std::string& job_class, Micros time_left = 5 * kSecond,
                             int slots = 1, const std::string& tenant = "") {
    Arrival arrival;
    arrival.request = RequestId{static_cast<std::uint64_t>(id)};
    arrival.job_class = job_class;
    arrival.time_left = time_left;
    arrival.slots = slots;
    arrival.tenant = tenant;
    return Do(arrival);
  }

  // Reports the end of an attempt.
  std::vector<Action> End(int id, int attempt_number, Outcome outcome, bool request_ended = false) {
    AttemptEnded end;
    end.request = RequestId{static_cast<std::uint64_t>(id)};
    end.attempt_number = attempt_number;
    end.outcome = outcome;
    end.request_ended = request_ended;
    return Do(end);
  }

  // Reports that the attempt has started to run.
  std::vector<Action> Start(int id, int attempt_number) {
    return Do(Progress{RequestId{static_cast<std::uint64_t>(id)}, attempt_number, true, 0.0});
  }

  Micros now = 1000 * kSecond;
  std::vector<Action> all;  // all actions so far; tests may clear it

 private:
  Dispatcher dispatcher_;
  std::multimap<Micros, std::uint64_t> timers_;  // tokens by the time at which they fire
};

// The actions of type T, in order.
template <typename T>
std::vector<T> Only(const std::vector<Action>& actions) {
  std::vector<T> selected;
  for (const Action& action : actions) {
    if (const auto* item = std::get_if<T>(&action))
      selected.push_back(*item);
  }
  return selected;
}

// The number of actions of type T.
template <typename T>
int Count(const std::vector<Action>& actions) {
  return static_cast<int>(Only<T>(actions).size());
}

}  // namespace aldersill::dispatch::testing

#endif  // ALDERSILL_TESTS_DRIVER_H_
