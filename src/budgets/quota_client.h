// Decides what one instance may use of each budget at present. A pure reducer, (now, event) -> effects, with
// calls in addition (Take, Free) for each use.
//
// The client reports its shares and its demand to the holder of the duty `budgets`, and may use the shares
// that are granted in the answer until they expire. They expire by this instance's clock, counted from the
// sending of the request and shortened by 2 * max_clock_drift. So a grant expires here before it can expire
// at the allocator, wherever the time between was spent (in a slow network, or stopped by SIGSTOP). In
// addition to grants the client has a fallback quota, which is reserved for its seat.
//
// The caller must read the clock for `now` after it has taken the message or request from its socket, right
// before the call.
#ifndef ALDERSILL_SRC_BUDGETS_QUOTA_CLIENT_H_
#define ALDERSILL_SRC_BUDGETS_QUOTA_CLIENT_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "budgets/types.h"

namespace aldersill::budgets {

// ---- Events ----

struct QuotaClientStarted {};
// Announced by the new holder itself. Ignored unless the term is later than the last one.
struct LeaseHolderChanged {
  std::string name;
  std::uint64_t term = 0;
};
struct QuotaGrantReceived {
  std::string from;
  QuotaGrant grant;
};
struct QuotaClientTimerExpired {};  // the time next_due() has come
struct ReleaseQuota {};             // gives back everything for good
using QuotaClientEvent = std::variant<QuotaClientStarted, LeaseHolderChanged, QuotaGrantReceived,
                                      QuotaClientTimerExpired, ReleaseQuota>;

// ---- Effects ----

struct SendQuotaRequest {
  std::string to;
  QuotaRequest request;
};
struct QuotaClientFailed {  // kNoSeat once at the start; kNoGrant each time the grants expire
  Error error;
};
using QuotaClientEffect = std::variant<SendQuotaRequest, QuotaClientFailed>;

struct QuotaClientCounters {
  std::uint64_t requests_sent = 0, grants_accepted = 0;
  std::uint64_t stale = 0;    // grants that do not answer the last request, or are of an earlier term
  std::uint64_t lapsed = 0;   // how often the grants expired before the next came
  std::uint64_t refused = 0;  // refused calls of Take
};

class QuotaClient {
 public:
  explicit QuotaClient(Settings settings);

  void Handle(Micros now, QuotaClientEvent event, std::vector<QuotaClientEffect>* effects);
  // When Handle must be called with QuotaClientTimerExpired; INT64_MAX for never.
  Micros next_due() const;

  // Takes `count` starts, slots or units, all or nothing. Returns nothing on success and otherwise the reason
  // for the refusal. Refused calls count as demand as served ones do. May change next_due().
  std::optional<ErrorCode> Take(Micros now, std::string_view budget, std::int64_t count = 1);
  // Level: gives back slots that are no longer in use. Does nothing for other kinds.
  void Free(Micros now, std::string_view budget, std::int64_t count = 1);
  // Level: sets the number of further slots for which work is waiting now.
  void SetWaiting(Micros now, std::string_view budget, std::int64_t count);

  // What may be used now, share and fallback quota together. A module that enforces the quota itself sets it
  // to this value.
  Units Allowed(Micros now, std::string_view budget) const;
  // Whether the last grant has not expired.
  bool HasGrant(Micros now) const { return now < granted_until_; }
  std::uint64_t term() const { return term_; }
  const QuotaClientCounters& counters() const { return counters_; }
  const Settings& settings() const { return settings_; }

 private:
  struct BudgetState {
    Units share = 0;           // valid until `granted_until_`
    std::uint64_t window = 0;  // window of `share` and `used`
    std::int64_t used = 0;     // level: slots in use; amount: units used in the window
    double tokens = 0;         // rate: content of the token bucket, in starts
    Micros filled_at = 0;      // rate: last refill of the bucket
    // Demand.
    double offered = 0;         // smoothed demand per second, in starts, slots or units
    std::int64_t attempts = 0;  // taken or refused since the last MeasureDemand()
    std::int64_t refused = 0;   // since the last request
    std::int64_t waiting = 0;   // as set by SetWaiting()
    std::int64_t peak = 0;      // highest use, with waiting work, since the last request
    Units reported = 0;         // demand at the last request, with the fallback quota
  };

  void On(const QuotaClientStarted&);
  void On(const LeaseHolderChanged& e);
  void On(const QuotaGrantReceived& e);
  void On(const QuotaClientTimerExpired&);
  void On(const ReleaseQuota&);
  // Refills the token buckets, and begins new windows.
  void CatchUp(Micros now);
  void Refill(const Budget& b, BudgetState* state, Micros now) const;
  void RefillTo(const Budget& b, BudgetState* state, Units share, Micros to) const;
  // Capacity of the token bucket, in starts, with this share.
  double BucketCapacity(const Budget& b, Units share) const;
  // The fallback quota that may be used now; 0 after a release, and while the seat's former incarnation may
  // still use it.
  Units FallbackQuotaNow(const Budget& b, Micros now) const;
  Units ShareNow(const BudgetState& state, Micros now) const {
    return now < granted_until_ ? state.share : 0;
  }
  bool DemandHasRisen(const Budget& b, const BudgetState& state) const;
  void MeasureDemand();
  Units Demand(const Budget& b, const BudgetState& state) const;
  void SendRequest();
  // Moves the next request forward as far as the intervals allow.
  void RequestSoon() {
    due_ = std::min(due_, std::max(now_, requested_at_ + (answered_ ? min_interval_ : retry_interval_)));
  }
  // -1 if there is no budget of this name.
  int Index(std::string_view budget) const;

  const Settings settings_;
  const std::uint64_t digest_;
  // Between two requests: the minimum, the interval until a repeat if no answer has come (a round trip must
  // take less), and the regular interval.
  const Micros min_interval_, retry_interval_, regular_interval_;
  Micros now_ = 0;
  Micros started_at_ = 0;
  std::vector<QuotaClientEffect>* effects_ = nullptr;
  std::string holder_;               // of the duty `budgets`; empty if not known
  std::vector<BudgetState> states_;  // in the order of the settings
  Micros granted_until_ = 0;         // expiry of all shares
  bool released_ = false, lapsed_ = true;
  // How many more times the request that reports the release is sent: it is never answered and may be lost.
  int release_repeats_ = 2;
  std::uint64_t holder_term_ = 0, term_ = 0, number_ = 0;
  bool answered_ = true;  // whether the last request has been answered
  Micros requested_at_ = 0, measured_at_ = 0;
  Micros due_ = INT64_MAX;
  QuotaClientCounters counters_;
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_QUOTA_CLIENT_H_
