#include "virtual_cluster/virtual_cluster.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "membership/codec.h"

namespace aldersill::tools {
namespace {

// Unix time at the start of a run, so that epochs and stamps have realistic values.
constexpr Micros kStartTime = 1'700'000'000 * kSecond;
// Packets and probe results that are kept for a paused process, as in a socket buffer; the rest is dropped.
constexpr std::size_t kSocketBufferPackets = 256;

}  // namespace

VirtualCluster::VirtualCluster(Options options) : options_(std::move(options)), random_(options_.seed, 1) {}

int VirtualCluster::Add() {
  const int i = size();
  Member member;
  member.name = "n" + std::to_string(i);
  member.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7946";
  pcg32 member_random(options_.seed, 1'000 + static_cast<std::uint64_t>(i));
  member.clock_rate =
      1.0 + options_.max_clock_drift * (static_cast<double>(member_random()) / 2147483648.0 - 1.0);
  if (options_.max_clock_offset > 0)
    member.clock_offset = member_random(static_cast<std::uint32_t>(options_.max_clock_offset));
  by_address_[member.address] = i;
  members_.push_back(std::move(member));
  return i;
}

Micros VirtualCluster::LocalTime(int i) const {
  const Member& member = members_[i];
  return kStartTime + member.clock_offset +
         static_cast<Micros>(static_cast<double>(now_) * member.clock_rate);
}

std::string VirtualCluster::WorkerName(int worker) const { return "w" + std::to_string(worker); }

void VirtualCluster::Start(int i) {
  Member& member = members_[i];
  cluster::Settings settings = options_.settings;
  settings.membership.name = member.name;
  settings.membership.address = member.address;
  settings.membership.join = {members_[0].address};
  if (size() > 1)
    settings.membership.join.push_back(members_[1].address);
  if (settings.probing)
    settings.probing->name = member.name;
  ++member.generation;
  member.paused = false;
  member.received_while_paused.clear();
  const std::uint64_t seed =
      options_.seed * 1'000'003 + static_cast<std::uint64_t>(i) * 101 + member.generation;
  member.core = std::make_unique<cluster::Cluster>(std::move(settings), seed);
  cluster::WorkersChanged workers;
  for (int w = 0; w < options_.workers; ++w)
    workers.workers.emplace_back(WorkerName(w), "10.9.0.1:80");
  HandleEvent(i, cluster::Started{static_cast<std::uint64_t>(LocalTime(i) / kMillisecond)});
  if (options_.workers > 0)
    HandleEvent(i, std::move(workers));
}

void VirtualCluster::Kill(int i) {
  members_[i].core.reset();
  ++members_[i].generation;
  members_[i].paused = false;
  members_[i].received_while_paused.clear();
}

void VirtualCluster::Restart(int i) {
  Kill(i);
  Start(i);
}

void VirtualCluster::Pause(int i) { members_[i].paused = members_[i].core != nullptr; }

void VirtualCluster::Resume(int i) {
  Member& member = members_[i];
  if (!std::exchange(member.paused, false))
    return;
  // Its timer is overdue and its sockets have data. A real event loop may serve either first.
  const bool timers_first = random_(2) == 0;
  if (timers_first)
    HandleEvent(i, cluster::TimerExpired{});
  for (std::deque<Occurrence> received = std::exchange(member.received_while_paused, {}); !received.empty();
       received.pop_front())
    Deliver(i, received.front());
  if (!timers_first)
    HandleEvent(i, cluster::TimerExpired{});
}

void VirtualCluster::Leave(int i) { HandleEvent(i, cluster::LeaveRequested{}); }

void VirtualCluster::Cut(int from, int to) { cuts_.insert({from, to}); }

void VirtualCluster::Partition(const std::set<int>& side) {
  for (int a = 0; a < size(); ++a) {
    for (int b = 0; b < size(); ++b) {
      if (side.contains(a) != side.contains(b))
        Cut(a, b);
    }
  }
}

void VirtualCluster::HealAll() { cuts_.clear(); }

void VirtualCluster::ScheduleAt(Micros time, std::function<void()> action) {
  Push(time, -1, ScheduledAction{std::move(action)});
}

void VirtualCluster::Push(Micros at, int member, Occurrence occurrence) {
  queue_.push(QueueEntry{at, next_number_++, member, member < 0 ? 0 : members_[member].generation,
                         std::move(occurrence)});
}

void VirtualCluster::RunUntil(Micros time) {
  while (!queue_.empty() && queue_.top().at <= time) {
    const QueueEntry entry = queue_.top();
    queue_.pop();
    now_ = std::max(now_, entry.at);
    if (const auto* action = std::get_if<ScheduledAction>(&entry.occurrence)) {
      action->run();
      continue;
    }
    Member& member = members_[entry.member];
    if (member.core == nullptr || member.generation != entry.generation) {
      // A packet reaches whichever process listens at the address now. Timers and probe results belong to the
      // process that started them.
      if (member.core == nullptr || !std::holds_alternative<PacketArrival>(entry.occurrence))
        continue;
    }
    if (member.paused) {
      if (!std::holds_alternative<TimerExpiry>(entry.occurrence) &&
          member.received_while_paused.size() < kSocketBufferPackets)
        member.received_while_paused.push_back(entry.occurrence);
      continue;
    }
    Deliver(entry.member, entry.occurrence);
  }
  now_ = std::max(now_, time);
}

void VirtualCluster::Deliver(int i, const Occurrence& occurrence) {
  if (const auto* expiry = std::get_if<TimerExpiry>(&occurrence)) {
    if (expiry->timer_id != members_[i].timer_id)
      return;
    members_[i].timer_due = 0;
    return HandleEvent(i, cluster::TimerExpired{});
  }
  if (const auto* arrival = std::get_if<PacketArrival>(&occurrence)) {
    if (!options_.decode_packets)
      return HandleEvent(i, cluster::PacketReceived{arrival->address, *arrival->packet});
    auto packet = membership::Decode(*arrival->bytes);
    if (!packet)
      throw std::logic_error("virtual cluster: a packet sent by a member cannot be decoded");
    return HandleEvent(i, cluster::PacketReceived{arrival->address, std::move(*packet)});
  }
  const auto& completion = std::get<ProbeCompletion>(occurrence);
  LoadReport report;
  report.free_slots = 3.0;
  HandleEvent(i, cluster::ProbeCompleted{completion.number, Outcome::kServed, completion.elapsed, report});
}

void VirtualCluster::HandleEvent(int i, cluster::Event event) {
  if (members_[i].core == nullptr)
    return;
  std::vector<cluster::Effect> effects;
  members_[i].core->Handle(LocalTime(i), std::move(event), &effects);
  for (cluster::Effect& effect : effects) {
    if (on_effect)
      on_effect(i, effect);
    if (auto* send = std::get_if<cluster::SendPacket>(&effect)) {
      Perform(i, std::move(*send));
    } else if (auto* probe = std::get_if<cluster::StartProbe>(&effect)) {
      Perform(i, std::move(*probe));
    } else if (const auto* change = std::get_if<membership::MembershipChange>(&effect)) {
      if (on_membership_change)
        on_membership_change(i, *change);
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
  Member& member = members_[i];
  const Micros due = member.core->next_due();
  if (due == INT64_MAX)
    return;
  const Micros wait = std::max<Micros>(0, due - LocalTime(i));
  const Micros timer_due = now_ + static_cast<Micros>(static_cast<double>(wait) / member.clock_rate) + 1;
  // An earlier timer can stay: when it expires, nothing is due, and the timer is set again.
  if (member.timer_due != 0 && member.timer_due <= timer_due && member.timer_due > now_)
    return;
  member.timer_due = timer_due;
  Push(timer_due, i, TimerExpiry{++member.timer_id});
}

Micros VirtualCluster::DrawDelay() {
  const Network& network = options_.network;
  const auto draw = [this](Micros min, Micros max) {
    return min + random_(static_cast<std::uint32_t>(std::max<Micros>(1, max - min)));
  };
  return Chance(network.slow_share) ? draw(network.min_delay, network.max_slow_delay)
                                    : draw(network.min_delay, network.max_delay);
}

void VirtualCluster::Perform(int i, cluster::SendPacket&& send) {
  auto bytes = std::make_shared<const std::string>(membership::Encode(send.packet));
  Traffic& traffic = members_[i].traffic;
  ++traffic.packets;
  traffic.bytes += bytes->size();
  traffic.longest_packet = std::max(traffic.longest_packet, bytes->size());
  if (bytes->size() > options_.settings.membership.max_packet_bytes)
    throw std::logic_error("virtual cluster: a member sent a packet of " + std::to_string(bytes->size()) +
                           " bytes, above max_packet_bytes");
  const auto to = by_address_.find(send.address);
  if (to == by_address_.end() || cuts_.contains({i, to->second}))
    return;
  const auto packet =
      options_.decode_packets ? nullptr : std::make_shared<const membership::Packet>(std::move(send.packet));
  const int copies = (Chance(options_.network.loss) ? 0 : 1) + (Chance(options_.network.duplication) ? 1 : 0);
  for (int copy = 0; copy < copies; ++copy)
    Push(now_ + DrawDelay(), to->second, PacketArrival{members_[i].address, packet, bytes});
}

void VirtualCluster::Perform(int i, cluster::StartProbe&& probe) {
  if (on_probe)
    on_probe(i, probe.worker);
  const Micros elapsed = 500 + random_(5'000);
  Push(now_ + elapsed, i, ProbeCompletion{probe.number, elapsed});
}

}  // namespace aldersill::tools
