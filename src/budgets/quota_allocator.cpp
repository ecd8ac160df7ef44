#include "budgets/quota_allocator.h"

#include <algorithm>
#include <cstdlib>

#include "budgets/division.h"

namespace aldersill::budgets {
namespace {

constexpr Micros kNever = INT64_MAX;
// The shortest time between two divisions.
constexpr Micros kMinDivideInterval = 100 * kMillisecond;
// 1/100 of what can be granted is the sum of the floors, for instances that report no demand.
constexpr Units kFloorDivisor = 100;
// A factor on the reported demand, applied even if other instances demand more.
constexpr double kHeadroom = 1.03;
// A share that would change by at most this fraction stays as it is.
constexpr double kMinRelativeChange = 0.05;

}  // namespace

QuotaAllocator::QuotaAllocator(Settings settings)
    : settings_(std::move(settings)), digest_(Digest(settings_)), ledgers_(settings_.budgets.size()) {}

void QuotaAllocator::Handle(Micros now, QuotaAllocatorEvent event,
                            std::vector<QuotaAllocatorEffect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  CatchUp();
  std::visit([this](const auto& e) { On(e); }, event);
}

bool QuotaAllocator::Learning(std::size_t budget, Micros now) const {
  return !term_ || now < ledgers_[budget].learning_until;
}

void QuotaAllocator::On(const TermBegan& e) {
  // Forgets everything, even if this instance was the holder before: others may have granted shares since.
  term_ = e.term;
  members_.clear();
  for (std::size_t i = 0; i < ledgers_.size(); ++i) {
    const Budget& b = settings_.budgets[i];
    ledgers_[i] = Ledger{};
    ledgers_[i].window = WindowAt(b, now_);
#ifndef ALDERSILL_MUTANT_NO_LEARNING_PERIOD  // injected fault that budgets_search must detect
    if (b.kind == Kind::kAmount) {
      // The predecessor's clock may have been ahead by up to max_clock_skew, and so in a later window
      // already.
      ledgers_[i].learning_until =
          static_cast<Micros>(WindowAt(b, now_ + settings_.max_clock_skew) + 1) * b.window;
    } else {
      ledgers_[i].learning_until =
          now_ + settings_.grant_duration +
          static_cast<Micros>(static_cast<double>(b.longest_use) * (1 + 2 * settings_.max_clock_drift));
    }
#endif
  }
  changed_ = true;
  divide_at_ = now_;
}

void QuotaAllocator::On(const TermEnded&) { term_.reset(); }

void QuotaAllocator::CatchUp() {
  for (std::size_t i = 0; i < ledgers_.size(); ++i) {
    Ledger& ledger = ledgers_[i];
    if (const std::uint64_t window = WindowAt(settings_.budgets[i], now_); window != ledger.window) {
      const Micros learning_until = ledger.learning_until;
      ledger = Ledger{};
      ledger.window = window;
      ledger.learning_until = learning_until;
      for (auto& [name, member] : members_)
        member.lines[i].demand = member.lines[i].target = 0;
      changed_ = true;
    }
    while (!ledger.expiries.empty() && ledger.expiries.begin()->first <= now_) {
      const IncarnationKey key = ledger.expiries.begin()->second;
      RecordOutstanding(&ledger, key, 0, kNever);
      changed_ = true;
    }
  }
}

void QuotaAllocator::RecordOutstanding(Ledger* ledger, const IncarnationKey& key, Units share,
                                       Micros expires_at) {
  if (const auto found = ledger->outstanding.find(key); found != ledger->outstanding.end()) {
    ledger->outstanding_total -= found->second.share;
    ledger->expiries.erase({found->second.expires_at, key});
    ledger->outstanding.erase(found);
  }
  if (share <= 0)
    return;
  ledger->outstanding_total += share;
  ledger->outstanding.emplace(key, OutstandingGrant{share, expires_at});
  if (expires_at != kNever)
    ledger->expiries.insert({expires_at, key});
}

Units QuotaAllocator::OutstandingOf(const Ledger& ledger, const IncarnationKey& key) const {
  const auto found = ledger.outstanding.find(key);
  return found == ledger.outstanding.end() ? 0 : found->second.share;
}

void QuotaAllocator::BeginIncarnation(const std::string& name, Member* member, const QuotaRequest& request) {
  if (member->epoch != 0) {
    // The grant of a rate ends with its incarnation. The slots of a level may still be in use at workers, and
    // all that was granted of an amount may have been used, so these stay outstanding.
    const IncarnationKey former{name, member->epoch};
    for (std::size_t i = 0; i < ledgers_.size(); ++i) {
#ifdef ALDERSILL_MUTANT_FORGOTTEN_EPOCH  // injected fault that budgets_search must detect
      RecordOutstanding(&ledgers_[i], former, 0, kNever);
#else
      if (settings_.budgets[i].kind == Kind::kRate)
        RecordOutstanding(&ledgers_[i], former, 0, kNever);
#endif
    }
  }
  *member = Member{};
  member->epoch = request.epoch;
  member->lines.resize(ledgers_.size());
  if (request.digest != digest_)
    effects_->push_back(QuotaAllocatorFailed{{ErrorCode::kSettingsDiffer, name}});
}

void QuotaAllocator::On(const QuotaRequestReceived& e) {
#ifdef ALDERSILL_MUTANT_NO_LEASE_CHECK  // injected fault that budgets_search must detect
  const bool holds = term_.has_value();
#else
  const bool holds = term_ && e.held_term == term_;
#endif
  if (!holds) {
    ++counters_.not_held;
    return;
  }
  const QuotaRequest& request = e.request;
  Member& member = members_[e.from];
  if (request.epoch < member.epoch || (request.epoch == member.epoch && request.number <= member.number)) {
#ifndef ALDERSILL_MUTANT_STALE_REQUEST  // injected fault that budgets_search must detect
    ++counters_.stale;
    return;
#endif
  }
  if (request.epoch != member.epoch) {
    BeginIncarnation(e.from, &member, request);
    changed_ = true;
  }
  member.number = request.number;
  member.last_seen_at = now_;
  if (request.digest != digest_ || request.lines.size() != ledgers_.size()) {
    ++counters_.settings_differ;
    return;
  }
  changed_ |= member.weight != request.weight || member.leaving != request.leaving;
  member.weight = request.weight;
  member.leaving = request.leaving;
  for (std::size_t i = 0; i < ledgers_.size(); ++i) {
    const Units demand =
        request.lines[i].window == ledgers_[i].window ? std::max<Units>(0, request.lines[i].demand) : 0;
    changed_ |= demand != member.lines[i].demand;
    member.lines[i].demand = demand;
  }
  if (changed_ && now_ >= divide_at_)
    DivideAll();
  QuotaGrant grant{*term_, request.epoch, request.number, settings_.grant_duration, {}};
  const IncarnationKey key{e.from, request.epoch};
  for (std::size_t i = 0; i < ledgers_.size(); ++i)
    grant.lines.push_back(Allocate(i, key, member, request.lines[i]));
  ++counters_.requests_answered;
  if (!request.leaving)
    effects_->push_back(SendQuotaGrant{e.from, std::move(grant)});
}

QuotaGrantLine QuotaAllocator::Allocate(std::size_t budget, const IncarnationKey& key, const Member& member,
                                        const QuotaRequestLine& line) {
  const Budget& b = settings_.budgets[budget];
  Ledger& ledger = ledgers_[budget];
  QuotaGrantLine grant{0, line.window, Learning(budget, now_)};
  if (line.window != ledger.window)
    return grant;  // an amount, and the client's clock is in another window
  const Units reported_share = std::max<Units>(0, line.share);
  const Units reported = std::max({reported_share, line.used_above_fallback, Units{0}});
#ifdef ALDERSILL_MUTANT_GRANT_BEFORE_RECLAIM  // injected fault that budgets_search must detect
  const Units others = 0;
  Units before = 0;
  for (const auto& [name, m] : members_)
    before += &m == &member ? 0 : m.lines[budget].target;
  const Units room = std::max<Units>(0, Allocatable(b, settings_.instances) - before - others);
#else
  const Units room = std::max<Units>(
      0, Allocatable(b, settings_.instances) - (ledger.outstanding_total - OutstandingOf(ledger, key)));
#endif
  if (!member.leaving)
    grant.share = std::min(grant.renewal ? reported_share : member.lines[budget].target, room);
  // The client may hold the reported share or the granted one until its next request shows which, so the
  // larger one counts.
  Micros expires_at = now_ + settings_.grant_duration;
  if (b.kind == Kind::kLevel)
    expires_at +=
        static_cast<Micros>(static_cast<double>(b.longest_use) * (1 + 2 * settings_.max_clock_drift));
  if (b.kind == Kind::kAmount)
    expires_at = kNever;  // an amount that may have been used counts until the window ends
  RecordOutstanding(&ledger, key, std::max(reported, grant.share), expires_at);
  return grant;
}

void QuotaAllocator::DivideAll() {
  changed_ = false;
  divide_at_ = now_ + kMinDivideInterval;
  ++counters_.divisions;
  // Forgets members that hold nothing and have sent no request for two grant durations. Not earlier, because
  // the number of the last request tells delayed requests from new ones.
  std::erase_if(members_, [this](const auto& item) {
    const auto& [name, member] = item;
    if (member.last_seen_at + 2 * settings_.grant_duration >= now_)
      return false;
    return std::all_of(ledgers_.begin(), ledgers_.end(),
                       [key = IncarnationKey{name, member.epoch}, this](const Ledger& ledger) {
                         return OutstandingOf(ledger, key) == 0;
                       });
  });
  for (std::size_t i = 0; i < ledgers_.size(); ++i)
    DivideOne(i);
}

void QuotaAllocator::DivideOne(std::size_t budget) {
  const Units total = Allocatable(settings_.budgets[budget], settings_.instances);
  const Ledger& ledger = ledgers_[budget];
  std::vector<Claim> claims;
  std::vector<Line*> lines;
  Units unavailable = ledger.outstanding_total;  // outstanding to former incarnations and to inactive members
  for (auto& [name, member] : members_) {
    const Units own = OutstandingOf(ledger, {name, member.epoch});
    unavailable -= own;
    const bool inactive = member.leaving || member.last_seen_at + settings_.grant_duration < now_;
    if (inactive) {
      unavailable += own;
      member.lines[budget].target = 0;
      continue;
    }
    const double wanted = static_cast<double>(member.lines[budget].demand) * kHeadroom;
    claims.push_back({static_cast<Units>(wanted + 0.999), member.weight});
    lines.push_back(&member.lines[budget]);
  }
  const Units left = std::max<Units>(0, total - unavailable);
  const std::vector<Units> shares = Divide(left, left / kFloorDivisor, claims);
  // A small change of a share is taken for noise, and the share stays as it is, unless the shares then exceed
  // what is left or leave more than 1 % of the division unused.
  Units kept_sum = 0, sum = 0;
  std::vector<Units> kept(shares.size());
  for (std::size_t at = 0; at < shares.size(); ++at) {
    const Units previous = lines[at]->target;
    const bool small_change = std::abs(static_cast<double>(shares[at] - previous)) <=
                              kMinRelativeChange * static_cast<double>(previous);
    kept[at] = small_change ? previous : shares[at];
    kept_sum += kept[at];
    sum += shares[at];
  }
  const bool fits = kept_sum <= left && static_cast<double>(kept_sum) >= 0.99 * static_cast<double>(sum);
  for (std::size_t at = 0; at < shares.size(); ++at)
    lines[at]->target = fits ? kept[at] : shares[at];
}

}  // namespace aldersill::budgets
