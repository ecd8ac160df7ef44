#include "budgets/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace aldersill::budgets {
namespace {

constexpr Micros kNever = INT64_MAX;
constexpr Micros kSmoothed = 2 * kSecond;  // demand is an average that forgets within this time
constexpr double kChance = 4.0;            // standard deviations of arrivals that come by chance

double Seconds(Micros time) { return static_cast<double>(time) / kSecond; }

}  // namespace

QuotaClient::QuotaClient(Settings settings)
    : settings_(std::move(settings)),
      digest_(Digest(settings_)),
      soon_(settings_.grant / 20),
      retry_(settings_.grant / 8),
      calm_(settings_.grant / 4),
      states_(settings_.budgets.size()) {}

void QuotaClient::Handle(Micros now, QuotaClientEvent event, std::vector<QuotaClientEffect>* effects) {
  CatchUp(now);
  effects_ = effects;
  std::visit([this](const auto& e) { On(e); }, event);
  if (!lapsed_ && now_ >= until_) {
    lapsed_ = true;
    ++counters_.lapsed;
    effects_->push_back(QuotaClientFailed{{ErrorCode::kNoGrant, settings_.name}});
  }
}

Micros QuotaClient::next_due() const {
  if (left_)
    return repeats_ > 0 ? due_ : kNever;
  return lapsed_ ? due_ : std::min(due_, until_);
}

int QuotaClient::Index(std::string_view budget) const {
  for (std::size_t i = 0; i < settings_.budgets.size(); ++i) {
    if (settings_.budgets[i].name == budget)
      return static_cast<int>(i);
  }
  return -1;
}

// ---- What may be used ----

Units QuotaClient::FallbackQuotaNow(const Budget& b, Micros now) const {
  if (settings_.seat > settings_.instances || left_)
    return 0;
#ifdef ALDERSILL_MUTANT_DOUBLE_FALLBACK  // injected fault that budgets_search must detect
  static_cast<void>(now);
#else
  // What the seat's former life took of it may be in use still, or used in this window.
  const Micros drifted =
      started_at_ + static_cast<Micros>(static_cast<double>(b.longest_use) * (1 + 2 * settings_.most_drift));
  if (b.kind == Kind::kLevel && now < drifted)
    return 0;
  if (b.kind == Kind::kAmount && WindowAt(b, now) <= WindowAt(b, started_at_ + settings_.most_apart))
    return 0;
#endif
  return FallbackQuota(b, settings_.instances);
}

double QuotaClient::Cap(const Budget& b, Units share) const {
  const double own = settings_.seat <= settings_.instances ? 1.0 : 0.0;
  return own + static_cast<double>(b.burst - settings_.instances) * static_cast<double>(share) /
                   static_cast<double>(std::max<Units>(1, Allocatable(b, settings_.instances)));
}

void QuotaClient::FillTo(const Budget& b, BudgetState* p, Units share, Micros to) const {
  if (to <= p->filled_at)
    return;
  // A fast clock must not make more of a second than there is in it.
  const double rate =
      static_cast<double>(share + FallbackQuotaNow(b, to)) / kUnitsAStart * (1 - settings_.most_drift);
  p->tokens = std::min(p->tokens + rate * Seconds(to - p->filled_at), Cap(b, share));
  p->filled_at = to;
}

void QuotaClient::Fill(const Budget& b, BudgetState* p, Micros now) const {
  // What came until the grant's end came by the grant; from there on by the careful share, in a smaller
  // bucket.
  FillTo(b, p, p->share, std::min(now, until_));
  if (now >= until_)
    FillTo(b, p, 0, now);
  p->tokens = std::min(p->tokens, Cap(b, ShareNow(*p, now)));
}

void QuotaClient::CatchUp(Micros now) {
  now_ = std::max(now_, now);
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const Budget& b = settings_.budgets[i];
    BudgetState& p = states_[i];
    if (b.kind == Kind::kRate)
      Fill(b, &p, now_);
    if (const std::uint64_t window = WindowAt(b, now_); window != p.window) {
      p.window = window;
      p.share = 0, p.used = 0, p.refused = 0;
      due_ = std::min(due_, now_);
    }
  }
}

