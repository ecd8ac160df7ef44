// Simulates, in virtual time, the watch schedulers of many dispatchers and one discovery, which may be busy,
// refuse connects, answer with errors, break connections, fall silent, move, or be an agent. A checker, which
// uses only what is visible from outside the schedulers, determines whether a list is used after a change
// that is not in it counts as notified, and how long each dispatcher is without a list.
#ifndef ALDERSILL_TESTS_DAEMON_DISCOVERY_SIMULATION_H_
#define ALDERSILL_TESTS_DAEMON_DISCOVERY_SIMULATION_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/types.h"
#include "http/watch_scheduler.h"

namespace aldersill::tests {

constexpr Micros kDrainGrace = 300 * kMillisecond;
constexpr Micros kMaxPollInterval = 10 * kSecond;
constexpr Micros kNetworkDelay = kMillisecond;
constexpr Micros kSimulationEnd = 60 * kSecond;
constexpr Micros kNever = WatchScheduler::kNever;

// Value of Scenario::measured_from with which each dispatcher is measured from its own move.
constexpr Micros kFromEachMove = -1;

// A behaviour of discovery for some time, or an event that affects a share of the dispatchers at one moment.
struct Fault {
  enum Kind {
    kRefusesConnects,    // no process listens: watches break, connects are refused
    kAnswersErrors,      // polls are answered with 503, watches continue
    kBreaksOff,          // polls are accepted, then their connections break
    kSilent,             // polls are accepted and never answered; an agent learns of no changes either
    kLosesOutstanding,   // polls that are outstanding at this moment are never answered
    kBreaksOutstanding,  // the connections of all polls outstanding at this moment break, also of lost ones
    kDelaysAnswers,      // answers written at this moment are delayed
    kStartsDispatchers,  // processes start, with a list that is `list_age` old
    kMovesDispatchers,   // discovery moves to a new address by a reload
  };
  Kind kind = kRefusesConnects;
  Micros from = 0;
  Micros until = 0;
  double share = 1;     // the probability that a dispatcher, or an answer, is affected
  Micros list_age = 0;  // kStartsDispatchers: the age of the list
  Micros spread = 0;    // kMovesDispatchers: each dispatcher's reload comes at a random time within it
};

struct Scenario {
  std::string name;
  WatchScheduler::Kind kind = WatchScheduler::Kind::kPolled;
  std::vector<Fault> faults;
  Micros measured_from = 0;  // the start of the time for which each dispatcher is without a list
  Micros change_interval = 100 * kMillisecond;
  int first_polls_per_second = 43;  // the rate at which discovery serves polls that begin a watch
  std::optional<Micros> changes_from = std::nullopt;  // if not set, changes start with the first fault
};

struct SimulationResult {
  Micros longest_without_list = 0;
  // The longest time for which a list was used after a change that is not in it counted as notified; negative
  // if its use always ended before.
  Micros max_stale_use = -kNever;
  int measured = 0;           // dispatchers that are measured
  int recovered = 0;          // measured dispatchers that have a list again
  int expired = 0;            // recovered dispatchers whose list had expired before
  Micros longest_expiry = 0;  // the longest time from a list's expiry to the next answer
  Micros total_expiry = 0;    // the sum of these times
};

class DiscoverySimulation {
 public:
  DiscoverySimulation(const Scenario& scenario, int dispatchers, std::uint64_t seed);
  SimulationResult Run();

 private:
  struct Step {
    enum Kind {
      kPoll,
      kProbe,
      kProbed,
      kAnswerWritten,
      kAnswerArrives,
      kPollFails,
      kFault,
      kMove,
      kChange,
      kMeasure
    };
    Kind kind;
    Micros at;
    int dispatcher;
    int number;  // of a poll, a probe, a schedule or a fault
    int version = 0;
    bool refused_or_error = false;  // the connect was refused, or the poll was answered with an error
    std::uint64_t order = 0;
    bool operator<(const Step& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Poll {
    Micros sent_at = 0;
    Micros wait = 0;
    bool lost = false;
    bool written = false;
  };
  struct Dispatcher {
    std::optional<WatchScheduler> scheduler;
    std::map<int, Poll> polls;  // outstanding, by number
    int schedule = 0;           // number of the last schedule
    int probe = 0;              // number of the last probe
    bool probing = false;
    int known_changes = 0;  // the number of changes in its list
    // The checker's view, from outside the scheduler.
    bool failed = false;  // a poll has failed, was abandoned or was overdue since the last answer
    Micros watch_silent_since = kNever;
    Micros last_poll_at = 0;
    Micros moved_at = -kNever;
    Micros checked_until = 0;
    Micros started_at = 0;
    bool measured = false;
    Micros list_expired_at = kNever;
  };

  void Push(Micros at, int dispatcher, Step::Kind kind, int number, int version = 0,
            bool refused_or_error = false);
  bool DrawChance(double share);
  bool pushed() const { return scenario_.kind == WatchScheduler::Kind::kPushed; }
  const Fault* ActiveFault(Micros at) const;
  Micros ReachableFrom(Micros at) const;
  int CurrentVersion() const { return static_cast<int>(change_times_.size()); }
  WatchScheduler MakeScheduler();

  // Dispatchers. `dispatcher`: its index.
  void Start(Micros now, int dispatcher, Micros list_age);
  void Move(Micros now, int dispatcher);
  void Schedule(Micros now, int dispatcher);

  // Steps.
  void Handle(const Step& step);
  bool IsOutdated(const Step& step) const;
  void HandleChange(Micros now);
  void HandleMeasure(Micros now);
  void HandleMove(const Step& step);
  void HandlePoll(const Step& step);
  void HandleProbe(const Step& step);
  void HandleProbed(const Step& step);
  void HandlePollFailure(const Step& step);
  void HandleAnswer(const Step& step);
  void RecordRecovery(Micros now, Dispatcher* dispatcher);

  // Discovery.
  void ApplyFault(Micros now, const Fault& fault);
  void ApplyFaultToPolls(Micros now, const Fault& fault, int dispatcher);
  void AcceptPoll(Micros now, int dispatcher, Micros wait);
  void AcceptPollDuringFault(Micros now, int dispatcher, int number, const Fault& fault);
  void NotifyWatches(Micros now, int dispatcher);
  void WriteAnswer(Micros now, int dispatcher, int number);

  // Checker.
  Micros NotifiedAt(const Dispatcher& dispatcher) const;
  Micros NotifiedAtByPolls(const Dispatcher& dispatcher, Micros changed_at) const;
  Micros NotifiedAtByAgent(const Dispatcher& dispatcher, Micros changed_at) const;
  void CheckListUse(Micros now, Dispatcher* dispatcher);

  const Scenario scenario_;
  const int dispatcher_count_;
  std::mt19937_64 random_;
  std::vector<Dispatcher> dispatchers_;
  std::vector<Micros> change_times_;  // for each change, from when discovery had it and was reachable
  std::priority_queue<Step> steps_;
  std::uint64_t next_order_ = 0;
  Micros discovery_free_at_ = 0;
  int last_poll_ = 0;
  SimulationResult result_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_DISCOVERY_SIMULATION_H_
