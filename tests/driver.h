// Drives one dispatcher event by event and keeps what it answered.
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

// The names of the classes of BasicSettings().
constexpr const char* kClasses[] = {"repeatable", "keyed", "unsafe"};

inline LoadReport ReportOfFreeSlots(double free_slots) {
  LoadReport report;
  report.free_slots = free_slots;
  return report;
}

// One class of each kind, two zones, no tenants, everything allowed.
inline Settings BasicSettings() {
  Settings s;
  for (const Repeat repeat : {Repeat::kRepeatable, Repeat::kKeyed, Repeat::kUnsafe}) {
    ClassSettings c;
    c.name = repeat == Repeat::kRepeatable ? "repeatable" : repeat == Repeat::kKeyed ? "keyed" : "unsafe";
    c.repeat = repeat;
    c.scope = KeyScope::kCell;
    c.window = 2 * kSecond;
    c.target = kSecond / 5;
    c.deadline = 5 * kSecond;
    c.stretch = 2.0;
    s.classes.push_back(c);
  }
  s.kinds = {"box", "crate"};
  s.zones = {"near", "far"};
  s.zone = "near";
  s.reports_start = true;
  s.cancel = true;
  s.hedging = true;
  s.max_attempts = 3;
  s.drain_grace = kSecond / 2;
  s.warm_after = 20 * kSecond;
  s.reports = Settings::Reports::kWithAnswers;
  return s;
}

class Driver {
 public:
  explicit Driver(Settings settings, std::uint64_t seed = 1) : dispatcher_(std::move(settings), seed) {}

  // Handles one event and returns the actions it led to. Timers are remembered for `Advance`.
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

  // Lets time pass, firing what is due, and returns the actions on the way.
  std::vector<Action> Advance(Micros until) {
    std::vector<Action> actions;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = at;
      const auto more = Do(TimerFired{token});
      actions.insert(actions.end(), more.begin(), more.end());
    }
    now = until;
    return actions;
  }

  std::vector<Action> List(std::vector<WorkerEntry> workers,
                           WorkerList::Form form = WorkerList::Form::kFull) {
    return Do(WorkerList{form, std::move(workers)});
  }

  std::vector<Action> Arrive(int id, const std::string& job_class, Micros time_left = 5 * kSecond,
                             int slots = 1, const std::string& tenant = "") {
    Arrival a;
    a.request = RequestId{static_cast<std::uint64_t>(id)};
    a.job_class = job_class;
    a.time_left = time_left;
    a.slots = slots;
    a.tenant = tenant;
    return Do(a);
  }

  std::vector<Action> End(int id, int attempt_number, Outcome outcome, bool request_ended = false) {
    AttemptEnded e;
    e.request = RequestId{static_cast<std::uint64_t>(id)};
    e.attempt_number = attempt_number;
    e.outcome = outcome;
    e.request_ended = request_ended;
    return Do(e);
  }

  std::vector<Action> Start(int id, int attempt_number) {
    return Do(Progress{RequestId{static_cast<std::uint64_t>(id)}, attempt_number, true, 0.0});
  }

  Micros now = 1000 * kSecond;
  std::vector<Action> all;

 private:
  Dispatcher dispatcher_;
  std::multimap<Micros, std::uint64_t> timers_;
};

template <typename T>
std::vector<T> Only(const std::vector<Action>& actions) {
  std::vector<T> some;
  for (const Action& action : actions) {
    if (const auto* one = std::get_if<T>(&action))
      some.push_back(*one);
  }
  return some;
}

template <typename T>
int Count(const std::vector<Action>& actions) {
  return static_cast<int>(Only<T>(actions).size());
}

}  // namespace aldersill::dispatch::testing

#endif  // ALDERSILL_TESTS_DRIVER_H_
