// Many members of a cluster, as instances of the cluster's state machine (src/cluster) in one process and in
// virtual time. The simulated network loses, delays, duplicates and reorders packets; links can be cut in one
// direction, and the cluster can be partitioned. Members can be paused, killed and restarted. The same seed
// gives the same run, to the last packet.
#ifndef ALDERSILL_TOOLS_VIRTUAL_CLUSTER_VIRTUAL_CLUSTER_H_
#define ALDERSILL_TOOLS_VIRTUAL_CLUSTER_VIRTUAL_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "cluster/cluster.h"

namespace aldersill::tools {

// Faults and delays of the simulated network. Shares are probabilities per packet, from 0 to 1.
struct Network {
  double loss = 0.0;         // share of packets lost
  double duplication = 0.0;  // share of packets of which an additional copy is delivered
  Micros min_delay = 200, max_delay = 2 * kMillisecond;
  // Share of packets that are delayed by up to `max_slow_delay`, so that later packets overtake them.
  double slow_share = 0.0;
  Micros max_slow_delay = 0;
};

// Members are identified by their index, in the order of Add(). Times are virtual, in microseconds from the
// start of the run.
class VirtualCluster {
 public:
  struct Options {
    std::uint64_t seed = 1;
    Network network;
    cluster::Settings settings;    // of every member; Start() sets name, address and join
    int workers = 0;               // number of workers, which always answer health checks
    double max_clock_drift = 0.0;  // relative error of a member's clock rate, in either direction
    Micros max_clock_offset = 0;   // maximum difference between two members' clocks at the start of the run
    bool decode_packets = true;    // deliver packets as decoded from their encoding instead of copying them
  };
  explicit VirtualCluster(Options options);

  // Adds a member, which is not started yet. Returns its index.
  int Add();
  // Starts the member's process.
  void Start(int member);
  // Ends the process without notice to the other members. Its timers and probes are dropped.
  void Kill(int member);
  // Kills the member and starts it again under the same name, with a new epoch.
  void Restart(int member);
  // Stops the process as SIGSTOP does: its timers do not fire, and what arrives is kept until Resume().
  void Pause(int member);
  // Continues a paused process. Handles what has arrived and the overdue timer, in a random order of the two.
  void Resume(int member);
  // Asks the member to leave the cluster. Its process keeps running.
  void Leave(int member);
  // Drops all packets in that direction until HealAll().
  void Cut(int from, int to);
  // Cuts all links between the members in `side` and the others, in both directions.
  void Partition(const std::set<int>& side);
  // Restores all links.
  void HealAll();
  void SetNetwork(const Network& network) { options_.network = network; }
  // Runs `action` when the virtual time has reached `time`.
  void ScheduleAt(Micros time, std::function<void()> action);
  // Simulates everything that happens up to `time`.
  void RunUntil(Micros time);

  Micros now() const { return now_; }
  int size() const { return static_cast<int>(members_.size()); }
  // Whether the member's process exists; it may be paused.
  bool IsRunning(int i) const { return members_[i].core != nullptr; }
  bool IsPaused(int i) const { return members_[i].paused; }
  // The state machine of a running member.
  const cluster::Cluster& core(int i) const { return *members_[i].core; }
  const std::string& name(int i) const { return members_[i].name; }
  // Unix time by the member's own clock.
  Micros LocalTime(int i) const;
  std::string WorkerName(int worker) const;

  // Observers of the run; each may be empty. The first argument is the member that has the effect.
  std::function<void(int, const membership::MembershipChange&)> on_membership_change;
  std::function<void(int, const cluster::LeaseChange&)> on_lease;
  std::function<void(int, const duties::ProbeResult&)> on_result;
  std::function<void(int, const std::string&)> on_probe;       // a member probes the named worker
  std::function<void(int, const cluster::Effect&)> on_effect;  // called before the effect is performed

  // Packets that a member has sent since it was added, before they are sealed, including lost ones.
  struct Traffic {
    std::uint64_t packets = 0, bytes = 0;
    std::size_t longest_packet = 0;  // bytes
  };
  const Traffic& traffic(int i) const { return members_[i].traffic; }

 private:
  struct TimerExpiry {
    std::uint64_t timer_id = 0;
  };
  struct PacketArrival {
    std::string address;                               // of the sender
    std::shared_ptr<const membership::Packet> packet;  // null if the receiver decodes `bytes`
    std::shared_ptr<const std::string> bytes;
  };
  struct ProbeCompletion {
    std::uint64_t number = 0;  // of the probe
    Micros elapsed = 0;
  };
  struct ScheduledAction {
    std::function<void()> run;
  };
  using Occurrence = std::variant<TimerExpiry, PacketArrival, ProbeCompletion, ScheduledAction>;
  struct QueueEntry {
    Micros at = 0;
    std::uint64_t number = 0;  // orders entries of the same time
    int member = -1;           // -1 for a scheduled action
    int generation = 0;        // the member's at the time when the entry was queued
    Occurrence occurrence;
    bool operator>(const QueueEntry& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  struct Member {
    std::string name, address;
    std::unique_ptr<cluster::Cluster> core;  // null while the process does not run
    int generation = 0;                      // incremented by each start and kill
    bool paused = false;
    std::deque<Occurrence> received_while_paused;
    double clock_rate = 1.0;     // of the member's clock relative to the virtual time
    Micros clock_offset = 0;     // of the member's clock at the start of the run
    std::uint64_t timer_id = 0;  // of the latest timer; earlier ones are ignored
    Micros timer_due = 0;        // when the latest timer expires; 0 if it has expired
    Traffic traffic;
  };

  void Push(Micros at, int member, Occurrence occurrence);
  void Deliver(int i, const Occurrence& occurrence);
  // Passes an event to the member's state machine, performs the effects and sets the timer.
  void HandleEvent(int i, cluster::Event event);
  void Perform(int i, cluster::SendPacket&& send);
  void Perform(int i, cluster::StartProbe&& probe);
  void SetTimer(int i);
  Micros DrawDelay();
  // True with the probability `share`.
  bool Chance(double share) { return share > 0 && random_() < share * 4294967296.0; }

  Options options_;
  pcg32 random_;
  Micros now_ = 0;
  std::uint64_t next_number_ = 1;
  std::vector<Member> members_;
  std::map<std::string, int> by_address_;
  std::set<std::pair<int, int>> cuts_;  // (from, to)
  std::priority_queue<QueueEntry, std::vector<QueueEntry>, std::greater<>> queue_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_VIRTUAL_CLUSTER_VIRTUAL_CLUSTER_H_
