// Divides the probing of the workers among the living members: each worker has one owner, which probes it
// once per interval and broadcasts the result. A pure state machine: (now, event) -> effects.
//
// At least one living member probes each worker. Two members may probe the same worker while their views of
// the membership differ. During a partition one member on each side probes it, so the worker gets one probe
// per interval from each side. Results are ordered by their stamps, whichever member they come from.
#ifndef ALDERSILL_SRC_DUTIES_PROBE_SHARING_H_
#define ALDERSILL_SRC_DUTIES_PROBE_SHARING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "duties/ownership.h"
#include "duties/types.h"

namespace aldersill::duties {

struct ProbeSettings {
  std::string name;               // of this member
  Micros interval = 5 * kSecond;  // between the probes of one worker
  Micros timeout = kSecond;       // a probe that takes longer fails
  int max_in_flight = 32;         // limit of this member's concurrent probes
  bool operator==(const ProbeSettings&) const = default;
};

// ---- Events ----

// A member has joined, or its weight has changed.
struct MemberJoined {
  std::string name;
  std::uint32_t weight = 100;
};
struct MemberLeft {
  std::string name;
};
struct WorkersChanged {
  // The complete list of workers, as (name, address).
  std::vector<std::pair<std::string, std::string>> workers;
};
// A probe that this member started has ended.
struct ProbeEnded {
  std::uint64_t number = 0;  // of StartProbe
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};
// Another member has broadcast a result.
struct ProbeResultReceived {
  ProbeResult result;
};
struct ProbeTimerExpired {};  // the time next_due() has been reached
using ProbeEvent = std::variant<MemberJoined, MemberLeft, WorkersChanged, ProbeEnded, ProbeResultReceived,
                                ProbeTimerExpired>;

// ---- Effects ----

struct StartProbe {
  std::uint64_t number = 0;  // identifies the probe; ProbeEnded returns it
  std::string worker;
  std::string address;
};
// Broadcast the result to the other members.
struct BroadcastResult {
  ProbeResult result;
};
// Pass the result on to this member's own dispatcher.
struct DeliverResult {
  ProbeResult result;
};
using ProbeEffect = std::variant<StartProbe, BroadcastResult, DeliverResult>;

struct ProbeCounters {
  std::uint64_t started = 0, ended = 0;
  std::uint64_t overdue = 0;           // probes abandoned without an outcome after twice the timeout
  std::uint64_t takeovers = 0;         // workers taken over because their owner left
  std::uint64_t results_received = 0;  // new results of other members
  std::uint64_t duplicate_results = 0;
  std::uint64_t outdated_results = 0;           // results older than the last one known
  std::uint64_t results_with_future_stamp = 0;  // results stamped too far ahead of this member's clock
  std::uint64_t ended_while_paused = 0;         // results discarded because this process was paused meanwhile
};

// One member's share of the probing: the owner of each worker, the probe schedule and the last results.
class ProbeSharing {
 public:
  ProbeSharing(ProbeSettings settings, std::uint64_t seed);

  // Applies an event, starts the probes that are due, and appends the resulting effects.
  void Handle(Micros now, ProbeEvent event, std::vector<ProbeEffect>* effects);
  // When ProbeTimerExpired is next due; INT64_MAX for never.
  Micros next_due() const;

  std::size_t owned() const { return owned_; }  // number of workers that this member owns
  std::size_t workers() const { return workers_.size(); }
  const std::string& OwnerOf(const std::string& worker) const { return ownership_.OwnerOf(worker); }
  // The newest result of the worker, from any member; none before the first.
  std::optional<ProbeResult> LastResult(const std::string& worker) const;
  const ProbeCounters& counters() const { return counters_; }
  const ProbeSettings& settings() const { return settings_; }
  void ApplySettings(ProbeSettings settings) { settings_ = std::move(settings); }

 private:
  struct Worker {
    std::string address;
    bool owned_here = false;
    Micros due = 0;  // time of the next probe; in schedule_ while owned here without a probe in flight
    std::optional<std::uint64_t> in_flight;  // number of its current probe
    std::optional<ProbeResult> last;         // newest result
  };
  struct InFlightProbe {
    std::string worker;
    Micros overdue_at = 0;  // when the probe is abandoned
  };

  void Apply(MemberJoined&& event);
  void Apply(MemberLeft&& event);
  void Apply(WorkersChanged&& event);
  void Apply(ProbeEnded&& event);
  void Apply(ProbeResultReceived&& event);
  void Apply(ProbeTimerExpired&& event);
  // Handles a change of a worker's owner. `by_departure` tells whether the previous owner has left.
  void ApplyOwner(const std::string& name, const std::string& owner, bool by_departure);
  void Schedule(const std::string& name, Worker* worker, Micros at);
  void Unschedule(const std::string& name, Worker* worker);
  void StartDueProbes();
  // Returns a stamp greater than every stamp that this member has generated or received.
  Stamp NextStamp();
  Micros RandomWithin(Micros span) { return random_(static_cast<std::uint32_t>(span) + 1); }

  ProbeSettings settings_;
  pcg32 random_;
  Micros now_ = 0;
  std::vector<ProbeEffect>* effects_ = nullptr;
  Ownership ownership_;
  std::map<std::string, Worker> workers_;
  std::set<std::pair<Micros, std::string>> schedule_;  // (due, worker) of the probes to start
  std::map<std::uint64_t, InFlightProbe> in_flight_;   // by number
  std::uint64_t next_number_ = 1;
  Stamp last_stamp_ = 0;
  std::size_t owned_ = 0;
  ProbeCounters counters_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_PROBE_SHARING_H_
