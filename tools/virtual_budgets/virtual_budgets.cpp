#include "virtual_budgets/virtual_budgets.h"

#include <algorithm>
#include <cmath>

#include "budgets/codec.h"

namespace aldersill::tools {
namespace {

// Unix time at which runs begin. It is a whole minute, so that windows begin with the run.
constexpr Micros kStartTime = 1'700'000'040 * kSecond;
constexpr std::size_t kSocketBufferPackets = 256;  // kept for a paused process
constexpr Micros kAnnounceInterval = kSecond;

}  // namespace

VirtualBudgets::VirtualBudgets(Options options) : options_(std::move(options)), random_(options_.seed, 5) {
  instances_.resize(static_cast<std::size_t>(options_.instances));
  for (int i = 0; i < options_.instances; ++i) {
    instances_[i].seat = i + 1;
    instances_[i].clock_rate = 1.0 + options_.max_drift * (2 * RandomFraction() - 1);
    if (options_.max_clock_offset > 0)
      instances_[i].clock_offset = random_(static_cast<std::uint32_t>(options_.max_clock_offset));
  }
}

Micros VirtualBudgets::LocalTime(int i) const {
  const Instance& instance = instances_[i];
  return kStartTime + instance.clock_offset +
         static_cast<Micros>(static_cast<double>(now_) * instance.clock_rate);
}

void VirtualBudgets::Start(int i) {
  Instance& instance = instances_[i];
  ++instance.incarnation;
  instance.paused = false;
  instance.pending.clear();
  instance.timer_generation = 0;
  instance.timer_due = 0;
  instance.epoch = std::max(instance.epoch + 1, static_cast<std::uint64_t>(LocalTime(i) / kMillisecond));
  budgets::Settings s = options_.settings;
  s.name = name(i), s.epoch = instance.epoch, s.seat = instance.seat;
  const std::uint64_t seed =
      options_.seed * 1'000'003 + static_cast<std::uint64_t>(i) * 101 + instance.incarnation;
  if (i < options_.voters) {
    duties::LeaseSettings lease{.duty = "budgets",
                                .name = s.name,
                                .epoch = s.epoch,
                                .voters = {},
                                .timespan = options_.lease,
                                .max_clock_drift = s.max_clock_drift};
    for (int v = 0; v < std::min(options_.voters, size()); ++v)
      lease.voters.push_back(name(v));
    instance.lease = std::make_unique<duties::Lease>(std::move(lease), seed);
  }
  instance.quota_allocator = std::make_unique<budgets::QuotaAllocator>(s);
  instance.quota_client = std::make_unique<budgets::QuotaClient>(std::move(s));
  ToQuotaClient(i, budgets::QuotaClientStarted{});
  if (instance.lease)
    ToLease(i, duties::LeaseStarted{});
  Push(now_ + kAnnounceInterval, i, Announce{});
}

void VirtualBudgets::Kill(int i) {
  Instance& instance = instances_[i];
  instance.lease.reset();
  instance.quota_client.reset();
  instance.quota_allocator.reset();
  ++instance.incarnation;
  instance.paused = false;
  instance.pending.clear();
}

void VirtualBudgets::Resume(int i) {
  Instance& instance = instances_[i];
  if (!std::exchange(instance.paused, false))
    return;
  // Its timers are overdue and its sockets hold packets. An event loop may serve either of them first.
  const bool timers_first = random_(2) == 0;
  for (int turn = 0; turn < 2; ++turn) {
    if ((turn == 0) == timers_first) {
      if (instance.lease)
        ToLease(i, duties::LeaseTimerExpired{});
      ToQuotaClient(i, budgets::QuotaClientTimerExpired{});
      Push(now_, i, Announce{});
    } else {
      for (auto pending = std::exchange(instance.pending, {}); !pending.empty(); pending.pop_front())
        Deliver(i, *pending.front());
    }
  }
}

void VirtualBudgets::ReleaseQuota(int i) { ToQuotaClient(i, budgets::ReleaseQuota{}); }

void VirtualBudgets::Split(const std::set<int>& side) {
  for (int a = 0; a < size(); ++a) {
    for (int b = 0; b < size(); ++b) {
      if (side.contains(a) != side.contains(b))
        Cut(a, b);
    }
  }
}

void VirtualBudgets::Push(Micros at, int instance, Event event) {
  Push(at, instance, std::make_shared<const Event>(std::move(event)));
}

void VirtualBudgets::Push(Micros at, int instance, std::shared_ptr<const Event> event) {
  queue_.push(Item{at, next_number_++, instance, instance < 0 ? 0 : instances_[instance].incarnation,
                   std::move(event)});
}

void VirtualBudgets::RunUntil(Micros time) {
  while (!queue_.empty() && queue_.top().at <= time) {
    const Item item = queue_.top();
    queue_.pop();
    now_ = std::max(now_, item.at);
    if (const auto* script = std::get_if<Script>(item.event.get())) {
      script->action();
      continue;
    }
    Instance& instance = instances_[item.instance];
    if (!instance.quota_client)
      continue;
    // A packet goes to the present incarnation. All other events are for the incarnation that scheduled them.
    if (instance.incarnation != item.incarnation && !std::holds_alternative<PacketArrival>(*item.event))
      continue;
    if (instance.paused) {
      const bool kept = std::holds_alternative<SlotsFreed>(*item.event) ||
                        (std::holds_alternative<PacketArrival>(*item.event) &&
                         instance.pending.size() < kSocketBufferPackets);
      if (kept)
        instance.pending.push_back(item.event);
      continue;
    }
    Deliver(item.instance, *item.event);
  }
  now_ = std::max(now_, time);
}

void VirtualBudgets::Deliver(int i, const Event& event) {
  Instance& instance = instances_[i];
  if (const auto* expiry = std::get_if<TimerExpiry>(&event)) {
    if (expiry->timer_generation != instance.timer_generation)
      return;
    instance.timer_due = 0;
    if (instance.lease && instance.lease->next_due() <= LocalTime(i))
      ToLease(i, duties::LeaseTimerExpired{});
    ToQuotaClient(i, budgets::QuotaClientTimerExpired{});
  } else if (const auto* arrival = std::get_if<PacketArrival>(&event)) {
    DeliverPacket(i, *arrival);
  } else if (const auto* freed = std::get_if<SlotsFreed>(&event)) {
    instance.quota_client->Free(LocalTime(i), options_.settings.budgets[freed->budget].name, freed->count);
    SetTimer(i);
  } else {
    const auto term = instance.lease ? instance.lease->HeldTerm(LocalTime(i)) : std::nullopt;
    if (term)
      AnnounceLease(i, *term);
    Push(now_ + kAnnounceInterval, i, Announce{});
  }
}

void VirtualBudgets::DeliverPacket(int i, const PacketArrival& arrival) {
  if (const auto* lease = std::get_if<duties::LeaseMessage>(&arrival.message)) {
    if (instances_[i].lease)
      ToLease(i, duties::LeaseMessageReceived{name(arrival.from), *lease});
  } else if (const auto* request = std::get_if<budgets::QuotaRequest>(&arrival.message)) {
    const auto& own = instances_[i].lease;
    ToQuotaAllocator(i, budgets::QuotaRequestReceived{name(arrival.from), *request,
                                                      own ? own->HeldTerm(LocalTime(i)) : std::nullopt});
  } else if (const auto* grant = std::get_if<budgets::QuotaGrant>(&arrival.message)) {
    ToQuotaClient(i, budgets::QuotaGrantReceived{name(arrival.from), *grant});
    if (on_grant)
      on_grant(i);
  } else {
    ToQuotaClient(i, budgets::LeaseHolderChanged{name(arrival.from),
                                                 std::get<LeaseAnnouncement>(arrival.message).term});
  }
}

void VirtualBudgets::AnnounceLease(int i, std::uint64_t term) {
  for (int j = 0; j < size(); ++j) {
    if (IsRunning(j))
      Send(i, j, LeaseAnnouncement{term});
  }
}

void VirtualBudgets::ToLease(int i, duties::LeaseEvent event) {
  std::vector<duties::LeaseEffect> effects;
  instances_[i].lease->Handle(LocalTime(i), std::move(event), &effects);
  for (duties::LeaseEffect& effect : effects) {
    if (on_lease_effect)
      on_lease_effect(i, effect);
    if (auto* send = std::get_if<duties::SendLeaseMessage>(&effect)) {
      Send(i, IndexOf(send->to), std::move(send->message));
    } else if (const auto* taken = std::get_if<duties::LeaseAcquired>(&effect)) {
      ToQuotaAllocator(i, budgets::TermBegan{taken->term});
      AnnounceLease(i, taken->term);
    } else {
      ToQuotaAllocator(i, budgets::TermEnded{});
    }
  }
  SetTimer(i);
}

void VirtualBudgets::ToQuotaClient(int i, budgets::QuotaClientEvent event) {
  std::vector<budgets::QuotaClientEffect> effects;
  instances_[i].quota_client->Handle(LocalTime(i), std::move(event), &effects);
  for (budgets::QuotaClientEffect& effect : effects) {
    if (on_quota_client_effect)
      on_quota_client_effect(i, effect);
    if (auto* send = std::get_if<budgets::SendQuotaRequest>(&effect)) {
      if (!on_request || on_request(i, IndexOf(send->to), send->request))
        Send(i, IndexOf(send->to), std::move(send->request));
    } else if (on_error) {
      on_error(i, std::get<budgets::QuotaClientFailed>(effect).error);
    }
  }
  SetTimer(i);
}

void VirtualBudgets::ToQuotaAllocator(int i, budgets::QuotaAllocatorEvent event) {
  std::vector<budgets::QuotaAllocatorEffect> effects;
  const bool is_request = std::holds_alternative<budgets::QuotaRequestReceived>(event);
  const auto before = std::chrono::steady_clock::now();
  instances_[i].quota_allocator->Handle(LocalTime(i), std::move(event), &effects);
  if (is_request) {
    allocator_seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    ++allocator_requests;
  }
  for (budgets::QuotaAllocatorEffect& effect : effects) {
    if (on_quota_allocator_effect)
      on_quota_allocator_effect(i, effect);
    if (auto* send = std::get_if<budgets::SendQuotaGrant>(&effect)) {
      Send(i, IndexOf(send->to), std::move(send->grant));
    } else if (on_error) {
      on_error(i, std::get<budgets::QuotaAllocatorFailed>(effect).error);
    }
  }
}

template <typename M>
void VirtualBudgets::Send(int from, int to, M message) {
  if constexpr (std::is_same_v<M, budgets::QuotaRequest> || std::is_same_v<M, budgets::QuotaGrant>) {
    ++packets;
    if (options_.count_bytes)
      bytes += budgets::Encode(message).size();
  }
  if (cuts_.contains({from, to}) || (from != to && Chance(options_.network.loss)))
    return;
  const auto event = std::make_shared<const Event>(PacketArrival{from, {std::move(message)}});
  const int times = from != to && Chance(options_.network.duplicated) ? 2 : 1;
  for (int n = 0; n < times; ++n)
    Push(now_ + (from == to ? 1 : Delay()), to, event);
}

Micros VirtualBudgets::Delay() {
  const BudgetNetwork& net = options_.network;
  const Micros max_delay = Chance(net.slow) ? net.max_slow_delay : net.max_delay;
  return net.min_delay + random_(static_cast<std::uint32_t>(std::max<Micros>(1, max_delay - net.min_delay)));
}

void VirtualBudgets::SetTimer(int i) {
  Instance& instance = instances_[i];
  Micros due = instance.quota_client->next_due();
  if (instance.lease)
    due = std::min(due, instance.lease->next_due());
  if (due == INT64_MAX)
    return;
  const auto local = static_cast<double>(due - kStartTime - instance.clock_offset);
  const Micros at = std::max(now_ + 1, static_cast<Micros>(std::ceil(local / instance.clock_rate)) + 1);
  if (instance.timer_due != 0 && instance.timer_due <= at && instance.timer_due > now_)
    return;  // the timer that is set expires earlier and will be set again then
  instance.timer_due = at;
  Push(at, i, TimerExpiry{++instance.timer_generation});
}

std::optional<int> VirtualBudgets::Holder() const {
  for (int i = 0; i < size(); ++i) {
    const auto& lease = instances_[i].lease;
    if (lease && !instances_[i].paused && lease->HeldTerm(LocalTime(i)))
      return i;
  }
  return std::nullopt;
}

bool VirtualBudgets::Take(int i, std::size_t budget, std::int64_t count) {
  if (!IsRunning(i) || IsPaused(i))
    return false;
  const bool taken =
      !instances_[i].quota_client->Take(LocalTime(i), options_.settings.budgets[budget].name, count);
  SetTimer(i);
  return taken;
}

void VirtualBudgets::Free(int i, std::size_t budget, int incarnation, std::int64_t count) {
  if (IsRunning(i) && incarnation == instances_[i].incarnation)
    Push(now_, i, SlotsFreed{budget, count});
}

void VirtualBudgets::SetWaiting(int i, std::size_t budget, std::int64_t count) {
  if (!IsRunning(i) || IsPaused(i))
    return;
  instances_[i].quota_client->SetWaiting(LocalTime(i), options_.settings.budgets[budget].name, count);
  SetTimer(i);
}

}  // namespace aldersill::tools
