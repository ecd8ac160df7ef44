// Three hundred dispatchers' calls in virtual time against one modelled discovery that is busy, falls silent,
// is down, moves, or is an agent: how long until each has the list again, or stops sending. The figures are
// the table of docs/scale.md (run with -s to print them).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "http/discovery_clock.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace aldersill {
namespace {

using Kind = DiscoveryClock::Kind;
constexpr Micros kMustAskIn = 10 * kSecond;
constexpr Micros kGrace = 300 * kMillisecond;
constexpr Micros kEnd = 60 * kSecond;
constexpr Micros kTravel = kMillisecond;

struct Path {
  std::string name;
  Kind kind = Kind::kAsked;
  Micros from = 0;  // calls out are lost then, discovery is back, or all start or are moved
  Micros limit =
      0;  // what is missed counts as told so long after `from`; 0: by the last call and how it ended
  double silent = 0;          // the share of dispatchers whose calls out are lost at `from`
  Micros down = 0, back = 0;  // while it is down, calls fail (asked) or nothing is said (pushed)
  Micros hold = kMustAskIn;   // after a start or a move at `from`
  bool anew = false;          // start or move: the clocks begin at `from`
};
struct Found {
  Micros longest_safe = 0;   // until the list, or until nothing is sent
  Micros least_left = kEnd;  // from then until what was missed counts as told
  Micros longest_fresh = 0;  // until the list
  int waited = 0, stopped = 0;
};

class Fleet {
 public:
  Fleet(const Path& path, int count, std::uint64_t seed) : path_(path), random_(seed) {
    for (int i = 0; i < count; ++i) {
      DiscoveryClock clock({path.kind, kMustAskIn, kGrace}, CallPacing(count, kMustAskIn / 2, random_()));
      clock.Begin(path.anew ? path.from : 0, path.hold);
      all_.push_back({std::move(clock), {}, 0, path.anew, 0, path.from + path.hold, std::nullopt});
      Push(all_.back().clock.next_call(), i, Step::kCall, all_.back().generation);
    }
    if (!path.anew) Push(path.from, 0, Step::kTrouble, 0);
    if (path.down != 0) Push(path.down, 0, Step::kDown, 0);
  }
  Found Run() {
    for (; !steps_.empty() && steps_.top().at < kEnd; steps_.pop()) Do(Step(steps_.top()));
    for (const One& one : all_) CHECK_FALSE(one.waits);  // each has its list in the end
    return found_;
  }

 private:
  struct Step {
    enum What { kCall, kEnds, kFails, kTrouble, kDown } what;
    Micros at;
    int who, number;
    bool operator<(const Step& other) const { return at > other.at; }
  };
  struct One {
    DiscoveryClock clock;
    std::map<int, Micros> out;  // calls by number, with when they were made
    int generation = 0;
    bool waits = false;              // for the list, since `from`
    Micros called_at = 0, told = 0;  // the last call, and what counts as told by it
    std::optional<Micros> stopped;
  };
  void Push(Micros at, int who, Step::What what, int number) { steps_.push({what, at, who, number}); }
  bool Down(Micros at) const { return path_.down != 0 && at >= path_.down && at < path_.back; }

  void Do(const Step& s) {
    if (s.what == Step::kTrouble || s.what == Step::kDown) {
      for (int i = 0; i < std::ssize(all_); ++i) {
        One& one = all_[i];
        const bool silent = s.what == Step::kTrouble && random_() % 1000 < path_.silent * 1000;
        if (s.what == Step::kTrouble) one.waits = path_.down != 0 || (silent && !one.out.empty());
        if (s.what == Step::kDown && path_.kind == Kind::kAsked)
          for (const auto& [number, at] : one.out) Push(s.at + kTravel, i, Step::kFails, number);
        else if (silent || s.what == Step::kDown)
          one.out.clear();
      }
      return;
    }
    One& one = all_[s.who];
    const auto call = one.out.find(s.number);
    if (s.what == Step::kCall ? s.number != one.generation : call == one.out.end()) return;
    const Micros called_at = s.what == Step::kCall ? s.at : call->second;
    if (s.what != Step::kCall) one.out.erase(call);
    if (one.waits && !one.stopped && one.clock.good_until() < s.at) one.stopped = one.clock.good_until();
    if (s.what == Step::kCall) {
      const Micros wait = one.clock.next_wait();
      one.clock.Called(s.at);
      one.called_at = s.at;
      one.told = s.at + kMustAskIn;
      Take(s.at, s.who, wait, &one);
    } else if (s.what == Step::kFails) {
      one.clock.Failed(s.at, called_at, true, !one.out.empty());
      if (called_at == one.called_at) one.told += 3 * kMustAskIn;  // four times where the call failed
    } else {
      if (std::exchange(one.waits, one.waits && s.at < path_.from)) {
        found_.longest_fresh = std::max(found_.longest_fresh, s.at - path_.from);
        const Micros safe = one.stopped.value_or(s.at);
        found_.longest_safe = std::max(found_.longest_safe, safe - path_.from);
        const Micros told = path_.limit > 0 ? path_.from + path_.limit : one.told;
        found_.least_left = std::min(found_.least_left, told - safe);
        ++found_.waited;
        found_.stopped += one.stopped.has_value();
      }
      one.out.clear();
      one.clock.Answered(s.at);
    }
    Push(one.clock.next_call(), s.who, Step::kCall, ++one.generation);
  }
  // Discovery begins watches in turn, all dispatchers' in 7 s, and refuses what waited for 2 s, but works on
  // it all the same.
  void Take(Micros now, int who, Micros wait, One* one) {
    const int number = ++calls_;
    one->out[number] = now;
    if (Down(now)) {
      if (path_.kind == Kind::kAsked) Push(now + kTravel, who, Step::kFails, number);
      return;  // an agent says nothing
    }
    if (path_.kind == Kind::kPushed || wait > 0) return Push(now + wait + kTravel, who, Step::kEnds, number);
    const Micros turn = std::max(now, free_at_);
    free_at_ = turn + std::min<Micros>(7 * kSecond / std::ssize(all_), 50 * kMillisecond);
    const bool late = turn - now > 2 * kSecond;
    Push(late ? now + 2 * kSecond : free_at_, who, late ? Step::kFails : Step::kEnds, number);
  }

