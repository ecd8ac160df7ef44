// Probing the workers, divided: each worker has one owner among the living members, who probes it once an
// interval and tells all what came of it. Pure: (now, event) -> effects.
//
// The guarantee: some living member probes each worker, at least one; two where views differ for a while, and
// one on each side of a split. So a worker bears as many probes an interval as there are sides, and a result
// is ordered by its stamp, whoever made it.
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
  std::string name;               // of this instance
  Micros interval = 5 * kSecond;  // each worker is probed once in it
  Micros timeout = kSecond;       // a probe that takes longer counts as unanswered
  int most_out = 32;              // at once, from this instance
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
struct WorkersChanged {  // all of them, as (name, address)
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
struct ProbeTime {};  // next_due() is reached
using ProbeEvent =
    std::variant<MemberJoined, MemberLeft, WorkersChanged, ProbeEnded, ProbeResultReceived, ProbeTime>;

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
  std::uint64_t overdue = 0;    // given up on: nothing came within twice the timeout
  std::uint64_t takeovers = 0;  // workers that became this instance's because their owner went
  std::uint64_t heard = 0;      // results of others that were news
  std::uint64_t heard_again = 0;
  std::uint64_t too_old = 0;        // not news, and older than what is known
  std::uint64_t from_ahead = 0;     // of a clock too far ahead
  std::uint64_t slept_through = 0;  // came in while this instance stood still: nobody knows when
};

class ProbeSharing {
 public:
  ProbeSharing(ProbeSettings settings, std::uint64_t seed);

  void Handle(Micros now, ProbeEvent event, std::vector<ProbeEffect>* effects);
  Micros next_due() const;

  std::size_t owned() const { return owned_; }
  std::size_t workers() const { return workers_.size(); }
  const std::string& OwnerOf(const std::string& worker) const { return ownership_.OwnerOf(worker); }
  std::optional<ProbeResult> LastOf(const std::string& worker) const;
  const ProbeCounters& counters() const { return counters_; }
  const ProbeSettings& settings() const { return settings_; }
  void ApplySettings(ProbeSettings settings) { settings_ = std::move(settings); }

 private:
  struct Worker {
    std::string address;
    bool mine = false;
    Micros due = 0;                    // while it is mine and no probe of it is out
    std::optional<std::uint64_t> out;  // the probe's number
    std::optional<ProbeResult> last;
  };
  struct Out {
    std::string worker;
    Micros overdue_at = 0;
  };

  void On(MemberJoined&& e);
  void On(MemberLeft&& e);
  void On(WorkersChanged&& e);
  void On(ProbeEnded&& e);
  void On(ProbeResultReceived&& e);
  void On(ProbeTime&& e);
  void Owned(const std::string& name, const std::string& owner, bool by_departure);
  void Schedule(const std::string& name, Worker* worker, Micros at);
  void Unschedule(const std::string& name, Worker* worker);
  void Launch();
  Stamp NextStamp();
  Micros Within(Micros span) { return random_(static_cast<std::uint32_t>(span) + 1); }

  ProbeSettings settings_;
  pcg32 random_;
  Micros now_ = 0;
  std::vector<ProbeEffect>* effects_ = nullptr;
  Ownership ownership_;
  std::map<std::string, Worker> workers_;
  std::set<std::pair<Micros, std::string>> due_;
  std::map<std::uint64_t, Out> out_;
  std::uint64_t next_number_ = 1;
  Stamp last_stamp_ = 0;
  std::size_t owned_ = 0;
  ProbeCounters counters_;
};

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_PROBE_SHARING_H_
