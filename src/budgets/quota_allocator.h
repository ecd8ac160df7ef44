// Grants shares of the budgets to the instances, as the holder of the exclusive duty `budgets`. A pure
// reducer: (now, event) -> effects.
//
// The allocator counts each grant as outstanding until the client reports a smaller share, until the grant
// expires by the allocator's clock (it expires earlier at the client, see quota_client.h) or, for a rate,
// until the next incarnation of that instance. A share is granted to another instance only after it has been
// given back.
//
// A new lease holder does not know its predecessors' grants. For as long as any of them may last, it is
// learning: it renews the shares that clients report and grants nothing beyond them. After that it allocates
// freely, because every grant that no client has reported to it has expired. What is used of an amount does
// not come back within the window, so there learning lasts for the rest of the window.
#ifndef ALDERSILL_SRC_BUDGETS_QUOTA_ALLOCATOR_H_
#define ALDERSILL_SRC_BUDGETS_QUOTA_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "budgets/types.h"

namespace aldersill::budgets {

// ---- Events ----

struct TermBegan {
  std::uint64_t term = 0;
};
struct TermEnded {};
struct QuotaRequestReceived {
  std::string from;
  QuotaRequest request;
  // The term that the lease holds at the time of the request (duties::Lease::HeldTerm). The allocator's own
  // state is no proof: this process may have been stopped past the end of its lease.
  std::optional<std::uint64_t> held_term;
};
using QuotaAllocatorEvent = std::variant<TermBegan, TermEnded, QuotaRequestReceived>;

// ---- Effects ----

struct SendQuotaGrant {
  std::string to;
  QuotaGrant grant;
};
struct QuotaAllocatorFailed {  // at most once for each incarnation of an instance
  Error error;
};
using QuotaAllocatorEffect = std::variant<SendQuotaGrant, QuotaAllocatorFailed>;

struct QuotaAllocatorCounters {
  std::uint64_t requests_answered = 0;  // valid requests, including those that release everything
  std::uint64_t divisions = 0;
  std::uint64_t stale = 0;            // requests of earlier incarnations, duplicated or overtaken requests
  std::uint64_t not_held = 0;         // requests received without holding the duty
  std::uint64_t settings_differ = 0;  // requests of instances with different settings
};

class QuotaAllocator {
 public:
  explicit QuotaAllocator(Settings settings);

  void Handle(Micros now, QuotaAllocatorEvent event, std::vector<QuotaAllocatorEffect>* effects);

  // The sum of all outstanding shares of a budget, without the fallback quotas.
  Units Outstanding(std::size_t budget) const { return ledgers_[budget].outstanding_total; }
  // Whether grants of a predecessor may still be valid that this holder does not know.
  bool Learning(std::size_t budget, Micros now) const;
  std::size_t instances() const { return members_.size(); }
  const QuotaAllocatorCounters& counters() const { return counters_; }

 private:
  struct Line {
    Units demand = 0;  // as last reported
    Units target = 0;  // share by the last division
  };
  struct Member {
    std::uint64_t epoch = 0, number = 0;  // of the last request
    std::uint32_t weight = 100;
    Micros last_seen_at = 0;
    bool leaving = false;
    std::vector<Line> lines;  // in the order of the settings
  };
  using IncarnationKey = std::pair<std::string, std::uint64_t>;  // name of an instance, epoch
  struct OutstandingGrant {
    Units share = 0;
    Micros expires_at = 0;  // by this clock
  };
  // The outstanding grants of one budget.
  struct Ledger {
    std::map<IncarnationKey, OutstandingGrant> outstanding;
    std::set<std::pair<Micros, IncarnationKey>> expiries;  // of `outstanding`, except those that never expire
    Units outstanding_total = 0;                           // sum of the shares in `outstanding`
    std::uint64_t window = 0;
    Micros learning_until = 0;
  };

  void On(const TermBegan& e);
  void On(const TermEnded&);
  void On(const QuotaRequestReceived& e);
  // Removes what has expired by now_, and begins new windows.
  void CatchUp();
  // Replaces the outstanding grant of `key`; a share of 0 removes it.
  void RecordOutstanding(Ledger* ledger, const IncarnationKey& key, Units share, Micros expires_at);
  Units OutstandingOf(const Ledger& ledger, const IncarnationKey& key) const;
  // Resets the state of a member whose first request in a new incarnation has arrived.
  void BeginIncarnation(const std::string& name, Member* member, const QuotaRequest& request);
  // Sets the targets of all members, for all budgets.
  void DivideAll();
  void DivideOne(std::size_t budget);
  // Grants as much of the member's target as is not outstanding to others, or while learning of its reported
  // share, and records the grant.
  QuotaGrantLine Allocate(std::size_t budget, const IncarnationKey& key, const Member& member,
                          const QuotaRequestLine& line);

  const Settings settings_;
  const std::uint64_t digest_;
  Micros now_ = 0;
  std::vector<QuotaAllocatorEffect>* effects_ = nullptr;
  std::optional<std::uint64_t> term_;
  std::map<std::string, Member> members_;
  std::vector<Ledger> ledgers_;
  Micros divide_at_ = 0;  // time of the next division at the earliest
  bool changed_ = false;  // since the last division
  QuotaAllocatorCounters counters_;
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_QUOTA_ALLOCATOR_H_