  const Path path_;
  std::mt19937_64 random_;
  std::vector<One> all_;
  std::priority_queue<Step> steps_;
  Micros free_at_ = 0;
  int calls_ = 0;
  Found found_;
};

const std::vector<Path> kPaths = {
    {.name = "a fifth of the watches fall silent", .from = 20'730'000, .limit = 6 * kSecond, .silent = 0.2},
    {.name = "all watches fall silent", .from = 20'730'000, .limit = 6 * kSecond, .silent = 1},
    {.name = "a fifth of calls and watches fall silent while all start",
     .from = 3'120'000,
     .limit = 6 * kSecond,
     .silent = 0.2},
    {.name = "down for 8 s, from its return",
     .from = 28 * kSecond,
     .down = 20 * kSecond,
     .back = 28 * kSecond},
    {.name = "all start", .from = 2 * kSecond, .anew = true},
    {.name = "all are moved", .from = 2 * kSecond, .hold = kMustAskIn - DiscoveryClock::kWait, .anew = true},
    {.name = "agent: watches fall silent",
     .kind = Kind::kPushed,
     .from = 20'730'000,
     .limit = 6 * kSecond,
     .silent = 1},
    {.name = "agent: silent for 8 s, from its return",
     .kind = Kind::kPushed,
     .from = 28 * kSecond,
     .limit = kGrace,
     .down = 20 * kSecond,
     .back = 28 * kSecond},
    {.name = "agent: start",
     .kind = Kind::kPushed,
     .from = 2 * kSecond,
     .limit = kGrace,
     .hold = kGrace,
     .anew = true},
    {.name = "agent: start while it is silent",
     .kind = Kind::kPushed,
     .from = 2 * kSecond,
     .limit = kGrace,
     .down = kSecond,
     .back = 9 * kSecond,
     .hold = kGrace,
     .anew = true},
    {.name = "agent: moved",
     .kind = Kind::kPushed,
     .from = 2 * kSecond,
     .limit = 4 * kSecond,
     .hold = 4 * kSecond,
     .anew = true},
};

TEST_CASE(
    "whatever befalls discovery, a dispatcher has the list before it counts as told, or sends nothing") {
  for (const Path& path : kPaths) {
    for (const int dispatchers : {3, 300}) {
      Found all;
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(path.name);
        CAPTURE(dispatchers);
        CAPTURE(seed);
        const Found one = Fleet(path, dispatchers, seed).Run();
        CHECK(one.least_left >= 0);
        all.longest_safe = std::max(all.longest_safe, one.longest_safe);
        all.least_left = std::min(all.least_left, one.least_left);
        all.longest_fresh = std::max(all.longest_fresh, one.longest_fresh);
        all.waited += one.waited;
        all.stopped += one.stopped;
      }
      CHECK(all.waited > 0);
      MESSAGE(path.name << ", " << dispatchers << ": list after at most " << all.longest_fresh / kMillisecond
                        << " ms, safe after " << all.longest_safe / kMillisecond
                        << ", counts as told no sooner than " << all.least_left / kMillisecond
                        << " ms later; stopped " << all.stopped << " of " << all.waited);
    }
  }
}

TEST_CASE("an overdue watch counts as silent until discovery refuses it, not where its connection breaks") {
  for (const bool refused : {true, false}) {
    DiscoveryClock clock({}, CallPacing(3, kMustAskIn / 2, 1));
    clock.Begin(0, kMustAskIn);
    clock.Called(0);
    clock.Answered(0);
    clock.Called(0);
    const Micros again = clock.next_call();
    clock.Called(again);
    clock.Failed(again + kTravel, 0, refused, true);
    CHECK(clock.good_until() == (refused ? again + kMustAskIn : DiscoveryClock::kToldWithin));
  }
}

}  // namespace
}  // namespace aldersill
