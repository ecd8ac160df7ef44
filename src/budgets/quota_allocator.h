// Deals the budgets out, as the holder of the exclusive duty `budgets`. Pure: (now, event) -> effects.
//
// Every share that is out is counted until it is shown to be less, until its end by this clock (it has ended
// earlier at whoever has it: purse.h), or until that instance's next life. Taken back first, given after.
//
// A new holder knows nothing of what its predecessors dealt. For as long as any grant may last it renews what
// is shown, never more; only then does it deal: whatever it has not heard of has ended. An amount that was
// used does not come back within its window, so there the time without growth is the rest of the window.
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
  QuotaRequest ask;
  // The lease's own answer (duties::Lease::Holds) with the time as it is now: not what this class remembers.
  std::optional<std::uint64_t> held;
};
using QuotaAllocatorEvent = std::variant<TermBegan, TermEnded, QuotaRequestReceived>;

// ---- Effects ----

struct SendQuotaGrant {
  std::string to;
  QuotaGrant answer;
};
struct QuotaAllocatorFailed {  // once for each life of an instance
  Error error;
};
using QuotaAllocatorEffect = std::variant<SendQuotaGrant, QuotaAllocatorFailed>;

struct QuotaAllocatorCounters {
  std::uint64_t answered = 0, divided = 0;
  std::uint64_t stale = 0;     // asks of earlier lives, doubled or overtaken ones
  std::uint64_t not_held = 0;  // asks to who does not hold the duty
  std::uint64_t differ = 0;    // asks of instances with other settings
};

class QuotaAllocator {
 public:
  explicit QuotaAllocator(Settings settings);

  void Handle(Micros now, QuotaAllocatorEvent event, std::vector<QuotaAllocatorEffect>* effects);

  // What counts as out, of what is dealt; and whether this holder still learns what its predecessor dealt.
  Units Out(std::size_t budget) const { return books_[budget].sum; }
  bool Learning(std::size_t budget, Micros now) const;
  std::size_t instances() const { return members_.size(); }
  const QuotaAllocatorCounters& counters() const { return counters_; }

 private:
  struct Line {
    Units demand = 0, target = 0;
  };
  struct Member {
    std::uint64_t epoch = 0, number = 0;
    std::uint32_t weight = 100;
    Micros last_seen_at = 0;
    bool leaving = false;
    std::vector<Line> lines;
  };
  using Key = std::pair<std::string, std::uint64_t>;  // an instance and its life
  struct Out1 {
    Units share = 0;
    Micros until = 0;
  };
  struct Book {
    std::map<Key, Out1> out;
    std::set<std::pair<Micros, Key>> ends;
    Units sum = 0;
    std::uint64_t window = 0;
    Micros learning_until = 0;
  };

  void On(const TermBegan& e);
  void On(const TermEnded&);
  void On(const QuotaRequestReceived& e);
  void CatchUp();
  void Count(Book* book, const Key& key, Units share, Micros until);
  Units OutOf(const Book& book, const Key& key) const;
  void BeginLife(const std::string& name, Member* member, const QuotaRequest& ask);
  void DivideAll();
  void DivideOne(std::size_t i);
  QuotaGrantLine Deal(std::size_t i, const Key& key, const Member& member, const QuotaRequestLine& line);

  const Settings settings_;
  const std::uint64_t digest_;
  Micros now_ = 0;
  std::vector<QuotaAllocatorEffect>* effects_ = nullptr;
  std::optional<std::uint64_t> term_;
  std::map<std::string, Member> members_;
  std::vector<Book> books_;
  Micros divide_at_ = 0;
  bool changed_ = false;
  QuotaAllocatorCounters counters_;
};

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_QUOTA_ALLOCATOR_H_
