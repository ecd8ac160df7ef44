#include "budgets/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace aldersill::budgets {
namespace {

constexpr Micros kNever = INT64_MAX;
// The time constant of the exponential average of the arrivals.
constexpr Micros kDemandTimeConstant = 2 * kSecond;
// Deviations of the number of arrivals up to this many standard deviations count as chance.
constexpr double kChanceDeviations = 4.0;

double Seconds(Micros time) { return static_cast<double>(time) / kSecond; }

}  // namespace

QuotaClient::QuotaClient(Settings settings)
    : settings_(std::move(settings)),
      digest_(Digest(settings_)),
      min_interval_(settings_.grant_duration / 20),
      retry_interval_(settings_.grant_duration / 8),
      regular_interval_(settings_.grant_duration / 4),
      states_(settings_.budgets.size()) {}

void QuotaClient::Handle(Micros now, QuotaClientEvent event, std::vector<QuotaClientEffect>* effects) {
  CatchUp(now);
  effects_ = effects;
  std::visit([this](const auto& e) { On(e); }, event);
  if (!lapsed_ && now_ >= granted_until_) {
    lapsed_ = true;
    ++counters_.lapsed;
    effects_->push_back(QuotaClientFailed{{ErrorCode::kNoGrant, settings_.name}});
  }
}

Micros QuotaClient::next_due() const {
  if (released_)
    return release_repeats_ > 0 ? due_ : kNever;
  return lapsed_ ? due_ : std::min(due_, granted_until_);
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
  if (settings_.seat > settings_.instances || released_)
    return 0;
#ifdef ALDERSILL_MUTANT_DOUBLE_FALLBACK  // injected fault that budgets_search must detect
  static_cast<void>(now);
#else
  // The seat's former incarnation may have taken slots that are still in use, or used its amount in this
  // window.
  const Micros former_slots_free_at = started_at_ + static_cast<Micros>(static_cast<double>(b.longest_use) *
                                                                        (1 + 2 * settings_.max_clock_drift));
  if (b.kind == Kind::kLevel && now < former_slots_free_at)
    return 0;
  if (b.kind == Kind::kAmount && WindowAt(b, now) <= WindowAt(b, started_at_ + settings_.max_clock_skew))
    return 0;
#endif
  return FallbackQuota(b, settings_.instances);
}

double QuotaClient::BucketCapacity(const Budget& b, Units share) const {
  const double own = settings_.seat <= settings_.instances ? 1.0 : 0.0;
  return own + static_cast<double>(b.burst - settings_.instances) * static_cast<double>(share) /
                   static_cast<double>(std::max<Units>(1, Allocatable(b, settings_.instances)));
}

void QuotaClient::RefillTo(const Budget& b, BudgetState* state, Units share, Micros to) const {
  if (to <= state->filled_at)
    return;
  // Lowered by the maximum drift, so that a fast clock does not add more tokens than the rate allows.
  const double rate =
      static_cast<double>(share + FallbackQuotaNow(b, to)) / kUnitsPerStart * (1 - settings_.max_clock_drift);
  state->tokens = std::min(state->tokens + rate * Seconds(to - state->filled_at), BucketCapacity(b, share));
  state->filled_at = to;
}

void QuotaClient::Refill(const Budget& b, BudgetState* state, Micros now) const {
  // Until the grant expires, the bucket fills by the share and the fallback quota; after that by the fallback
  // quota alone, with a smaller capacity.
  RefillTo(b, state, state->share, std::min(now, granted_until_));
  if (now >= granted_until_)
    RefillTo(b, state, 0, now);
  state->tokens = std::min(state->tokens, BucketCapacity(b, ShareNow(*state, now)));
}

void QuotaClient::CatchUp(Micros now) {
  now_ = std::max(now_, now);
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const Budget& b = settings_.budgets[i];
    BudgetState& state = states_[i];
    if (b.kind == Kind::kRate)
      Refill(b, &state, now_);
    if (const std::uint64_t window = WindowAt(b, now_); window != state.window) {
      state.window = window;
      state.share = 0;
      state.used = 0;
      state.refused = 0;
      due_ = std::min(due_, now_);
    }
  }
}

