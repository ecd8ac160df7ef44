#include "virtual_budgets/virtual_budgets.h"

#include <algorithm>
#include <cmath>

#include "budgets/codec.h"

namespace aldersill::tools {
namespace {

// Unix time at which runs begin: a whole minute, as windows are to begin with runs.
constexpr Micros kBegin = 1'700'000'040 * kSecond;
constexpr std::size_t kSocketHolds = 256;  // for a process that stands still
constexpr Micros kAnnounceEach = kSecond;

}  // namespace

VirtualBudgets::VirtualBudgets(Options options) : o_(std::move(options)), random_(o_.seed, 5) {
  instances_.resize(static_cast<std::size_t>(o_.instances));
  for (int i = 0; i < o_.instances; ++i) {
    instances_[i].seat = i + 1;
    instances_[i].rate = 1.0 + o_.drift * (2 * Share() - 1);
    if (o_.clocks_apart > 0)
      instances_[i].ahead = random_(static_cast<std::uint32_t>(o_.clocks_apart));
  }
}

Micros VirtualBudgets::LocalTime(int i) const {
  const Instance& instance = instances_[i];
  return kBegin + instance.ahead + static_cast<Micros>(static_cast<double>(now_) * instance.rate);
}

void VirtualBudgets::Begin(int i) {
  Instance& instance = instances_[i];
  ++instance.life;
  instance.paused = false;
  instance.held.clear();
  instance.setting = 0;
  instance.rings = 0;
  instance.epoch = std::max(instance.epoch + 1, static_cast<std::uint64_t>(LocalTime(i) / kMillisecond));
  budgets::Settings s = o_.settings;
  s.name = name(i), s.epoch = instance.epoch, s.seat = instance.seat;
  const std::uint64_t seed = o_.seed * 1'000'003 + static_cast<std::uint64_t>(i) * 101 + instance.life;
  if (i < o_.voters) {
    duties::LeaseSettings lease{.duty = "budgets",
                                .name = s.name,
                                .epoch = s.epoch,
                                .voters = {},
                                .timespan = o_.lease,
                                .max_clock_drift = s.most_drift};
    for (int v = 0; v < std::min(o_.voters, size()); ++v)
      lease.voters.push_back(name(v));
    instance.lease = std::make_unique<duties::Lease>(std::move(lease), seed);
  }
  instance.quota_allocator = std::make_unique<budgets::QuotaAllocator>(s);
  instance.quota_client = std::make_unique<budgets::QuotaClient>(std::move(s));
  ToQuotaClient(i, budgets::QuotaClientStarted{});
  if (instance.lease)
    ToLease(i, duties::LeaseStarted{});
  Push(now_ + kAnnounceEach, i, Announce{});
}

void VirtualBudgets::Kill(int i) {
  Instance& instance = instances_[i];
  instance.lease.reset(), instance.quota_client.reset(), instance.quota_allocator.reset();
  ++instance.life;
  instance.paused = false;
  instance.held.clear();
}

void VirtualBudgets::Resume(int i) {
  Instance& instance = instances_[i];
  if (!std::exchange(instance.paused, false))
    return;
  // Its timers are long overdue, and its sockets full: the loop may serve either first.
  const bool timers_first = random_(2) == 0;
  for (int turn = 0; turn < 2; ++turn) {
    if ((turn == 0) == timers_first) {
      if (instance.lease)
        ToLease(i, duties::LeaseTimerExpired{});
      ToQuotaClient(i, budgets::QuotaClientTimerExpired{});
      Push(now_, i, Announce{});
    } else {
      for (auto held = std::exchange(instance.held, {}); !held.empty(); held.pop_front())
        Deliver(i, *held.front());
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

void VirtualBudgets::Push(Micros at, int instance, What what) {
  Push(at, instance, std::make_shared<const What>(std::move(what)));
}

void VirtualBudgets::Push(Micros at, int instance, std::shared_ptr<const What> what) {
  queue_.push(
      Item{at, next_number_++, instance, instance < 0 ? 0 : instances_[instance].life, std::move(what)});
}

void VirtualBudgets::RunUntil(Micros time) {
  while (!queue_.empty() && queue_.top().at <= time) {
    const Item item = queue_.top();
    queue_.pop();
    now_ = std::max(now_, item.at);
    if (const auto* script = std::get_if<Script>(item.what.get())) {
      script->what();
      continue;
    }
    Instance& instance = instances_[item.instance];
    if (!instance.quota_client)
      continue;
    // A packet finds whoever listens there now; all else is of the life that set it.
    if (instance.life != item.life && !std::holds_alternative<Arrives>(*item.what))
      continue;
    if (instance.paused) {
      const bool kept = std::holds_alternative<Freed>(*item.what) ||
                        (std::holds_alternative<Arrives>(*item.what) && instance.held.size() < kSocketHolds);
      if (kept)
        instance.held.push_back(item.what);
      continue;
    }
    Deliver(item.instance, *item.what);
  }
  now_ = std::max(now_, time);
}

void VirtualBudgets::Deliver(int i, const What& what) {
  Instance& instance = instances_[i];
  if (const auto* rings = std::get_if<TimerRings>(&what)) {
    if (rings->setting != instance.setting)
      return;
    instance.rings = 0;
    if (instance.lease && instance.lease->next_due() <= LocalTime(i))
      ToLease(i, duties::LeaseTimerExpired{});
    ToQuotaClient(i, budgets::QuotaClientTimerExpired{});
  } else if (const auto* arrives = std::get_if<Arrives>(&what)) {
    Hear(i, *arrives);
  } else if (const auto* freed = std::get_if<Freed>(&what)) {
    instance.quota_client->Free(LocalTime(i), o_.settings.budgets[freed->budget].name, freed->count);
    SetTimer(i);
  } else {
    const auto term = instance.lease ? instance.lease->HeldTerm(LocalTime(i)) : std::nullopt;
    if (term)
      BroadcastResult(i, *term);
    Push(now_ + kAnnounceEach, i, Announce{});
  }
}

void VirtualBudgets::Hear(int i, const Arrives& arrives) {
  if (const auto* lease = std::get_if<duties::LeaseMessage>(&arrives.message)) {
    if (instances_[i].lease)
      ToLease(i, duties::LeaseMessageReceived{name(arrives.from), *lease});
  } else if (const auto* ask = std::get_if<budgets::QuotaRequest>(&arrives.message)) {
    const auto& own = instances_[i].lease;
    ToQuotaAllocator(i, budgets::QuotaRequestReceived{name(arrives.from), *ask,
                                                      own ? own->HeldTerm(LocalTime(i)) : std::nullopt});
  } else if (const auto* answer = std::get_if<budgets::QuotaGrant>(&arrives.message)) {
    ToQuotaClient(i, budgets::QuotaGrantReceived{name(arrives.from), *answer});
    if (on_answer)
      on_answer(i);
  } else {
    ToQuotaClient(i,
                  budgets::LeaseHolderChanged{name(arrives.from), std::get<HoldsNow>(arrives.message).term});
  }
}

void VirtualBudgets::BroadcastResult(int i, std::uint64_t term) {
  for (int j = 0; j < size(); ++j) {
    if (Runs(j))
      Send(i, j, HoldsNow{term});
  }
}

void VirtualBudgets::ToLease(int i, duties::LeaseEvent event) {
  std::vector<duties::LeaseEffect> effects;
  instances_[i].lease->Handle(LocalTime(i), std::move(event), &effects);
  for (duties::LeaseEffect& effect : effects) {
    if (on_lease_effect)
      on_lease_effect(i, effect);
    if (auto* send = std::get_if<duties::SendLeaseMessage>(&effect)) {
      Send(i, Number(send->to), std::move(send->message));
    } else if (const auto* taken = std::get_if<duties::LeaseAcquired>(&effect)) {
      ToQuotaAllocator(i, budgets::TermBegan{taken->term});
      BroadcastResult(i, taken->term);
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
      if (!on_ask || on_ask(i, Number(send->to), send->ask))
        Send(i, Number(send->to), std::move(send->ask));
    } else if (on_error) {
      on_error(i, std::get<budgets::QuotaClientFailed>(effect).error);
    }
  }
  SetTimer(i);
}

void VirtualBudgets::ToQuotaAllocator(int i, budgets::QuotaAllocatorEvent event) {
  std::vector<budgets::QuotaAllocatorEffect> effects;
  const bool ask = std::holds_alternative<budgets::QuotaRequestReceived>(event);
  const auto before = std::chrono::steady_clock::now();
  instances_[i].quota_allocator->Handle(LocalTime(i), std::move(event), &effects);
  if (ask) {
    grantor_seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    ++grantor_asks;
  }
  for (budgets::QuotaAllocatorEffect& effect : effects) {
    if (on_quota_allocator_effect)
      on_quota_allocator_effect(i, effect);
    if (auto* send = std::get_if<budgets::SendQuotaGrant>(&effect)) {
      Send(i, Number(send->to), std::move(send->answer));
    } else if (on_error) {
      on_error(i, std::get<budgets::QuotaAllocatorFailed>(effect).error);
    }
  }
}

template <typename M>
void VirtualBudgets::Send(int from, int to, M message) {
  if constexpr (std::is_same_v<M, budgets::QuotaRequest> || std::is_same_v<M, budgets::QuotaGrant>) {
    ++packets;
    if (o_.count_bytes)
      bytes += budgets::Encode(message).size();
  }
  if (cuts_.contains({from, to}) || (from != to && Chance(o_.network.loss)))
    return;
  const auto what = std::make_shared<const What>(Arrives{from, {std::move(message)}});
  const int times = from != to && Chance(o_.network.doubled) ? 2 : 1;
  for (int n = 0; n < times; ++n)
    Push(now_ + (from == to ? 1 : Delay()), to, what);
}

Micros VirtualBudgets::Delay() {
  const BudgetNetwork& net = o_.network;
  const Micros most = Chance(net.slow) ? net.slow_most : net.delay_most;
  return net.delay_least + random_(static_cast<std::uint32_t>(std::max<Micros>(1, most - net.delay_least)));
}

void VirtualBudgets::SetTimer(int i) {
  Instance& instance = instances_[i];
  Micros due = instance.quota_client->next_due();
  if (instance.lease)
    due = std::min(due, instance.lease->next_due());
  if (due == INT64_MAX)
    return;
  const auto local = static_cast<double>(due - kBegin - instance.ahead);
  const Micros at = std::max(now_ + 1, static_cast<Micros>(std::ceil(local / instance.rate)) + 1);
  if (instance.rings != 0 && instance.rings <= at && instance.rings > now_)
    return;  // rings before: set anew then
  instance.rings = at;
  Push(at, i, TimerRings{++instance.setting});
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
  if (!Runs(i) || Stands(i))
    return false;
  const bool may = !instances_[i].quota_client->Take(LocalTime(i), o_.settings.budgets[budget].name, count);
  SetTimer(i);
  return may;
}

void VirtualBudgets::Free(int i, std::size_t budget, int life, std::int64_t count) {
  if (Runs(i) && life == instances_[i].life)
    Push(now_, i, Freed{budget, count});
}

void VirtualBudgets::Waiting(int i, std::size_t budget, std::int64_t count) {
  if (!Runs(i) || Stands(i))
    return;
  instances_[i].quota_client->Waiting(LocalTime(i), o_.settings.budgets[budget].name, count);
  SetTimer(i);
}

}  // namespace aldersill::tools
