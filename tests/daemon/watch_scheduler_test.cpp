// Many dispatchers' calls in virtual time against one modelled discovery that is busy, refuses connects,
// answers with errors, breaks off, falls silent, moves, or is an agent: is the list ever acted on after a
// change that is not in it counts as told, and how long until each has the list again? The figures are the
// table of docs/scale.md (run with -s to print them).
#include "http/watch_scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace aldersill {
namespace {

using Kind = WatchScheduler::Kind;
constexpr Micros kMustAskIn = 10 * kSecond;
constexpr Micros kGrace = 300 * kMillisecond;
constexpr Micros kNotificationBound = 6 * kSecond;  // the users' own term, whatever the clock says
constexpr Micros kEnd = 60 * kSecond;
constexpr Micros kTravel = kMillisecond;
constexpr Micros kNever = WatchScheduler::kNever;
constexpr Micros kDay = 86'400 * kSecond;

// What discovery does meanwhile, or what befalls a share of the dispatchers at one moment.
struct Trouble {
  enum What {
    kRefuses,    // nobody listens: watches break, connects are refused
    kErrors,     // calls are answered with 503, watches go on
    kBreaksOff,  // calls are taken and broken off
    kSilent,     // calls are taken and never answered; for an agent: it has nothing new either
    kLosesOut,   // calls out at this moment are never answered
    kBreaksOut,  // calls out at this moment are broken off, also those lost before
    kDelays,     // answers written at this moment are long on their way
    kStarts,     // processes start, with a list that is as old as `age`
    kMoves,      // SIGHUP
  } what = kRefuses;
  Micros from = 0, until = 0;
  double share = 1;
  Micros age = 0;
};
struct Found {
  Micros longest_without = 0;  // from `measured_from` until the list
  Micros latest = -kNever;  // acted on so long after a change counted as told; below 0: no sooner than that
  int measured = 0, waited = 0, stopped = 0;
  Micros longest_stop = 0, all_stops = 0;
};
struct Scene {
  std::string name;
  Kind kind = Kind::kPolled;
  std::vector<Trouble> troubles;
  Micros measured_from = 0;  // how long until the list, from then on
  Micros change_every = 100 * kMillisecond;
  int calls_a_second = 43;                            // that begin watches; it works through them in turn
  std::optional<Micros> changes_from = std::nullopt;  // from the first trouble on, where it is not told
};

class Fleet {
 public:
  Fleet(const Scene& scene, int count, std::uint64_t seed)
      : scene_(scene), count_(count), random_(seed), all_(static_cast<std::size_t>(count)) {
    for (int i = 0; i < count; ++i)
      Start(0, i, 0);
    for (int i = 0; i < std::ssize(scene.troubles); ++i) {
      Push(scene.troubles[i].from, 0, Step::kTrouble, i);
    }
    // Not before: changes wake all watches at once, and a calm fleet's are out of step.
    Push(scene.changes_from.value_or(scene.troubles.front().from), 0, Step::kChange, 0);
    Push(scene.measured_from, 0, Step::kMeasure, 0);
  }
  Found Run() {
    for (; !steps_.empty() && steps_.top().at < kEnd; steps_.pop())
      Do(Step(steps_.top()));
    return found_;
  }