Units QuotaClient::Allowed(Micros now, std::string_view budget) const {
  const int i = Index(budget);
  if (i < 0 || left_)
    return 0;
  const Budget& b = settings_.budgets[i];
  // A share of a window is of no other, also where nothing has happened here since.
  const Units share = states_[i].window == WindowAt(b, now) ? ShareNow(states_[i], now) : 0;
  return share + FallbackQuotaNow(b, now);
}

std::optional<ErrorCode> QuotaClient::Take(Micros now, std::string_view budget, std::int64_t count) {
  const int i = Index(budget);
  if (i < 0)
    return ErrorCode::kUnknown;
  if (left_)
    return ErrorCode::kLeaving;
  CatchUp(now);
  const Budget& b = settings_.budgets[i];
  BudgetState& p = states_[i];
  p.attempts += count;
#ifdef ALDERSILL_MUTANT_EXPIRED_GRANT  // injected fault that budgets_search must detect
  const bool granted = true;
#else
  const bool granted = now_ < until_;
#endif
  const Units allowed = (granted ? p.share : 0) + FallbackQuotaNow(b, now_);
  const bool may = b.kind == Kind::kRate ? p.tokens >= static_cast<double>(count) : p.used + count <= allowed;
  if (may) {
    b.kind == Kind::kRate ? void(p.tokens -= static_cast<double>(count)) : void(p.used += count);
    p.peak = std::max(p.peak, p.used);
    // Work that was not there: to be told soon.
    if (b.kind != Kind::kRate && p.used + p.waiting > p.reported)
      AskSoon();
    return std::nullopt;
  }
  ++counters_.refused;
  p.refused += count;
  if (HasChanged(b, p))
    AskSoon();
  if (granted)
    return ErrorCode::kUsedUp;
  return settings_.seat > settings_.instances ? ErrorCode::kNoSeat : ErrorCode::kNoGrant;
}

void QuotaClient::Free(Micros now, std::string_view budget, std::int64_t count) {
  const int i = Index(budget);
  if (i < 0 || settings_.budgets[i].kind != Kind::kLevel)
    return;
  CatchUp(now);
  states_[i].used = std::max<std::int64_t>(0, states_[i].used - count);
}

void QuotaClient::Waiting(Micros now, std::string_view budget, std::int64_t count) {
  const int i = Index(budget);
  if (i < 0)
    return;
  CatchUp(now);
  BudgetState& p = states_[i];
  p.waiting = count;
  p.peak = std::max(p.peak, p.used + p.waiting);
  if (2 * (p.used + p.waiting) > 3 * p.reported)
    AskSoon();
}

// ---- Asking ----

// Whether there is more demand than the holder has been told of, beyond chance: asking more often for what it
// knows of would cost it more and bring nothing.
bool QuotaClient::HasChanged(const Budget& b, const BudgetState& p) const {
  if (b.kind != Kind::kRate)
    return p.used + std::max(p.waiting, p.refused) > p.reported;
  const double usual = static_cast<double>(p.reported) / kUnitsAStart * Seconds(now_ - asked_at_);
  return static_cast<double>(p.attempts) > usual + kChance * (1.0 + std::sqrt(usual));
}

void QuotaClient::Measure() {
  const Micros passed = now_ - measured_at_;
  if (passed <= 0)
    return;
  const double keeps = std::exp(-Seconds(passed) / Seconds(kSmoothed));
  for (BudgetState& p : states_) {
    const double usual = p.offered * Seconds(passed), arrived = static_cast<double>(p.attempts);
    // What no chance explains is no noise: traffic has moved, and the average would say so only much later.
    const bool moved = std::abs(arrived - usual) > kChance * (1.0 + std::sqrt(usual));
    p.offered =
        moved ? arrived / Seconds(passed) : p.offered * keeps + arrived / Seconds(passed) * (1 - keeps);
    p.attempts = 0;
  }
  measured_at_ = now_;
}

Units QuotaClient::Demand(const Budget& b, const BudgetState& p) const {
  switch (b.kind) {
    case Kind::kRate:
      return static_cast<Units>(p.offered * kUnitsAStart);
    case Kind::kLevel:
      return std::max(p.peak, p.used + std::max(p.waiting, p.refused));
    case Kind::kAmount: {
      // For some asks ahead, not for the whole rest: others will want of it too.
      const Micros ahead = std::min<Micros>(4 * calm_, b.window - now_ % b.window);
      return p.used + p.refused + static_cast<Units>(std::ceil(p.offered * Seconds(ahead)));
    }
  }
  return 0;
}

