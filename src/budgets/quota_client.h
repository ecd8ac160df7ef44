// What one instance may use of each budget, now. Pure: (now, event) -> effects; and each act is asked for.
//
// An instance shows the duty's holder what it has and what it wants, and has what it is answered until that
// ends, by its own clock, 2 * most_drift early and counted from its asking: so it has ended here before it
// can have ended for the holder, wherever the time between went (a slow network, SIGSTOP). Beyond grants it
// has a careful share that is kept aside for its seat.
//
// `now` is to be read after the message or the request in hand was taken from its socket, and right before
// the act.
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
struct LeaseHolderChanged {  // as it says itself; one of an earlier term is not listened to any more
  std::string name;
  std::uint64_t term = 0;
};
struct QuotaGrantReceived {
  std::string from;
  QuotaGrant answer;
};
struct QuotaClientTimerExpired {};  // next_due() is reached
struct ReleaseQuota {};             // for good: nothing is used any more
using QuotaClientEvent = std::variant<QuotaClientStarted, LeaseHolderChanged, QuotaGrantReceived,
                                      QuotaClientTimerExpired, ReleaseQuota>;

// ---- Effects ----

struct SendQuotaRequest {
  std::string to;
  QuotaRequest ask;
};
struct QuotaClientFailed {  // once when it begins
  Error error;
};
using QuotaClientEffect = std::variant<SendQuotaRequest, QuotaClientFailed>;

struct QuotaClientCounters {
  std::uint64_t asked = 0, answered = 0;
  std::uint64_t stale = 0;    // answers to other than the last ask, or by an earlier term
  std::uint64_t lapsed = 0;   // grants that ended before the next came
  std::uint64_t refused = 0;  // acts
};

class QuotaClient {
 public:
  explicit QuotaClient(Settings settings);

  void Handle(Micros now, QuotaClientEvent event, std::vector<QuotaClientEffect>* effects);
  Micros next_due() const;

  // Takes `count` starts, slots or units, all or nothing; the reason where it may not. A refused act counts
  // as demand as a served one does. After it ask next_due() again.
  std::optional<ErrorCode> Take(Micros now, std::string_view budget, std::int64_t count = 1);
  // Slots that are not in use any more.
  void Free(Micros now, std::string_view budget, std::int64_t count = 1);
  // Level: how many more slots there is work for now.
  void Waiting(Micros now, std::string_view budget, std::int64_t count);

  // What may be used now, grant and careful share together: what a module's quota is to be set to.
  Units Allowed(Micros now, std::string_view budget) const;
  bool Granted(Micros now) const { return now < until_; }
  std::uint64_t term() const { return term_; }
  const QuotaClientCounters& counters() const { return counters_; }
  const Settings& settings() const { return settings_; }

 private:
  struct BudgetState {
    Units share = 0;           // until `until_`
    std::uint64_t window = 0;  // that the share and `used` are of
    std::int64_t used = 0;     // slots now, or units in the window
    double tokens = 0;         // rate: of a bucket, in starts
    Micros filled_at = 0;
    // Demand.
    double offered = 0;  // a second, smoothed
    std::int64_t attempts = 0, refused = 0, waiting = 0, peak = 0;
    Units reported = 0;
  };

  void On(const QuotaClientStarted&);
  void On(const LeaseHolderChanged& e);
  void On(const QuotaGrantReceived& e);
  void On(const QuotaClientTimerExpired&);
  void On(const ReleaseQuota&);
  void CatchUp(Micros now);
  void Fill(const Budget& b, BudgetState* p, Micros now) const;
  void FillTo(const Budget& b, BudgetState* p, Units share, Micros to) const;
  double Cap(const Budget& b, Units share) const;
  Units FallbackQuotaNow(const Budget& b, Micros now) const;
  Units ShareNow(const BudgetState& p, Micros now) const { return now < until_ ? p.share : 0; }
  bool HasChanged(const Budget& b, const BudgetState& p) const;
  void Measure();
  Units Demand(const Budget& b, const BudgetState& p) const;
  void SendNow();
  void AskSoon() { due_ = std::min(due_, std::max(now_, asked_at_ + (answered_ ? soon_ : retry_))); }
  int Index(std::string_view budget) const;

  const Settings settings_;
  const std::uint64_t digest_;
  // Between asks: at least, where there is no answer (a way there and back must take less), and in calm.
  const Micros soon_, retry_, calm_;
  Micros now_ = 0;
  Micros started_at_ = 0;
  std::vector<QuotaClientEffect>* effects_ = nullptr;
  std::string holder_;
  std::vector<BudgetState> states_;
  Micros until_ = 0;
  bool left_ = false, lapsed_ = true;
  int repeats_ = 2;  // of the word that all was given back, which nobody answers
  std::uint64_t holder_term_ = 0, term_ = 0, number_ = 0;
  bool answered_ = true;  // the last ask has been
  Micros asked_at_ = 0, measured_at_ = 0;
  Micros due_ = INT64_MAX;
  QuotaClientCounters counters_;
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_QUOTA_CLIENT_H_
