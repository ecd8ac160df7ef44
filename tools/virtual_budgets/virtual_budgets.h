// Simulates many instances in one process and in virtual time, each with a lease of the duty `budgets`, a
// quota client and a quota allocator. The network loses, delays, duplicates and reorders packets, and links
// can be cut. Instances can be paused, killed and restarted. The same seed gives the same run.
#ifndef ALDERSILL_TOOLS_VIRTUAL_BUDGETS_VIRTUAL_BUDGETS_H_
#define ALDERSILL_TOOLS_VIRTUAL_BUDGETS_VIRTUAL_BUDGETS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "budgets/quota_allocator.h"
#include "budgets/quota_client.h"
#include "duties/lease.h"

namespace aldersill::tools {

struct BudgetNetwork {
  // Probabilities for each packet.
  double loss = 0.0, duplicated = 0.0;
  Micros min_delay = 200, max_delay = 2 * kMillisecond;
  double slow = 0.0;  // this fraction is delayed by up to `max_slow_delay`, so that later ones overtake it
  Micros max_slow_delay = 0;
};

class VirtualBudgets {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int instances = 3;
    int voters = 3;  // the lease is among the first `voters` instances
    BudgetNetwork network;
    budgets::Settings settings;   // of each instance; name, epoch and seat are filled in
    Micros lease = 4 * kSecond;   // duration of the lease
    double max_drift = 0.0;       // largest error of a clock's rate in either direction; each is drawn
    Micros max_clock_offset = 0;  // each clock is ahead of the earliest possible one by less than this
    bool count_bytes = false;     // whether `bytes` counts the encoded requests and grants
  };
  explicit VirtualBudgets(Options options);

  int size() const { return static_cast<int>(instances_.size()); }
  // The virtual time, which stands for true time, in microseconds from 0.
  Micros now() const { return now_; }
  // What the clock of instance `i` shows, as Unix time.
  Micros LocalTime(int i) const;
  std::string name(int i) const { return "n" + std::to_string(i); }
  // Must be called before the instance is started.
  void SetClock(int i, double rate) { instances_[i].clock_rate = rate; }
  void SetSeat(int i, int seat) { instances_[i].seat = seat; }

  void Start(int i);
  void Kill(int i);
  // A paused instance handles nothing, as under SIGSTOP. Packets for it are kept, up to the size of a socket
  // buffer, until Resume().
  void Pause(int i) { instances_[i].paused = IsRunning(i); }
  void Resume(int i);
  void ReleaseQuota(int i);
  bool IsRunning(int i) const { return instances_[i].quota_client != nullptr; }
  bool IsPaused(int i) const { return instances_[i].paused; }
  // Loses all packets from `from` to `to`, until Heal().
  void Cut(int from, int to) { cuts_.insert({from, to}); }
  // Cuts all links between the instances of `side` and the others, in both directions.
  void Split(const std::set<int>& side);
  void Heal() { cuts_.clear(); }
  void SetNetwork(const BudgetNetwork& network) { options_.network = network; }

  // Calls `action` at the virtual time `time`.
  void At(Micros time, std::function<void()> action) { Push(time, -1, Script{std::move(action)}); }
  void RunUntil(Micros time);

  // The calls of a frontend at a running instance. A paused or dead instance takes nothing.
  bool Take(int i, std::size_t budget, std::int64_t count = 1);
  void Free(int i, std::size_t budget, int incarnation, std::int64_t count = 1);
  void SetWaiting(int i, std::size_t budget, std::int64_t count);

  const budgets::QuotaClient& quota_client(int i) const { return *instances_[i].quota_client; }
  const budgets::QuotaAllocator& quota_allocator(int i) const { return *instances_[i].quota_allocator; }
  int incarnation(int i) const { return instances_[i].incarnation; }
  std::optional<int> Holder() const;  // the instance that is the holder by its own clock
  pcg32& random() { return random_; }
  // Uniform in [0, 1).
  double RandomFraction() { return static_cast<double>(random_()) / 4294967296.0; }

  // Called after an instance has handled a grant.
  std::function<void(int)> on_grant;
  std::function<void(int, const budgets::Error&)> on_error;
  // Called for each request with sender and receiver; false drops the request.
  std::function<bool(int, int, const budgets::QuotaRequest&)> on_request;

  // Called with each effect of the three reducers before it is carried out.
  std::function<void(int, const duties::LeaseEffect&)> on_lease_effect;
  std::function<void(int, const budgets::QuotaClientEffect&)> on_quota_client_effect;
  std::function<void(int, const budgets::QuotaAllocatorEffect&)> on_quota_allocator_effect;

  // Requests and grants sent.
  std::uint64_t packets = 0, bytes = 0;
  // Real time that the quota allocators spent on requests, and the number of these requests.
  double allocator_seconds = 0;
  std::uint64_t allocator_requests = 0;

 private:
  struct TimerExpiry {
    std::uint64_t timer_generation = 0;
  };
  struct LeaseAnnouncement {
    std::uint64_t term = 0;
  };
  struct Announce {};  // time for the holder to announce itself
  struct PacketArrival {
    int from = 0;
    std::variant<duties::LeaseMessage, budgets::QuotaRequest, budgets::QuotaGrant, LeaseAnnouncement> message;
  };
  struct SlotsFreed {
    std::size_t budget = 0;
    std::int64_t count = 0;
  };
  struct Script {
    std::function<void()> action;
  };
  using Event = std::variant<TimerExpiry, PacketArrival, SlotsFreed, Announce, Script>;
  struct Item {
    Micros at = 0;
    std::uint64_t number = 0;  // order among items of the same time
    int instance = -1;         // -1 for a Script
    int incarnation = 0;
    std::shared_ptr<const Event> event;
    bool operator>(const Item& o) const { return std::tie(at, number) > std::tie(o.at, o.number); }
  };
  struct Instance {
    std::unique_ptr<duties::Lease> lease;
    std::unique_ptr<budgets::QuotaClient> quota_client;
    std::unique_ptr<budgets::QuotaAllocator> quota_allocator;
    int incarnation = 0, seat = 0;
    bool paused = false;
    std::deque<std::shared_ptr<const Event>> pending;  // arrived while paused
    double clock_rate = 1.0;
    Micros clock_offset = 0;  // how far the clock was ahead at time 0
    std::uint64_t timer_generation = 0, epoch = 0;
    Micros timer_due = 0;  // virtual time; 0 if no timer is set
  };

  void Push(Micros at, int instance, Event event);
  void Push(Micros at, int instance, std::shared_ptr<const Event> event);
  void Deliver(int i, const Event& event);
  void DeliverPacket(int i, const PacketArrival& arrival);
  void ToLease(int i, duties::LeaseEvent event);
  void ToQuotaClient(int i, budgets::QuotaClientEvent event);
  void ToQuotaAllocator(int i, budgets::QuotaAllocatorEvent event);
  template <typename M>
  void Send(int from, int to, M message);
  void AnnounceLease(int i, std::uint64_t term);
  void SetTimer(int i);
  bool Chance(double probability) { return probability > 0 && RandomFraction() < probability; }
  Micros Delay();
  // The index of the instance of this name, see name().
  static int IndexOf(const std::string& name) { return std::stoi(name.substr(1)); }

  Options options_;
  pcg32 random_;
  Micros now_ = 0;
  std::uint64_t next_number_ = 1;
  std::vector<Instance> instances_;
  std::set<std::pair<int, int>> cuts_;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> queue_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_VIRTUAL_BUDGETS_VIRTUAL_BUDGETS_H_
