// Many instances with the lease of the duty `budgets`, a purse and a grantor each, in one process and in
// virtual time, over a network that loses, delays, doubles and reorders, that can be cut or split, among
// instances that stand still, die and come back. The same seed gives the same run.
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
  double loss = 0.0, doubled = 0.0;
  Micros delay_least = 200, delay_most = 2 * kMillisecond;
  double slow = 0.0;  // this part takes up to `slow_most`, so that later ones overtake it
  Micros slow_most = 0;
};

class VirtualBudgets {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int instances = 3;
    int voters = 3;
    BudgetNetwork network;
    budgets::Settings settings;  // of each; name, epoch and seat are filled in
    Micros lease = 4 * kSecond;
    double drift = 0.0;        // of a clock, drawn from either side
    Micros clocks_apart = 0;   // how far they are apart
    bool count_bytes = false;  // of what goes between instances
  };
  explicit VirtualBudgets(Options options);

  int size() const { return static_cast<int>(instances_.size()); }
  Micros now() const { return now_; }
  Micros LocalTime(int i) const;
  std::string name(int i) const { return "n" + std::to_string(i); }
  void SetClock(int i, double rate) { instances_[i].rate = rate; }  // before it begins
  void SetSeat(int i, int seat) { instances_[i].seat = seat; }

  void Begin(int i);
  void Kill(int i);
  void Pause(int i) { instances_[i].paused = Runs(i); }
  void Resume(int i);
  void ReleaseQuota(int i);
  bool Runs(int i) const { return instances_[i].quota_client != nullptr; }
  bool Stands(int i) const { return instances_[i].paused; }
  void Cut(int from, int to) { cuts_.insert({from, to}); }
  void Split(const std::set<int>& side);
  void Mend() { cuts_.clear(); }
  void SetNetwork(const BudgetNetwork& network) { o_.network = network; }

  void At(Micros time, std::function<void()> what) { Push(time, -1, Script{std::move(what)}); }
  void RunUntil(Micros time);

  // What a front does at an instance that runs; an instance that stands still or is dead serves nobody.
  bool Take(int i, std::size_t budget, std::int64_t count = 1);
  void Free(int i, std::size_t budget, int life, std::int64_t count = 1);
  void Waiting(int i, std::size_t budget, std::int64_t count);

  const budgets::QuotaClient& quota_client(int i) const { return *instances_[i].quota_client; }
  const budgets::QuotaAllocator& quota_allocator(int i) const { return *instances_[i].quota_allocator; }
  int life(int i) const { return instances_[i].life; }
  std::optional<int> Holder() const;  // by its own clock
  pcg32& random() { return random_; }
  double Share() { return static_cast<double>(random_()) / 4294967296.0; }

  std::function<void(int)> on_answer;  // an instance was granted anew
  std::function<void(int, const budgets::Error&)> on_error;
  // Takes part in what is sent: return false to lose it.
  std::function<bool(int, int, const budgets::QuotaRequest&)> on_ask;

  // Every effect of the three cores, before it is carried out.
  std::function<void(int, const duties::LeaseEffect&)> on_lease_effect;
  std::function<void(int, const budgets::QuotaClientEffect&)> on_quota_client_effect;
  std::function<void(int, const budgets::QuotaAllocatorEffect&)> on_quota_allocator_effect;

  std::uint64_t packets = 0, bytes = 0;
  // What the grantors' own work took of real time, and how many asks that was.
  double grantor_seconds = 0;
  std::uint64_t grantor_asks = 0;

 private:
  struct TimerRings {
    std::uint64_t setting = 0;
  };
  struct HoldsNow {
    std::uint64_t term = 0;
  };
  struct Announce {};
  struct Arrives {
    int from = 0;
    std::variant<duties::LeaseMessage, budgets::QuotaRequest, budgets::QuotaGrant, HoldsNow> message;
  };
  struct Freed {
    std::size_t budget = 0;
    std::int64_t count = 0;
  };
  struct Script {
    std::function<void()> what;
  };
  using What = std::variant<TimerRings, Arrives, Freed, Announce, Script>;
  struct Item {
    Micros at = 0;
    std::uint64_t number = 0;
    int instance = -1;
    int life = 0;
    std::shared_ptr<const What> what;
    bool operator>(const Item& o) const { return std::tie(at, number) > std::tie(o.at, o.number); }
  };
  struct Instance {
    std::unique_ptr<duties::Lease> lease;
    std::unique_ptr<budgets::QuotaClient> quota_client;
    std::unique_ptr<budgets::QuotaAllocator> quota_allocator;
    int life = 0, seat = 0;
    bool paused = false;
    std::deque<std::shared_ptr<const What>> held;
    double rate = 1.0;
    Micros ahead = 0;
    std::uint64_t setting = 0, epoch = 0;
    Micros rings = 0;
  };

  void Push(Micros at, int instance, What what);
  void Push(Micros at, int instance, std::shared_ptr<const What> what);
  void Deliver(int i, const What& what);
  void Hear(int i, const Arrives& arrives);
  void ToLease(int i, duties::LeaseEvent event);
  void ToQuotaClient(int i, budgets::QuotaClientEvent event);
  void ToQuotaAllocator(int i, budgets::QuotaAllocatorEvent event);
  template <typename M>
  void Send(int from, int to, M message);
  void BroadcastResult(int i, std::uint64_t term);
  void SetTimer(int i);
  bool Chance(double share) { return share > 0 && Share() < share; }
  Micros Delay();
  static int Number(const std::string& name) { return std::stoi(name.substr(1)); }

  Options o_;
  pcg32 random_;
  Micros now_ = 0;
  std::uint64_t next_number_ = 1;
  std::vector<Instance> instances_;
  std::set<std::pair<int, int>> cuts_;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> queue_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_VIRTUAL_BUDGETS_VIRTUAL_BUDGETS_H_