Units QuotaClient::Allowed(Micros now, std::string_view budget) const {
  const int i = Index(budget);
  if (i < 0 || released_)
    return 0;
  const Budget& b = settings_.budgets[i];
  // A share is valid only in its own window, also if no event has come since the window ended.
  const Units share = states_[i].window == WindowAt(b, now) ? ShareNow(states_[i], now) : 0;
  return share + FallbackQuotaNow(b, now);
}

std::optional<ErrorCode> QuotaClient::Take(Micros now, std::string_view budget, std::int64_t count) {
  const int i = Index(budget);
  if (i < 0)
    return ErrorCode::kUnknown;
  if (released_)
    return ErrorCode::kLeaving;
  CatchUp(now);
  const Budget& b = settings_.budgets[i];
  BudgetState& state = states_[i];
  state.attempts += count;
#ifdef ALDERSILL_MUTANT_EXPIRED_GRANT  // injected fault that budgets_search must detect
  const bool granted = true;
#else
  const bool granted = now_ < granted_until_;
#endif
  const Units allowed = (granted ? state.share : 0) + FallbackQuotaNow(b, now_);
  const bool fits =
      b.kind == Kind::kRate ? state.tokens >= static_cast<double>(count) : state.used + count <= allowed;
  if (fits) {
    b.kind == Kind::kRate ? void(state.tokens -= static_cast<double>(count)) : void(state.used += count);
    state.peak = std::max(state.peak, state.used);
    // This demand has not been reported yet.
    if (b.kind != Kind::kRate && state.used + state.waiting > state.reported)
      RequestSoon();
    return std::nullopt;
  }
  ++counters_.refused;
  state.refused += count;
  if (DemandHasRisen(b, state))
    RequestSoon();
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

void QuotaClient::SetWaiting(Micros now, std::string_view budget, std::int64_t count) {
  const int i = Index(budget);
  if (i < 0)
    return;
  CatchUp(now);
  BudgetState& state = states_[i];
  state.waiting = count;
  state.peak = std::max(state.peak, state.used + state.waiting);
  if (2 * (state.used + state.waiting) > 3 * state.reported)
    RequestSoon();
}

// ---- Requests ----

// Whether demand exceeds the last reported value by more than chance explains. Requests for demand that the
// allocator knows already would cost it time and gain nothing.
bool QuotaClient::DemandHasRisen(const Budget& b, const BudgetState& state) const {
  if (b.kind != Kind::kRate)
    return state.used + std::max(state.waiting, state.refused) > state.reported;
  const double expected =
      static_cast<double>(state.reported) / kUnitsPerStart * Seconds(now_ - requested_at_);
  return static_cast<double>(state.attempts) > expected + kChanceDeviations * (1.0 + std::sqrt(expected));
}

void QuotaClient::MeasureDemand() {
  const Micros elapsed = now_ - measured_at_;
  if (elapsed <= 0)
    return;
  const double decay = std::exp(-Seconds(elapsed) / Seconds(kDemandTimeConstant));
  for (BudgetState& state : states_) {
    const double expected = state.offered * Seconds(elapsed), arrived = static_cast<double>(state.attempts);
    // A deviation that chance does not explain means that traffic has moved. The average would show it only
    // much later, so the new value replaces it.
    const bool moved = std::abs(arrived - expected) > kChanceDeviations * (1.0 + std::sqrt(expected));
    state.offered =
        moved ? arrived / Seconds(elapsed) : state.offered * decay + arrived / Seconds(elapsed) * (1 - decay);
    state.attempts = 0;
  }
  measured_at_ = now_;
}

Units QuotaClient::Demand(const Budget& b, const BudgetState& state) const {
  switch (b.kind) {
    case Kind::kRate:
      return static_cast<Units>(state.offered * kUnitsPerStart);
    case Kind::kLevel:
      return std::max(state.peak, state.used + std::max(state.waiting, state.refused));
    case Kind::kAmount: {
      // Covers the next requests only, not the rest of the window, so that a part is left for other
      // instances.
      const Micros horizon = std::min<Micros>(4 * regular_interval_, b.window - now_ % b.window);
      return state.used + state.refused + static_cast<Units>(std::ceil(state.offered * Seconds(horizon)));
    }
  }
  return 0;
}

void QuotaClient::SendRequest() {
  due_ = now_ + (holder_.empty() ? regular_interval_ : retry_interval_);
  if (holder_.empty())
    return;
  MeasureDemand();
  QuotaRequest request{settings_.epoch, ++number_, digest_, settings_.weight, released_, {}};
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const Budget& b = settings_.budgets[i];
    BudgetState& state = states_[i];
    QuotaRequestLine line;
    state.reported = released_ ? 0 : Demand(b, state);
    line.demand = std::max<Units>(0, state.reported - FallbackQuotaNow(b, now_));  // needs no grant
    line.share = released_ ? 0 : ShareNow(state, now_);
    if (b.kind != Kind::kRate)
      line.used_above_fallback = std::max<Units>(0, state.used - FallbackQuotaNow(b, now_));
    line.window = state.window;
    request.lines.push_back(line);
    state.peak = state.used;
    state.refused = 0;
  }
  requested_at_ = now_;
  answered_ = false;
  ++counters_.requests_sent;
  effects_->push_back(SendQuotaRequest{holder_, std::move(request)});
}