void QuotaClient::SendNow() {
  due_ = now_ + (holder_.empty() ? calm_ : retry_);
  if (holder_.empty())
    return;
  Measure();
  QuotaRequest ask{settings_.epoch, ++number_, digest_, settings_.weight, left_, {}};
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const Budget& b = settings_.budgets[i];
    BudgetState& p = states_[i];
    QuotaRequestLine line;
    p.reported = left_ ? 0 : Demand(b, p);
    line.demand = std::max<Units>(0, p.reported - FallbackQuotaNow(b, now_));  // that is its own already
    line.share = left_ ? 0 : ShareNow(p, now_);
    if (b.kind != Kind::kRate)
      line.beyond = std::max<Units>(0, p.used - FallbackQuotaNow(b, now_));
    line.window = p.window;
    ask.lines.push_back(line);
    p.peak = p.used;
    p.refused = 0;
  }
  asked_at_ = now_;
  answered_ = false;
  ++counters_.asked;
  effects_->push_back(SendQuotaRequest{holder_, std::move(ask)});
}

void QuotaClient::On(const QuotaClientStarted&) {
  started_at_ = measured_at_ = now_;
  for (BudgetState& p : states_)
    p.filled_at = now_;
  due_ = now_;
  if (settings_.seat > settings_.instances)
    effects_->push_back(QuotaClientFailed{{ErrorCode::kNoSeat, settings_.name}});
}

void QuotaClient::On(const LeaseHolderChanged& e) {
  if (e.term <= holder_term_)
    return;
  holder_ = e.name;
  holder_term_ = e.term;
  if (!left_ || repeats_ > 0)
    SendNow();
}

void QuotaClient::On(const QuotaClientTimerExpired&) {
  if (now_ < due_ || (left_ && repeats_ == 0))
    return;
  if (left_)
    --repeats_;
  SendNow();
}

void QuotaClient::On(const ReleaseQuota&) {
  if (left_)
    return;
  left_ = true;
  until_ = now_;
  lapsed_ = true;
  SendNow();
}

void QuotaClient::On(const QuotaGrantReceived& e) {
  const QuotaGrant& a = e.answer;
  // Only the answer to the last ask: what was shown by it is still all that there is. (An answer to an
  // earlier one may give back what has been shown as given up since, and is another's by now.)
#ifdef ALDERSILL_MUTANT_OUTDATED_GRANT  // injected fault that budgets_search must detect
  const bool last = a.number <= number_;
#else
  const bool last = a.number == number_ && !answered_;
#endif
  if (left_ || a.epoch != settings_.epoch || !last || a.term < term_ || a.lines.size() != states_.size()) {
    ++counters_.stale;
    return;
  }
#ifdef ALDERSILL_MUTANT_NO_DRIFT_MARGIN  // injected fault that budgets_search must detect
  const double margin = 0.0;
#else
  const double margin = 2.0 * settings_.most_drift;
#endif
  const Micros until = asked_at_ + static_cast<Micros>(static_cast<double>(a.lasts) * (1.0 - margin));
  const bool had = now_ < until_;
  bool less = false;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    BudgetState& p = states_[i];
    const QuotaGrantLine& line = a.lines[i];
    const Units before = had ? p.share : 0;
    Units share = line.window == p.window ? std::max<Units>(0, line.share) : 0;
#ifndef ALDERSILL_MUTANT_RENEWED_EXPIRED_SHARE  // injected fault
    // The holder knows it only from what was shown: where that has ended since, it may be another's.
    if (line.renewal)
      share = std::min(share, before);
#endif
    less |= share < before;
    p.share = share;
  }
  answered_ = true;
  due_ = asked_at_ + calm_;
  term_ = a.term;
  until_ = until;
  lapsed_ = now_ >= until_;
  ++counters_.answered;
  CatchUp(now_);  // buckets are cut to size at once
  if (less)
    AskSoon();  // what was given up is of use to others only when it is known
}

}  // namespace aldersill::budgets
