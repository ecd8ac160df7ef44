// Many instances of the cluster's core in one process, in virtual time, over a network that loses, delays,
// doubles and reorders, that can be cut one way or split, among instances that stand still, die and come
// back. The same seed gives the same run, to the last packet.
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

struct Network {
  double loss = 0.0;
  double doubled = 0.0;
  Micros delay_least = 200, delay_most = 2 * kMillisecond;
  // This part of the packets takes up to `slow_most`, so that later ones overtake them.
  double slow = 0.0;
  Micros slow_most = 0;
};

class VirtualCluster {
 public:
  struct Options {
    std::uint64_t seed = 1;
    Network network;
    cluster::Settings settings;  // of each instance; name, address and join are filled in
    int workers = 0;
    double drift = 0.0;         // of an instance's clock, drawn from either side
    Micros clocks_apart = 0;    // how far instances' clocks are apart at the start
    bool through_bytes = true;  // packets are decoded from what they were encoded to
  };
  explicit VirtualCluster(Options options);

  int Add();  // an instance, not yet begun; its number
  void Begin(int instance);
  void Kill(int instance);
  void Restart(int instance);  // a new life under its name
  void Pause(int instance);
  void Resume(int instance);
  void Leave(int instance);
  void Cut(int from, int to);
  void Split(const std::set<int>& side);  // cut from the rest, both ways
  void Mend();                            // all cuts
  void SetNetwork(const Network& network) { o_.network = network; }
  void At(Micros time, std::function<void()> what);
  void RunUntil(Micros time);

  Micros now() const { return now_; }
  int size() const { return static_cast<int>(instances_.size()); }
  bool Runs(int i) const { return instances_[i].core != nullptr; }
  bool Stands(int i) const { return instances_[i].paused; }
  const cluster::Cluster& core(int i) const { return *instances_[i].core; }
  const std::string& name(int i) const { return instances_[i].name; }
  Micros LocalTime(int i) const;  // by the instance's own clock
  std::string WorkerName(int worker) const;

  // What the run is watched by; each may be empty.
  std::function<void(int, const membership::MembershipChange&)> on_news;
  std::function<void(int, const cluster::LeaseChange&)> on_lease;
  std::function<void(int, const duties::ProbeResult&)> on_result;
  std::function<void(int, const std::string&)> on_probe;       // a worker is probed by an instance
  std::function<void(int, const cluster::Effect&)> on_effect;  // every effect, before it is carried out

  struct Sent {
    std::uint64_t packets = 0, bytes = 0;
    std::size_t longest = 0;
  };
  const Sent& sent(int i) const { return instances_[i].sent; }

 private:
  struct TimerRings {
    std::uint64_t setting = 0;
  };
  struct Arrives {
    std::string address;
    std::shared_ptr<const membership::Packet> packet;
    std::shared_ptr<const std::string> bytes;
  };
  struct Answers {
    std::uint64_t number = 0;
    Micros elapsed = 0;
  };
  struct Script {
    std::function<void()> what;
  };
  using What = std::variant<TimerRings, Arrives, Answers, Script>;
  struct Item {
    Micros at = 0;
    std::uint64_t number = 0;
    int instance = -1;
    int life = 0;
    What what;
    bool operator>(const Item& o) const { return std::tie(at, number) > std::tie(o.at, o.number); }
  };
  struct Instance {
    std::string name, address;
    std::unique_ptr<cluster::Cluster> core;
    int life = 0;
    bool paused = false;
    std::deque<What> held;  // came in while it stood still
    double rate = 1.0;
    Micros ahead = 0;
    std::uint64_t setting = 0;  // of its timer
    Micros rings = 0;
    Sent sent;
  };

  void Push(Micros at, int instance, What what);
  void Deliver(int i, const What& what);
  void Tell(int i, cluster::Event event);
  void Do(int i, cluster::SendPacket&& e);
  void Do(int i, cluster::StartProbe&& e);
  void SetTimer(int i);
  Micros Delay();
  bool Chance(double share) { return share > 0 && random_() < share * 4294967296.0; }

  Options o_;
  pcg32 random_;
  Micros now_ = 0;
  std::uint64_t next_number_ = 1;
  std::vector<Instance> instances_;
  std::map<std::string, int> by_address_;
  std::set<std::pair<int, int>> cuts_;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> queue_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_VIRTUAL_CLUSTER_VIRTUAL_CLUSTER_H_