 private:
  struct Step {
    enum What { kCall, kProbe, kProbed, kWritten, kArrives, kFails, kTrouble, kChange, kMeasure } what;
    Micros at;
    int who, number;
    int version = 0;
    bool answered = false;
    std::uint64_t order = 0;
    bool operator<(const Step& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct CallOut {
    Micros at = 0, wait = 0;
    bool lost = false, written = false;
  };
  struct One {
    std::optional<WatchScheduler> clock;
    std::map<int, CallOut> out;
    int generation = 0, probe = 0;
    bool probing = false;
    int known = 0;  // the last change in its list
    // What the judge goes by, seen from outside.
    bool failed = false;           // a call failed, was given up or overdue, since the last answer
    Micros silent_since = kNever;  // a watch fell silent
    Micros called_at = 0, moved_at = -kNever;
    Micros judged_to = 0, started_at = 0;
    bool measured = false;
    Micros stopped_at = kNever;
  };

  void Push(Micros at, int who, Step::What what, int number, int version = 0, bool answered = false) {
    steps_.push({what, at, who, number, version, answered, ++order_});
  }
  bool Chance(double share) { return static_cast<double>(random_() % 100'000) < share * 100'000; }
  const Trouble* Now(Micros at) const {
    for (const Trouble& t : scene_.troubles) {
      if (t.what <= Trouble::kSilent && t.from <= at && at < t.until)
        return &t;
    }
    return nullptr;
  }
  bool Pushed() const { return scene_.kind == Kind::kPushed; }
  // Since when discovery has had it and could be reached.
  Micros Reachable(Micros at) const {
    const Trouble* t = Now(at);
    return t != nullptr && (t->what == Trouble::kRefuses || (Pushed() && t->what == Trouble::kSilent))
               ? Reachable(t->until)
               : at;
  }
  void Start(Micros now, int who, Micros age) {
    One& one = all_[who];
    const Micros held_at = now - age;
    one.clock.emplace(WatchScheduler::Rules{scene_.kind, kMustAskIn, kGrace},
                      PollBackoff(count_, kMustAskIn / 2, random_()));
    // A worker in half of the lists has just been started: so young they are at least.
    const Micros told_start = Chance(0.5) ? held_at - static_cast<Micros>(random_() % (3 * kSecond)) : -kDay;
    one.clock->StartWithCachedList(now, told_start);
    one.out.clear();
    ++one.probe;
    one.probing = false;
    // Where it is asked: whatever the list lacks counts as told 6 s later, whoever was there to hear it.
    one.failed = !Pushed();
    one.known = static_cast<int>(std::ranges::upper_bound(told_, held_at) - told_.begin());
    one.called_at = one.judged_to = one.started_at = now;
    one.silent_since = one.stopped_at = kNever;
    one.moved_at = -kNever;
    Next(now, who);
  }
  void Move(Micros now, int who) {
    One& one = all_[who];
    WatchScheduler next({scene_.kind, kMustAskIn, kGrace}, PollBackoff(count_, kMustAskIn / 2, random_()));
    next.Start(now, Pushed() ? 4 * kSecond : kMustAskIn - WatchScheduler::kLongPollWait);
    next.ContinueFrom(*one.clock);
    for (const auto& [number, call] : one.out) {
      if (call.wait == 0)
        one.failed = true;
      // What it misses from now on it misses as by a silent watch; the model keeps no old address.
      if (call.wait > 0)
        one.silent_since = std::min(one.silent_since, now);
    }
    one.out.clear();
    one.clock.emplace(next);
    one.moved_at = now;
    ++one.probe;
    one.probing = false;
    Next(now, who);
  }
  int Current() const { return static_cast<int>(told_.size()); }

  // The earliest moment from which something that is not in the list counts as told; the rule on drains
  // allows the grace on top.
  Micros Told(const One& one) const {
    if (one.known == Current())
      return kNever;
    // What an agent has counts from the first moment of a new process.
    const Micros had = Pushed() ? std::max(told_[one.known], one.started_at) : told_[one.known];
    if (Pushed()) {
      if (one.failed)
        return had + kNotificationBound;
      Micros told = one.silent_since == kNever ? had : std::max(had, one.silent_since + kNotificationBound);
      if (one.moved_at >= 0)
        told = std::max(told, one.moved_at + 4 * kSecond);
      return told;
    }
    if (one.failed)
      return had + kNotificationBound;
    for (const auto& [number, call] : one.out) {
      if (call.wait == 0 || call.lost)
        continue;
      return call.written ? had + kNotificationBound : kNever;  // on its way, or about to be written
    }
    Micros told = std::max(had, one.called_at) + kMustAskIn;
    if (one.silent_since != kNever)
      told = std::min(told, std::max(had, one.silent_since + kNotificationBound));
    return told;
  }
  void Judge(Micros now, One* one) {
    const Micros until = std::min(now, one->clock->valid_until());
    const Micros told = Told(*one);
    if (told != kNever && until > one->judged_to)
      found_.latest = std::max(found_.latest, until - told);
    if (one->clock->valid_until() < now && one->stopped_at == kNever)
      one->stopped_at = std::max(one->clock->valid_until(), one->judged_to);
    one->judged_to = now;
  }

  void Do(const Step& s) {
    if (s.what == Step::kChange) {
      for (One& one : all_)
        Judge(s.at, &one);
      told_.push_back(Reachable(s.at));
      Push(s.at + scene_.change_every, 0, Step::kChange, 0);
      for (int i = 0; i < count_; ++i)
        TellWatches(s.at, i);
      return;
    }
    if (s.what == Step::kMeasure) {
      // Where calls were lost just now, those that lost one; where processes started, these.
      const auto befell = [&](Trouble::What what) {
        return std::ranges::any_of(scene_.troubles,
                                   [&](const Trouble& t) { return t.what == what && t.from == s.at; });
      };
      const bool lost = befell(Trouble::kLosesOut), started = befell(Trouble::kStarts);
      for (One& one : all_) {
        const bool lost_one = std::ranges::any_of(one.out, [](const auto& c) { return c.second.lost; });
        one.measured = (!lost || lost_one) && (!started || one.started_at == s.at);
        found_.measured += one.measured;
      }
      return;
    }
    if (s.what == Step::kTrouble)
      return Begin(s.at, scene_.troubles[s.number]);
    One& one = all_[s.who];
    const auto call = one.out.find(s.number);
    if (s.what == Step::kCall                               ? s.number != one.generation
        : s.what == Step::kProbe || s.what == Step::kProbed ? s.number != one.probe
                                                            : call == one.out.end() || call->second.lost)
      return;
    if (s.what == Step::kWritten)
      return Write(s.at, s.who, s.number);
    Judge(s.at, &one);
    if (s.what == Step::kCall) {
      if (!one.out.empty() && !Pushed())
        one.failed = true;
      const Micros wait = one.clock->next_poll_wait();
      one.clock->PollSent(s.at);
      one.called_at = s.at;
      // As Discovery has it: four at most, and the oldest makes room.
      if (one.out.size() == 4)
        one.out.erase(one.out.begin());
      Take(s.at, s.who, wait);
    } else if (s.what == Step::kProbe) {
      one.probing = true;
      const Trouble* t = Now(s.at);
      Push(s.at + kTravel, s.who, Step::kProbed, ++one.probe, 0,
           t != nullptr && t->what == Trouble::kRefuses);
    } else if (s.what == Step::kProbed) {
      one.probing = false;
      s.answered ? one.clock->ProbeRefused(s.at) : one.clock->ProbeNotRefused(s.at);
    } else if (s.what == Step::kFails) {
      const Micros called_at = call->second.at;
      one.out.erase(call);
      one.failed = true;
      one.clock->PollFailed(s.at, called_at, s.answered, !one.out.empty());
    } else {
      const Micros called_at = call->second.at;
      one.out.clear();
      one.known = s.version;
      one.failed = false;
      one.silent_since = kNever;
      one.moved_at = -kNever;
      one.clock->PollAnswered(s.at, called_at);
      if (std::exchange(one.measured, false)) {
        ++found_.waited;
        found_.longest_without = std::max(found_.longest_without, s.at - scene_.measured_from);
        if (one.stopped_at != kNever) {
          ++found_.stopped;
          found_.all_stops += s.at - one.stopped_at;
          found_.longest_stop = std::max(found_.longest_stop, s.at - one.stopped_at);
        }
      }
      one.stopped_at = kNever;
    }
    Next(s.at, s.who);
  }
  // As Discovery has it: one timer for the next call, one for the next probe.
  void Next(Micros now, int who) {
    One& one = all_[who];
    ++one.generation;
    if (one.clock->next_poll() != kNever)
      Push(std::max(now, one.clock->next_poll()), who, Step::kCall, one.generation);
    if (one.clock->next_probe() == kNever) {
      ++one.probe;
      one.probing = false;
    } else if (!one.probing) {
      Push(std::max(now, one.clock->next_probe()), who, Step::kProbe, ++one.probe);
    }
  }

  void Begin(Micros now, const Trouble& t) {
    for (int i = 0; i < count_; ++i) {
      One& one = all_[i];
      if (!Chance(t.share))
        continue;
      if (t.what == Trouble::kStarts) {
        Judge(now, &one);
        Start(now, i, t.age);
      } else if (t.what == Trouble::kMoves) {
        Judge(now, &one);
        Move(now, i);
      }
      for (auto& [number, call] : one.out) {
        if (call.written && !call.lost)
          continue;  // on its way: what is sent before a reset arrives before it
        if ((t.what == Trouble::kRefuses && !call.lost) || t.what == Trouble::kBreaksOut) {
          call.lost = false;
          call.written = true;
          Push(now + kTravel, i, Step::kFails, number);
        } else if (t.what == Trouble::kLosesOut || (t.what == Trouble::kSilent && Pushed())) {
          call.lost = true;
          if (call.wait > 0 && t.what == Trouble::kLosesOut)
            one.silent_since = std::min(one.silent_since, now);
        }
      }
    }
  }
  // Discovery begins watches in turn and refuses what waited for 2 s, but works on it all the same.
  void Take(Micros now, int who, Micros wait) {
    const int number = ++calls_;
    CallOut& call = all_[who].out[number] = {now, wait, false, false};
    const Trouble* t = Now(now);
    if (t != nullptr) {
      if (t->what == Trouble::kSilent) {
        call.lost = true;
        if (wait > 0 && !Pushed())
          all_[who].silent_since = std::min(all_[who].silent_since, now);
        return;
      }
      return Push(now + kTravel, who, Step::kFails, number, 0, t->what == Trouble::kErrors);
    }
    if (wait > 0) {
      Push(now + wait, who, Step::kWritten, number);
      return TellWatches(now, who);
    }
    if (Pushed())
      return Push(now, who, Step::kWritten, number);
    const Micros turn = std::max(now, free_at_);
    free_at_ = turn + kSecond / scene_.calls_a_second;
    const bool late = turn - now > 2 * kSecond;
    Push(late ? now + 2 * kSecond : free_at_, who, late ? Step::kFails : Step::kWritten, number, 0, true);
  }
  void TellWatches(Micros now, int who) {
    for (const auto& [number, call] : all_[who].out) {
      if (call.wait > 0 && all_[who].known < Current())
        Write(now, who, number);
    }
  }
  void Write(Micros now, int who, int number) {
    CallOut& call = all_[who].out.at(number);
    if (call.lost || call.written)
      return;
    const Trouble* t = Now(now);
    if (t != nullptr && t->what == Trouble::kSilent) {
      call.lost = true;
      return;
    }
    call.written = true;
    // A watch that is not overdue is taken to be heard as it is written, and an agent is near.
    const bool delayed =
        call.wait == 0 && !Pushed() &&
        std::any_of(scene_.troubles.begin(), scene_.troubles.end(), [&](const Trouble& d) {
          return d.what == Trouble::kDelays && d.from <= now && now < d.until && Chance(d.share);
        });
    Push(now + kTravel + (delayed ? static_cast<Micros>(random_() % (4 * kSecond)) : 0), who, Step::kArrives,
         number, Current());
  }

  const Scene scene_;
  const int count_;
  std::mt19937_64 random_;
  std::vector<One> all_;
  std::vector<Micros> told_;  // of each change, since when discovery has had it and could be reached
  std::priority_queue<Step> steps_;
  std::uint64_t order_ = 0;
  Micros free_at_ = 0;
  int calls_ = 0;
  Found found_;
};

using Troubles = std::vector<Trouble>;
constexpr Micros kS = kSecond;
constexpr Micros kAt = 20'730'000;  // in the middle of watches

const std::vector<Scene> kScenes = {
    {"a fifth of the watches fall silent", Kind::kPolled, {{Trouble::kLosesOut, kAt, 0, 0.2}}, kAt},
    {"all watches fall silent", Kind::kPolled, {{Trouble::kLosesOut, kAt}}, kAt},
    {"a fifth of the watches fall silent, and all calls 2.5 s later",
     Kind::kPolled,
     {{Trouble::kLosesOut, kAt, 0, 0.2}, {Trouble::kLosesOut, kAt + 2'500'000}},
     kAt,
     100 * kMillisecond,
     43,
     kAt + 2'500'000},
    {"a fifth of calls and watches fall silent while all start",
     Kind::kPolled,
     {{Trouble::kStarts, 2 * kS}, {Trouble::kLosesOut, 5'120'000, 0, 0.2}},
     5'120'000,
     100 * kMillisecond,
     43,
     5'120'000},
    {"all start", Kind::kPolled, {{Trouble::kStarts, 2 * kS}}, 2 * kS},
    {"a quarter start, their lists are 18 s old",
     Kind::kPolled,
     {{Trouble::kStarts, 20 * kS, 0, 0.25, 18 * kS}},
     20 * kS,
     100 * kMillisecond,
     43,
     1 * kS},
    {"a tenth start, their lists are 4 s old",
     Kind::kPolled,
     {{Trouble::kStarts, 20 * kS, 0, 0.1, 4 * kS}},
     20 * kS,
     100 * kMillisecond,
     43,
     10 * kS},
    {"all start, first calls are answered with errors for 2 s",
     Kind::kPolled,
     {{Trouble::kStarts, 20 * kS}, {Trouble::kErrors, 20 * kS, 22 * kS}},
     22 * kS},
    {"all start, first calls are never answered for 2 s",
     Kind::kPolled,
     {{Trouble::kStarts, 20 * kS}, {Trouble::kSilent, 20 * kS, 22 * kS}},
     22 * kS},
    {"watches break, calls are answered with errors for 8 s",
     Kind::kPolled,
     {{Trouble::kBreaksOut, 20 * kS}, {Trouble::kErrors, 20 * kS, 28 * kS}},
     28 * kS},
    {"watches break, calls break off for 8 s",
     Kind::kPolled,
     {{Trouble::kBreaksOut, 20 * kS}, {Trouble::kBreaksOff, 20 * kS, 28 * kS}},
     28 * kS},
    {"watches break, calls are never answered for 8 s",
     Kind::kPolled,
     {{Trouble::kBreaksOut, 20 * kS}, {Trouble::kSilent, 20 * kS, 28 * kS}},
     28 * kS},
    {"refuses connects for 8 s", Kind::kPolled, {{Trouble::kRefuses, 20 * kS, 28 * kS}}, 28 * kS},
    {"refuses connects for 8 s, all start meanwhile",
     Kind::kPolled,
     {{Trouble::kRefuses, 20 * kS, 28 * kS}, {Trouble::kStarts, 21 * kS}},
     28 * kS},
    {"all are moved", Kind::kPolled, {{Trouble::kMoves, 20 * kS}}, 20 * kS},
    {"all are moved, and their watches were silent",
     Kind::kPolled,
     {{Trouble::kLosesOut, 19 * kS}, {Trouble::kMoves, 20 * kS}},
     20 * kS},
    {"all are moved while connects are refused",
     Kind::kPolled,
     {{Trouble::kRefuses, 20 * kS, 28 * kS}, {Trouble::kMoves, 24 * kS}},
     28 * kS},
    {"agent: watches fall silent", Kind::kPushed, {{Trouble::kLosesOut, kAt}}, kAt},
    {"agent: silent for 8 s", Kind::kPushed, {{Trouble::kSilent, 20 * kS, 28 * kS}}, 28 * kS},
    {"agent: answers with errors for 8 s", Kind::kPushed, {{Trouble::kErrors, 20 * kS, 28 * kS}}, 28 * kS},
    {"agent: start", Kind::kPushed, {{Trouble::kStarts, 2 * kS}}, 2 * kS},
    {"agent: start while it is silent",
     Kind::kPushed,
     {{Trouble::kSilent, 20 * kS, 28 * kS}, {Trouble::kStarts, 21 * kS}},
     28 * kS},
    {"agent: moved", Kind::kPushed, {{Trouble::kMoves, 20 * kS}}, 20 * kS},
};

TEST_CASE("whatever befalls discovery, a change that counts as told is in the list, or nothing is sent") {
  for (const Scene& scene : kScenes) {
    for (const int dispatchers : {3, 20, 30, 300}) {
      Found all;
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(scene.name);
        CAPTURE(dispatchers);
        CAPTURE(seed);
        const Found one = Fleet(scene, dispatchers, seed).Run();
        // Where discovery is asked nothing of the grace is used but the time that an answer travels.
        CHECK(one.latest <= (scene.kind == Kind::kPushed ? kGrace : kTravel));
        CHECK(one.waited == one.measured);  // each has the list in the end
        all.longest_without = std::max(all.longest_without, one.longest_without);
        all.latest = std::max(all.latest, one.latest);
        all.longest_stop = std::max(all.longest_stop, one.longest_stop);
        all.waited += one.waited;
        all.stopped += one.stopped;
        all.all_stops += one.all_stops;
      }
      MESSAGE(scene.name << ", " << dispatchers << ": list after at most "
                         << all.longest_without / kMillisecond << " ms; acted on until "
                         << -all.latest / kMillisecond << " ms before a change counted as told; stopped "
                         << all.stopped << " of " << all.waited << ", at most for "
                         << all.longest_stop / kMillisecond << " ms, the mean of all "
                         << all.all_stops / std::max(1, all.waited) / kMillisecond << " ms");
    }
  }
}

Scene Drawn(Kind kind, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](Micros from, Micros to) {
    return std::uniform_int_distribution<Micros>(from, to)(random);
  };
  Scene scene{"drawn", kind, {}, 0, draw(50, 1'500) * kMillisecond, static_cast<int>(draw(2, 60))};
  for (Micros at = draw(0, 5 * kS); at < kEnd - 10 * kS;) {
    const auto what = static_cast<Trouble::What>(draw(Trouble::kRefuses, Trouble::kSilent));
    const Micros until = at + draw(0, 1) * draw(0, 9 * kS) + draw(20, 400) * kMillisecond;
    scene.troubles.push_back({what, at, until});
    // What is there for less time than lies between two probes, or two calls to an agent, is not found out.
    at = until + draw(0, 2) * draw(0, 5 * kS) +
         (kind == Kind::kPushed ? 1'000 : draw(120, 400)) * kMillisecond;
  }
  for (Micros at = 0; at < kEnd; at += draw(0, 6 * kS)) {
    const auto what = static_cast<Trouble::What>(draw(Trouble::kLosesOut, Trouble::kMoves));
    const double share = draw(0, 2) == 0 ? 1.0 : static_cast<double>(draw(1, 100)) / 100;
    scene.troubles.push_back({what, at, at + draw(0, 3 * kS), share, draw(0, 1) * draw(0, 20 * kS)});
  }
  return scene;
}

TEST_CASE("faults drawn at random: nothing is sent by a list that lacks a change which counts as told") {
  for (const Kind kind : {Kind::kPolled, Kind::kPushed}) {
    Micros latest = -kNever;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
      CAPTURE(seed);
      CAPTURE(kind == Kind::kPushed);
      const Found found = Fleet(Drawn(kind, seed), static_cast<int>(1 + seed % 12), seed).Run();
      CHECK(found.latest <= kGrace);
      latest = std::max(latest, found.latest);
    }
    MESSAGE((kind == Kind::kPushed ? "agent" : "asked")
            << ": at the latest " << latest / kMillisecond << " ms after a change counted as told");
  }
}

}  // namespace
}  // namespace aldersill
