#include "budgets/quota_allocator.h"

#include <algorithm>
#include <cstdlib>

#include "budgets/division.h"

namespace aldersill::budgets {
namespace {

constexpr Micros kNever = INT64_MAX;
constexpr Micros kDivideEach = 100 * kMillisecond;  // at most so often, whatever comes in
constexpr Units kFloorsPart = 100;                  // of what is dealt, for who shows no demand
constexpr double kHeadroom = 1.03;                  // over what is demanded, also where others want more
constexpr double kNoise = 0.05;                     // a share is not moved by less than this part of it

}  // namespace

QuotaAllocator::QuotaAllocator(Settings settings)
    : settings_(std::move(settings)), digest_(Digest(settings_)), books_(settings_.budgets.size()) {}

void QuotaAllocator::Handle(Micros now, QuotaAllocatorEvent event,
                            std::vector<QuotaAllocatorEffect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  CatchUp();
  std::visit([this](const auto& e) { On(e); }, event);
}

bool QuotaAllocator::Learning(std::size_t budget, Micros now) const {
  return !term_ || now < books_[budget].learning_until;
}

void QuotaAllocator::On(const TermBegan& e) {
  // Also where this instance held it before: others may have dealt since.
  term_ = e.term;
  members_.clear();
  for (std::size_t i = 0; i < books_.size(); ++i) {
    const Budget& b = settings_.budgets[i];
    books_[i] = Book{};
    books_[i].window = WindowAt(b, now_);
#ifndef ALDERSILL_MUTANT_NO_LEARNING_PERIOD  // injected fault that budgets_search must detect
    if (b.kind == Kind::kAmount) {
      // Its predecessor's clock may have been ahead, and the window a later one there.
      books_[i].learning_until = static_cast<Micros>(WindowAt(b, now_ + settings_.most_apart) + 1) * b.window;
    } else {
      books_[i].learning_until =
          now_ + settings_.grant +
          static_cast<Micros>(static_cast<double>(b.longest_use) * (1 + 2 * settings_.most_drift));
    }
#endif
  }
  changed_ = true;
  divide_at_ = now_;
}

void QuotaAllocator::On(const TermEnded&) { term_.reset(); }

void QuotaAllocator::CatchUp() {
  for (std::size_t i = 0; i < books_.size(); ++i) {
    Book& book = books_[i];
    if (const std::uint64_t window = WindowAt(settings_.budgets[i], now_); window != book.window) {
      const Micros learning_until = book.learning_until;
      book = Book{};
      book.window = window, book.learning_until = learning_until;
      for (auto& [name, member] : members_)
        member.lines[i].demand = member.lines[i].target = 0;
      changed_ = true;
    }
    while (!book.ends.empty() && book.ends.begin()->first <= now_) {
      const Key key = book.ends.begin()->second;
      Count(&book, key, 0, kNever);
      changed_ = true;
    }
  }
}

void QuotaAllocator::Count(Book* book, const Key& key, Units share, Micros until) {
  if (const auto found = book->out.find(key); found != book->out.end()) {
    book->sum -= found->second.share;
    book->ends.erase({found->second.until, key});
    book->out.erase(found);
  }
  if (share <= 0)
    return;
  book->sum += share;
  book->out.emplace(key, Out1{share, until});
  if (until != kNever)
    book->ends.insert({until, key});
}

Units QuotaAllocator::OutOf(const Book& book, const Key& key) const {
  const auto found = book.out.find(key);
  return found == book.out.end() ? 0 : found->second.share;
}

void QuotaAllocator::BeginLife(const std::string& name, Member* member, const QuotaRequest& ask) {
  if (member->epoch != 0) {
    // A rate ends with the life that had it. Slots may be in use at workers yet, and of an amount all that
    // was granted may have been used.
    const Key before{name, member->epoch};
    for (std::size_t i = 0; i < books_.size(); ++i) {
#ifdef ALDERSILL_MUTANT_FORGOTTEN_EPOCH  // injected fault that budgets_search must detect
      Count(&books_[i], before, 0, kNever);
#else
      if (settings_.budgets[i].kind == Kind::kRate)
        Count(&books_[i], before, 0, kNever);
#endif
    }
  }
  *member = Member{};
  member->epoch = ask.epoch;
  member->lines.resize(books_.size());
  if (ask.digest != digest_)
    effects_->push_back(QuotaAllocatorFailed{{ErrorCode::kSettingsDiffer, name}});
}

void QuotaAllocator::On(const QuotaRequestReceived& e) {
#ifdef ALDERSILL_MUTANT_NO_LEASE_CHECK  // injected fault that budgets_search must detect
  const bool holds = term_.has_value();
#else
  const bool holds = term_ && e.held == term_;
#endif
  if (!holds) {
    ++counters_.not_held;
    return;
  }
  const QuotaRequest& ask = e.ask;
  Member& member = members_[e.from];
  if (ask.epoch < member.epoch || (ask.epoch == member.epoch && ask.number <= member.number)) {
#ifndef ALDERSILL_MUTANT_STALE_REQUEST  // injected fault that budgets_search must detect
    ++counters_.stale;
    return;
#endif
  }
  if (ask.epoch != member.epoch)
    BeginLife(e.from, &member, ask), changed_ = true;
  member.number = ask.number;
  member.last_seen_at = now_;
  if (ask.digest != digest_ || ask.lines.size() != books_.size()) {
    ++counters_.differ;
    return;
  }
  changed_ |= member.weight != ask.weight || member.leaving != ask.leaving;
  member.weight = ask.weight;
  member.leaving = ask.leaving;
  for (std::size_t i = 0; i < books_.size(); ++i) {
    const Units demand =
        ask.lines[i].window == books_[i].window ? std::max<Units>(0, ask.lines[i].demand) : 0;
    changed_ |= demand != member.lines[i].demand;
    member.lines[i].demand = demand;
  }
  if (changed_ && now_ >= divide_at_)
    DivideAll();
  QuotaGrant answer{*term_, ask.epoch, ask.number, settings_.grant, {}};
  const Key key{e.from, ask.epoch};
  for (std::size_t i = 0; i < books_.size(); ++i)
    answer.lines.push_back(Deal(i, key, member, ask.lines[i]));
  ++counters_.answered;
  if (!ask.leaving)
    effects_->push_back(SendQuotaGrant{e.from, std::move(answer)});
}

QuotaGrantLine QuotaAllocator::Deal(std::size_t i, const Key& key, const Member& member,
                                    const QuotaRequestLine& line) {
  const Budget& b = settings_.budgets[i];
  Book& book = books_[i];
  QuotaGrantLine answer{0, line.window, Learning(i, now_)};
  if (line.window != book.window)
    return answer;  // of an amount: by clocks that differ, just before or after
  const Units shown_share = std::max<Units>(0, line.share);
  const Units shown = std::max({shown_share, line.beyond, Units{0}});
#ifdef ALDERSILL_MUTANT_GRANT_BEFORE_RECLAIM  // injected fault that budgets_search must detect
  const Units others = 0;
  Units before = 0;
  for (const auto& [name, m] : members_)
    before += &m == &member ? 0 : m.lines[i].target;
  const Units room = std::max<Units>(0, Allocatable(b, settings_.instances) - before - others);
#else
  const Units room = std::max<Units>(0, Allocatable(b, settings_.instances) - (book.sum - OutOf(book, key)));
#endif
  if (!member.leaving)
    answer.share = std::min(answer.renewal ? shown_share : member.lines[i].target, room);
  // It has what it shows, or what it is answered, whichever is more, until it shows which.
  Micros until = now_ + settings_.grant;
  if (b.kind == Kind::kLevel)
    until += static_cast<Micros>(static_cast<double>(b.longest_use) * (1 + 2 * settings_.most_drift));
  if (b.kind == Kind::kAmount)
    until = kNever;  // what may be used is used, until the window ends
  Count(&book, key, std::max(shown, answer.share), until);
  return answer;
}

void QuotaAllocator::DivideAll() {
  changed_ = false;
  divide_at_ = now_ + kDivideEach;
  ++counters_.divided;
  // Who has nothing and was not heard of for long. Not sooner: its number tells its late asks from new ones.
  std::erase_if(members_, [this](const auto& item) {
    const auto& [name, member] = item;
    if (member.last_seen_at + 2 * settings_.grant >= now_)
      return false;
    return std::all_of(books_.begin(), books_.end(), [key = Key{name, member.epoch}, this](const Book& book) {
      return OutOf(book, key) == 0;
    });
  });
  for (std::size_t i = 0; i < books_.size(); ++i)
    DivideOne(i);
}

void QuotaAllocator::DivideOne(std::size_t i) {
  const Units total = Allocatable(settings_.budgets[i], settings_.instances);
  const Book& book = books_[i];
  std::vector<Claim> claims;
  std::vector<Line*> lines;
  Units gone = book.sum;  // of former lives, and of instances not heard of lately
  for (auto& [name, member] : members_) {
    const Units own = OutOf(book, {name, member.epoch});
    gone -= own;
    const bool lost = member.leaving || member.last_seen_at + settings_.grant < now_;
    if (lost) {
      gone += own;
      member.lines[i].target = 0;
      continue;
    }
    const double wanted = static_cast<double>(member.lines[i].demand) * kHeadroom;
    claims.push_back({static_cast<Units>(wanted + 0.999), member.weight});
    lines.push_back(&member.lines[i]);
  }
  const Units left = std::max<Units>(0, total - gone);
  const std::vector<Units> shares = Divide(left, left / kFloorsPart, claims);
  // Noise moves nothing: shares stay where they are, unless that does not fit, or leaves something lying.
  Units kept_sum = 0, sum = 0;
  std::vector<Units> kept(shares.size());
  for (std::size_t at = 0; at < shares.size(); ++at) {
    const Units was = lines[at]->target;
    const bool noise = std::abs(static_cast<double>(shares[at] - was)) <= kNoise * static_cast<double>(was);
    kept[at] = noise ? was : shares[at];
    kept_sum += kept[at], sum += shares[at];
  }
  const bool fits = kept_sum <= left && static_cast<double>(kept_sum) >= 0.99 * static_cast<double>(sum);
  for (std::size_t at = 0; at < shares.size(); ++at)
    lines[at]->target = fits ? kept[at] : shares[at];
}

}  // namespace aldersill::budgets