void QuotaClient::On(const QuotaClientStarted&) {
  started_at_ = measured_at_ = now_;
  for (BudgetState& state : states_)
    state.filled_at = now_;
  due_ = now_;
  if (settings_.seat > settings_.instances)
    effects_->push_back(QuotaClientFailed{{ErrorCode::kNoSeat, settings_.name}});
}

void QuotaClient::On(const LeaseHolderChanged& e) {
  if (e.term <= holder_term_)
    return;
  holder_ = e.name;
  holder_term_ = e.term;
  if (!released_ || release_repeats_ > 0)
    SendRequest();
}

void QuotaClient::On(const QuotaClientTimerExpired&) {
  if (now_ < due_ || (released_ && release_repeats_ == 0))
    return;
  if (released_)
    --release_repeats_;
  SendRequest();
}

void QuotaClient::On(const ReleaseQuota&) {
  if (released_)
    return;
  released_ = true;
  granted_until_ = now_;
  lapsed_ = true;
  SendRequest();
}

void QuotaClient::On(const QuotaGrantReceived& e) {
  const QuotaGrant& grant = e.grant;
  // Accepts only the answer to the last request, because the shares that this request reported are still all
  // that this instance holds. The answer to an earlier request could restore a share that has been reported
  // as given up since, and another instance may hold that share by now.
#ifdef ALDERSILL_MUTANT_OUTDATED_GRANT  // injected fault that budgets_search must detect
  const bool is_last = grant.number <= number_;
#else
  const bool is_last = grant.number == number_ && !answered_;
#endif
  if (released_ || grant.epoch != settings_.epoch || !is_last || grant.term < term_ ||
      grant.lines.size() != states_.size()) {
    ++counters_.stale;
    return;
  }
#ifdef ALDERSILL_MUTANT_NO_DRIFT_MARGIN  // injected fault that budgets_search must detect
  const double margin = 0.0;
#else
  const double margin = 2.0 * settings_.max_clock_drift;
#endif
  const Micros until =
      requested_at_ + static_cast<Micros>(static_cast<double>(grant.duration) * (1.0 - margin));
  const bool had_grant = now_ < granted_until_;
  bool reduced = false;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    BudgetState& state = states_[i];
    const QuotaGrantLine& line = grant.lines[i];
    const Units previous = had_grant ? state.share : 0;
    Units share = line.window == state.window ? std::max<Units>(0, line.share) : 0;
#ifndef ALDERSILL_MUTANT_RENEWED_EXPIRED_SHARE  // injected fault
    // A renewal relies on the reported share alone: if that has expired since, another instance may hold it.
    if (line.renewal)
      share = std::min(share, previous);
#endif
    reduced |= share < previous;
    state.share = share;
  }
  answered_ = true;
  due_ = requested_at_ + regular_interval_;
  term_ = grant.term;
  granted_until_ = until;
  lapsed_ = now_ >= granted_until_;
  ++counters_.grants_accepted;
  CatchUp(now_);  // limits the token buckets to their new capacities
  if (reduced)
    RequestSoon();  // others can use what was given up only after it has been reported
}

}  // namespace aldersill::budgets
