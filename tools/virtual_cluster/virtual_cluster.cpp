#include "virtual_cluster/virtual_cluster.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "membership/codec.h"

namespace aldersill::tools {
namespace {

// Unix time at which runs begin: epochs and stamps are to look as they do outside.
constexpr Micros kBegin = 1'700'000'000 * kSecond;
// What a socket holds for a process that stands still.
constexpr std::size_t kSocketHolds = 256;

}  // namespace

VirtualCluster::VirtualCluster(Options options) : o_(std::move(options)), random_(o_.seed, 1) {}

int VirtualCluster::Add() {
  const int i = size();
  Instance instance;
  instance.name = "n" + std::to_string(i);
  instance.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7946";
  pcg32 own(o_.seed, 1'000 + static_cast<std::uint64_t>(i));
  instance.rate = 1.0 + o_.drift * (static_cast<double>(own()) / 2147483648.0 - 1.0);
  if (o_.clocks_apart > 0)
    instance.ahead = own(static_cast<std::uint32_t>(o_.clocks_apart));
  by_address_[instance.address] = i;
  instances_.push_back(std::move(instance));
  return i;
}

Micros VirtualCluster::LocalTime(int i) const {
  const Instance& instance = instances_[i];
  return kBegin + instance.ahead + static_cast<Micros>(static_cast<double>(now_) * instance.rate);
}

std::string VirtualCluster::WorkerName(int worker) const { return "w" + std::to_string(worker); }

void VirtualCluster::Begin(int i) {
  Instance& instance = instances_[i];
  cluster::Settings s = o_.settings;
  s.membership.name = instance.name;
  s.membership.address = instance.address;
  s.membership.join = {instances_[0].address};
  if (size() > 1)
    s.membership.join.push_back(instances_[1].address);
  if (s.probing)
    s.probing->name = instance.name;
  ++instance.life;
  instance.paused = false;
  instance.held.clear();
  const std::uint64_t seed = o_.seed * 1'000'003 + static_cast<std::uint64_t>(i) * 101 + instance.life;
  instance.core = std::make_unique<cluster::Cluster>(std::move(s), seed);
  cluster::WorkersChanged workers;
  for (int w = 0; w < o_.workers; ++w)
    workers.workers.emplace_back(WorkerName(w), "10.9.0.1:80");
  Tell(i, cluster::Started{static_cast<std::uint64_t>(LocalTime(i) / kMillisecond)});
  if (o_.workers > 0)
    Tell(i, std::move(workers));
}

void VirtualCluster::Kill(int i) {
  instances_[i].core.reset();
  ++instances_[i].life;
  instances_[i].paused = false;
  instances_[i].held.clear();
}

void VirtualCluster::Restart(int i) {
  Kill(i);
  Begin(i);
}

void VirtualCluster::Pause(int i) { instances_[i].paused = instances_[i].core != nullptr; }

void VirtualCluster::Resume(int i) {
  Instance& instance = instances_[i];
  if (!std::exchange(instance.paused, false))
    return;
  // Its timers are long overdue, and its sockets full: the loop may serve either first.
  const bool timers_first = random_(2) == 0;
  if (timers_first)
    Tell(i, cluster::TimerExpired{});
  for (std::deque<What> held = std::exchange(instance.held, {}); !held.empty(); held.pop_front())
    Deliver(i, held.front());
  if (!timers_first)
    Tell(i, cluster::TimerExpired{});
}

void VirtualCluster::Leave(int i) { Tell(i, cluster::LeaveRequested{}); }

void VirtualCluster::Cut(int from, int to) { cuts_.insert({from, to}); }

void VirtualCluster::Split(const std::set<int>& side) {
  for (int a = 0; a < size(); ++a) {
    for (int b = 0; b < size(); ++b) {
      if (side.contains(a) != side.contains(b))
        Cut(a, b);
    }
  }
}

void VirtualCluster::Mend() { cuts_.clear(); }

void VirtualCluster::At(Micros time, std::function<void()> what) { Push(time, -1, Script{std::move(what)}); }

void VirtualCluster::Push(Micros at, int instance, What what) {
  queue_.push(
      Item{at, next_number_++, instance, instance < 0 ? 0 : instances_[instance].life, std::move(what)});
}

void VirtualCluster::RunUntil(Micros time) {
  while (!queue_.empty() && queue_.top().at <= time) {
    const Item item = queue_.top();
    queue_.pop();
    now_ = std::max(now_, item.at);
    if (const auto* script = std::get_if<Script>(&item.what)) {
      script->what();
      continue;
    }
    Instance& instance = instances_[item.instance];
    if (instance.core == nullptr || instance.life != item.life) {
      // A packet finds whoever listens there now; timers and answers are of the life that asked.
      if (instance.core == nullptr || !std::holds_alternative<Arrives>(item.what))
        continue;
    }
    if (instance.paused) {
      if (!std::holds_alternative<TimerRings>(item.what) && instance.held.size() < kSocketHolds)
        instance.held.push_back(item.what);
      continue;
    }
    Deliver(item.instance, item.what);
  }
  now_ = std::max(now_, time);
}

void VirtualCluster::Deliver(int i, const What& what) {
  if (const auto* rings = std::get_if<TimerRings>(&what)) {
    if (rings->setting != instances_[i].setting)
      return;
    instances_[i].rings = 0;
    return Tell(i, cluster::TimerExpired{});
  }
  if (const auto* arrives = std::get_if<Arrives>(&what)) {
    if (!o_.through_bytes)
      return Tell(i, cluster::PacketReceived{arrives->address, *arrives->packet});
    auto packet = membership::Decode(*arrives->bytes);
    if (!packet)
      throw std::logic_error("a packet does not decode");
    return Tell(i, cluster::PacketReceived{arrives->address, std::move(*packet)});
  }
  const auto& answers = std::get<Answers>(what);
  LoadReport report;
  report.free_slots = 3.0;
  Tell(i, cluster::ProbeCompleted{answers.number, Outcome::kServed, answers.elapsed, report});
}

void VirtualCluster::Tell(int i, cluster::Event event) {
  if (instances_[i].core == nullptr)
    return;
  std::vector<cluster::Effect> effects;
  instances_[i].core->Handle(LocalTime(i), std::move(event), &effects);
  for (cluster::Effect& effect : effects) {
    if (on_effect)
      on_effect(i, effect);
    if (auto* send = std::get_if<cluster::SendPacket>(&effect)) {
      Do(i, std::move(*send));
    } else if (auto* probe = std::get_if<cluster::StartProbe>(&effect)) {
      Do(i, std::move(*probe));
    } else if (const auto* news = std::get_if<membership::MembershipChange>(&effect)) {
      if (on_news)
        on_news(i, *news);
    } else if (const auto* lease = std::get_if<cluster::LeaseChange>(&effect)) {
      if (on_lease)
        on_lease(i, *lease);
    } else if (on_result) {
      on_result(i, std::get<cluster::DeliverResult>(effect).result);
    }
  }
  SetTimer(i);
}

void VirtualCluster::SetTimer(int i) {
  Instance& instance = instances_[i];
  const Micros due = instance.core->next_due();
  if (due == INT64_MAX)
    return;
  const Micros wait = std::max<Micros>(0, due - LocalTime(i));
  const Micros rings = now_ + static_cast<Micros>(static_cast<double>(wait) / instance.rate) + 1;
  // One that rings sooner may stand: the core then finds nothing due and is asked again.
  if (instance.rings != 0 && instance.rings <= rings && instance.rings > now_)
    return;
  instance.rings = rings;
  Push(rings, i, TimerRings{++instance.setting});
}

Micros VirtualCluster::Delay() {
  const Network& n = o_.network;
  const auto draw = [this](Micros least, Micros most) {
    return least + random_(static_cast<std::uint32_t>(std::max<Micros>(1, most - least)));
  };
  return Chance(n.slow) ? draw(n.delay_least, n.slow_most) : draw(n.delay_least, n.delay_most);
}

void VirtualCluster::Do(int i, cluster::SendPacket&& e) {
  auto bytes = std::make_shared<const std::string>(membership::Encode(e.packet));
  Sent& sent = instances_[i].sent;
  ++sent.packets;
  sent.bytes += bytes->size();
  sent.longest = std::max(sent.longest, bytes->size());
  if (bytes->size() > o_.settings.membership.max_packet_bytes)
    throw std::logic_error("a packet is over its bound");
  const auto to = by_address_.find(e.address);
  if (to == by_address_.end() || cuts_.contains({i, to->second}))
    return;
  const auto packet =
      o_.through_bytes ? nullptr : std::make_shared<const membership::Packet>(std::move(e.packet));
  const int copies = (Chance(o_.network.loss) ? 0 : 1) + (Chance(o_.network.doubled) ? 1 : 0);
  for (int copy = 0; copy < copies; ++copy)
    Push(now_ + Delay(), to->second, Arrives{instances_[i].address, packet, bytes});
}

void VirtualCluster::Do(int i, cluster::StartProbe&& e) {
  if (on_probe)
    on_probe(i, e.worker);
  const Micros took = 500 + random_(5'000);
  Push(now_ + took, i, Answers{e.number, took});
}

}  // namespace aldersill::tools
