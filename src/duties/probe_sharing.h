// Divides the probing of the workers among the living members: each worker has one owner, which probes it
// once an interval and broadcasts the result. Pure: (now, event) -> effects.
//
// The guarantee: at least one living member probes each worker; two while views differ, and one on each side
// of a partition. A worker therefore gets as many probes an interval as there are sides. Results are ordered
// by their stamps, whichever member made them.
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
  Micros interval = 5 * kSecond;  // of each worker's probes
  Micros timeout = kSecond;       // a probe that takes longer has failed
  int max_in_flight = 32;         // probes at the same time, from this member
  bool operator==(const ProbeSettings&) const = default;
};

// ---- Events ----

struct MemberJoined {  // or its weight has changed
  std::string name;
  std::uint32_t weight = 100;
};
struct MemberLeft {
  std::string name;
};
struct WorkersChanged {  // the complete list, as (name, address)
  std::vector<std::pair<std::string, std::string>> workers;
};
struct ProbeEnded {
  std::uint64_t number = 0;
  Outcome outcome = Outcome::kServed;
  Micros elapsed = 0;
  LoadReport report;
};
struct ProbeResultReceived {
  ProbeResult result;
};
struct ProbeTimerExpired {};  // next_due() is reached
using ProbeEvent = std::variant<MemberJoined, MemberLeft, WorkersChanged, ProbeEnded, ProbeResultReceived,
                                ProbeTimerExpired>;

// ---- Effects ----

struct StartProbe {
  std::uint64_t number = 0;
  std::string worker;
  std::string address;
};
struct BroadcastResult {
  ProbeResult result;
};
struct DeliverResult {
  ProbeResult result;
};
using ProbeEffect = std::variant<StartProbe, BroadcastResult, DeliverResult>;

struct ProbeCounters {
  std::uint64_t started = 0, ended = 0;
  std::uint64_t overdue = 0;           // abandoned: no outcome within twice the timeout
  std::uint64_t takeovers = 0;         // workers whose owner left and that are this member's now
  std::uint64_t results_received = 0;  // other members' results that were new
  std::uint64_t duplicate_results = 0;
  std::uint64_t outdated_results = 0;           // older than the known result
  std::uint64_t results_with_future_stamp = 0;  // stamped by a clock too far ahead
  std::uint64_t ended_while_paused = 0;         // ended while this process was paused: nobody knows when
};

class ProbeSharing {
 public:
  ProbeSharing(ProbeSettings settings, std::uint64_t seed);

  void Handle(Micros now, ProbeEvent event, std::vector<ProbeEffect>* effects);
  Micros next_due() const;

  std::size_t owned() const { return owned_; }
  std::size_t workers() const { return workers_.size(); }
  const std::string& OwnerOf(const std::string& worker) const { return ownership_.OwnerOf(worker); }
  std::optional<ProbeResult> LastResult(const std::string& worker) const;
  const ProbeCounters& counters() const { return counters_; }
  const ProbeSettings& settings() const { return settings_; }
  void ApplySettings(ProbeSettings settings) { settings_ = std::move(settings); }

 private:
  struct Worker {
    std::string address;
    bool owned_here = false;
    Micros due = 0;                          // while it is owned here and no probe of it is in flight
    std::optional<std::uint64_t> in_flight;  // the number of its probe
    std::optional<ProbeResult> last;
  };
  struct InFlightProbe {
    std::string worker;
    Micros overdue_at = 0;
  };

  void Apply(MemberJoined&& event);
  void Apply(MemberLeft&& event);
  void Apply(WorkersChanged&& event);
  void Apply(ProbeEnded&& event);
  void Apply(ProbeResultReceived&& event);
  void Apply(ProbeTimerExpired&& event);
  // The owner of a worker has changed; `by_departure`: because its former owner left.
  void ApplyOwner(const std::string& name, const std::string& owner, bool by_departure);
  void Schedule(const std::string& name, Worker* worker, Micros at);
  void Unschedule(const std::string& name, Worker* worker);
  void StartDueProbes();
  // Greater than every stamp made or received here.
  Stamp NextStamp();
  Micros RandomWithin(Micros span) { return random_(static_cast<std::uint32_t>(span) + 1); }

  ProbeSettings settings_;
  pcg32 random_;
  Micros now_ = 0;
  std::vector<ProbeEffect>* effects_ = nullptr;
  Ownership ownership_;
  std::map<std::string, Worker> workers_;
  std::set<std::pair<Micros, std::string>> schedule_;
  std::map<std::uint64_t, InFlightProbe> in_flight_;
  std::uint64_t next_number_ = 1;
  Stamp last_stamp_ = 0;
  std::size_t owned_ = 0;
  ProbeCounters counters_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_PROBE_SHARING_H_
