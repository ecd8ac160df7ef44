// Budgets: the pure parts case by case, and the hard cases of a fleet, each judged in true time.
#include <doctest/doctest.h>

#include <numeric>

#include "budgets/codec.h"
#include "budgets/division.h"
#include "fleet.h"

namespace aldersill::tests {
namespace {

using namespace budgets;
using budgets::QuotaGrant;  // not the core's

constexpr Micros kStart = 1'700'000'040 * kSecond;

TEST_CASE("a division is max-min by weight, has floors, and never adds up to more than the whole") {
  CHECK(Divide(100, 0, {{10, 100}, {90, 100}, {90, 100}}) == std::vector<Units>{10, 45, 45});
  CHECK(Divide(90, 0, {{90, 200}, {90, 100}}) == std::vector<Units>{60, 30});
  CHECK(Divide(100, 10, {{500, 100}, {0, 100}}) == std::vector<Units>{95, 5});
  CHECK(Divide(100, 0, {{20, 100}, {30, 100}}) == std::vector<Units>{45, 55});
  CHECK(Divide(5, 0, {{1, 100}, {1, 100}, {1, 0}}) == std::vector<Units>{2, 2, 0});
  CHECK(Divide(2, 0, {{1, 100}, {1, 100}, {1, 100}}) == std::vector<Units>{0, 1, 1});
  CHECK(Divide(10, 5, {}).empty());
  pcg32 random(7);
  for (int round = 0; round < 2'000; ++round) {
    std::vector<Claim> claims(1 + random(40));
    for (Claim& c : claims)
      c = {static_cast<Units>(random(1'000'000)), random(300)};
    const Units total = random(5'000'000), floors = random(1'000);
    const std::vector<Units> shares = Divide(total, floors, claims);
    CHECK(std::accumulate(shares.begin(), shares.end(), Units{0}) <= total);
    for (const Units share : shares)
      CHECK(share >= 0);
  }
}

TEST_CASE("messages come back as they went; bytes cut short, negative or too great are none") {
  QuotaRequest ask{7, 9, 11, 100, true, {{1, 2, 3, 4}, {5, 6, 7, 8}}};
  const std::string bytes = Encode(ask);
  const auto back = Decode(bytes);
  REQUIRE((back && std::get<QuotaRequest>(*back).lines.size() == 2));
  CHECK(Encode(*back) == bytes);
  const QuotaGrant answer{1, 7, 9, kSecond, {{5, 6, true}}};
  REQUIRE(Decode(Encode(answer)));
  CHECK(Encode(*Decode(Encode(answer))) == Encode(answer));
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK_FALSE(Decode(bytes.substr(0, n)));
  CHECK_FALSE(Decode(Encode(QuotaRequest{7, 9, 11, 100, false, {{1, -2, 3, 4}}})));
  CHECK_FALSE(Decode(Encode(QuotaRequest{7, 9, 11, 100, false, {{1, Units{1} << 60, 3, 4}}})));
}

tools::VirtualBudgets::Options Of(int n, std::int64_t scale = 1) {
  tools::VirtualBudgets::Options o;
  o.instances = n;
  o.lease = 2 * kSecond;
  o.settings.grant = 3 * kSecond;
  o.settings.instances = n;
  o.settings.budgets = SmallBudgets(n, scale);
  return o;
}

TEST_CASE("settings that cannot be kept are told apart, each with its field and what to do") {
  Settings s = Of(5).settings;
  CHECK(Check(s).empty());
  s.budgets[kMail].burst = 4;
  s.budgets[kSpend].window = kSecond;
  s.budgets[kSlots].longest_use = 0;
  s.budgets[kSlots].name = "mail";
  s.seat = 0;
  std::vector<std::string> found;
  for (const Error& e : Check(s)) {
    found.push_back(std::string(Name(e.code)) + " " + e.subject);
    CHECK(e.text().size() > found.back().size() + 10);
  }
  CHECK(found == std::vector<std::string>{
                     "budget.bad_seat budgets.seat", "budget.bad_burst budgets.mail.burst",
                     "budget.same_name budgets.mail", "budget.bad_longest_use budgets.mail.longest_use_ms",
                     "budget.bad_window budgets.spend.window_ms"});
}

// One purse and grantors by hand: what is sent stays where the test can keep it back or give it twice.
struct Desk {
  Settings s = Of(2).settings;
  std::vector<QuotaRequest> asks;
  std::vector<QuotaGrant> answers;
  Micros now = kStart;

  void Tell(QuotaClient* quota_client, QuotaClientEvent event) {
    std::vector<QuotaClientEffect> effects;
    quota_client->Handle(now, std::move(event), &effects);
    for (QuotaClientEffect& effect : effects) {
      if (auto* send = std::get_if<SendQuotaRequest>(&effect))
        asks.push_back(send->ask);
    }
  }
  void Tell(QuotaAllocator* quota_allocator, QuotaAllocatorEvent event) {
    std::vector<QuotaAllocatorEffect> effects;
    quota_allocator->Handle(now, std::move(event), &effects);
    for (QuotaAllocatorEffect& effect : effects) {
      if (auto* send = std::get_if<SendQuotaGrant>(&effect))
        answers.push_back(send->answer);
    }
  }
  QuotaClient Make(const std::string& name, std::uint64_t epoch, int seat) {
    Settings own = s;
    own.name = name, own.epoch = epoch, own.seat = seat;
    QuotaClient quota_client(own);
    Tell(&quota_client, QuotaClientStarted{});
    return quota_client;
  }
  // One that holds under `term` and has learnt all that there is to learn.
  QuotaAllocator Holder(std::uint64_t term) {
    QuotaAllocator quota_allocator(s);
    Tell(&quota_allocator, TermBegan{term});
    now += 40 * kSecond;
    return quota_allocator;
  }
};

TEST_CASE(
    "who holds nothing answers nothing, whatever it believes; and an earlier term's answer is not taken") {
  Desk d;
  QuotaAllocator old = d.Holder(5);
  QuotaClient a = d.Make("a", 1, 1);
  d.Tell(&a, LeaseHolderChanged{"x", 5});
  d.Tell(&old, QuotaRequestReceived{"a", d.asks.back(), std::nullopt});  // its lease says that it has ended
  CHECK(d.answers.empty());
  CHECK(old.counters().not_held == 1);
  // Two that both believe it: the ask went to one, and the other's late answer is to no ask that is open.
  d.Tell(&old, QuotaRequestReceived{"a", d.asks.back(), 5});
  const QuotaGrant from_old = d.answers.back();
  d.Tell(&a, LeaseHolderChanged{"y", 6});
  QuotaAllocator fresh(d.s);
  d.Tell(&fresh, TermBegan{6});
  d.Tell(&fresh, QuotaRequestReceived{"a", d.asks.back(), 6});
  d.Tell(&a, QuotaGrantReceived{"x", from_old});
  CHECK_FALSE(a.Granted(d.now));
  d.Tell(&a, QuotaGrantReceived{"y", d.answers.back()});
  CHECK(a.term() == 6);
  QuotaGrant forged = d.answers.back();
  d.Tell(&a, QuotaClientTimerExpired{});
  d.now += 2 * kSecond;
  d.Tell(&a, QuotaClientTimerExpired{});
  forged.number = d.asks.back().number, forged.term = 5;
  d.Tell(&a, QuotaGrantReceived{"x", forged});
  CHECK(a.counters().stale == 2);
}

TEST_CASE("giving back counts once: doubled and late it takes nothing from what is held by then") {
  Desk d;
  QuotaAllocator holder = d.Holder(5);
  QuotaClient a = d.Make("a", 1, 1);
  d.Tell(&a, LeaseHolderChanged{"x", 5});
  d.Tell(&holder, QuotaRequestReceived{"a", d.asks.back(), 5});
  d.Tell(&a, QuotaGrantReceived{"x", d.answers.back()});
  REQUIRE(a.Granted(d.now));
  const Units out = holder.Out(kMail);
  CHECK(out > 0);
  d.Tell(&a, ReleaseQuota{});
  const QuotaRequest gives_back = d.asks.back();
  CHECK(gives_back.leaving);
  REQUIRE(a.next_due() < d.now + kSecond);  // it may be lost, and nobody answers it
  CHECK(a.Take(d.now, "mail") == ErrorCode::kLeaving);
  d.Tell(&holder, QuotaRequestReceived{"a", gives_back, 5});
  CHECK(holder.Out(kMail) == 0);
  QuotaClient again = d.Make("a", 2, 1);
  d.Tell(&again, LeaseHolderChanged{"x", 5});
  d.now += kSecond;
  d.Tell(&holder, QuotaRequestReceived{"a", d.asks.back(), 5});
  CHECK(holder.Out(kMail) == out);
  d.Tell(&holder, QuotaRequestReceived{"a", gives_back, 5});
  CHECK(holder.Out(kMail) == out);
  CHECK(holder.counters().stale == 1);
}

TEST_CASE("a restarted instance has not the amount again that its former life may have used, nor its slots") {
  Desk d;
  QuotaAllocator holder = d.Holder(5);
  QuotaClient a = d.Make("a", 1, 1);
  d.Tell(&a, LeaseHolderChanged{"x", 5});
  d.Tell(&holder, QuotaRequestReceived{"a", d.asks.back(), 5});
  d.Tell(&a, QuotaGrantReceived{"x", d.answers.back()});
  std::int64_t used = 0;
  while (!a.Take(d.now, "spend"))
    ++used;
  while (!a.Take(d.now, "slots"))
    continue;
  CHECK(used > 300);
  const Units slots_out = holder.Out(kSlots), spend_out = holder.Out(kSpend);
  d.now += kSecond;
  QuotaClient again = d.Make("a", 2, 1);
  CHECK(again.Allowed(d.now, "spend") == 0);
  CHECK(again.Allowed(d.now, "slots") == 0);
  d.Tell(&again, LeaseHolderChanged{"x", 5});
  d.Tell(&holder, QuotaRequestReceived{"a", d.asks.back(), 5});
  d.Tell(&again, QuotaGrantReceived{"x", d.answers.back()});
  CHECK(again.Take(d.now, "spend", used) == ErrorCode::kUsedUp);
  CHECK(again.Allowed(d.now, "spend") + spend_out <= d.s.budgets[kSpend].total);
  CHECK(again.Allowed(d.now, "slots") + slots_out <= d.s.budgets[kSlots].total);
}

TEST_CASE("what a new holder renews without knowing it is not taken where it has ended meanwhile") {
  Desk d;
  QuotaAllocator old = d.Holder(5);
  QuotaClient a = d.Make("a", 1, 1);
  d.Tell(&a, LeaseHolderChanged{"x", 5});
  d.Tell(&old, QuotaRequestReceived{"a", d.asks.back(), 5});
  d.Tell(&a, QuotaGrantReceived{"x", d.answers.back()});
  std::uint64_t term = 5;
  for (const bool in_time : {true, false}) {
    d.now += 2'500 * kMillisecond;
    QuotaAllocator fresh(d.s);
    d.Tell(&fresh, TermBegan{++term});
    d.Tell(&a, LeaseHolderChanged{"y", term});
    d.Tell(&fresh, QuotaRequestReceived{"a", d.asks.back(), term});
    REQUIRE(d.answers.back().lines[kMail].renewal);
    if (!in_time)
      d.now += 1'000 * kMillisecond;  // its way took long
    const Units fallback = FallbackQuota(d.s.budgets[kMail], d.s.instances);
    d.Tell(&a, QuotaGrantReceived{"y", d.answers.back()});
    CHECK((a.Allowed(d.now, "mail") > fallback) == in_time);
  }
}

TEST_CASE("other settings are granted nothing, and that is said") {
  Desk d;
  QuotaAllocator holder = d.Holder(5);
  d.s.budgets[kMail].total *= 2;
  QuotaClient a = d.Make("a", 1, 1);
  d.Tell(&a, LeaseHolderChanged{"x", 5});
  std::vector<QuotaAllocatorEffect> effects;
  holder.Handle(d.now, QuotaRequestReceived{"a", d.asks.back(), 5}, &effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::get<QuotaAllocatorFailed>(effects[0]).error.code == ErrorCode::kSettingsDiffer);
  CHECK(holder.Out(kMail) == 0);
}

// ---- Fleets ----

struct Started : Fleet {
  explicit Started(const tools::VirtualBudgets::Options& o, int begins = -1) : Fleet(o) {
    for (int i = 0; i < (begins < 0 ? world.size() : begins); ++i) {
      world.At(static_cast<Micros>(world.random()(1'000'000)), [this, i] { world.Begin(i); });
    }
    CHECK(RunUntil(10 * kSecond));
  }
  bool Go(Micros lasts) { return RunUntil(world.now() + lasts); }
  double Part(std::size_t budget) const { return Allowed(budget) / Whole(budget); }
  double PartOf(int i) const {
    return static_cast<double>(world.quota_client(i).Allowed(world.LocalTime(i), "mail")) / Whole(kMail);
  }
};

TEST_CASE("a holder stopped for longer than its term wakes with asks in hand, and deals nothing") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    auto o = Of(5);
    o.seed = seed;
    Started f(o);
    const int old = f.world.Holder().value();
    f.world.Pause(old);
    CHECK(f.Go(8 * kSecond));
    REQUIRE(f.world.Holder());
    CHECK(f.world.Holder() != old);
    f.world.Resume(old);
    CHECK_MESSAGE(f.Go(6 * kSecond), f.broken);
    CHECK(f.world.quota_allocator(old).counters().not_held > 0);
    CHECK(f.Part(kMail) > 0.9);
  }
}

TEST_CASE("half of the dispatchers are killed with their shares: these come back when they have ended") {
  Started f(Of(12));
  f.offered.assign(12, 40);
  CHECK(f.Go(6 * kSecond));
  for (int i = 6; i < 12; ++i)
    f.world.Kill(i);
  CHECK(f.Part(kMail) < 0.65);
  CHECK_MESSAGE(f.Go(9 * kSecond), f.broken);
  CHECK(f.Part(kMail) > 0.9);
}

TEST_CASE("300 start within a second, and all have their part") {
  auto o = Of(300, 50);
  Started f(o);
  CHECK_MESSAGE(f.Go(8 * kSecond), f.broken);
  CHECK(f.Part(kMail) > 0.95);
  for (int i = 0; i < 300; ++i)
    CHECK(f.PartOf(i) > 0.5 / 300);
}

TEST_CASE("all demand comes to one of 300, and it has nearly all") {
  Started f(Of(300, 50));
  f.offered.assign(300, 0.0);
  f.offered[123] = 3'000;
  CHECK_MESSAGE(f.Go(12 * kSecond), f.broken);
  CHECK(f.PartOf(123) > 0.93);
}

TEST_CASE("a split in which both sides hold grants, then heal: never above the whole, then all of it again") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    auto o = Of(7);
    o.seed = seed, o.drift = 0.01;
    Started f(o);
    f.offered.assign(7, 30);
    CHECK(f.Go(2 * kSecond));
    f.world.Split({0, 3, 4});
    CHECK(f.Go(static_cast<Micros>(1 + seed) * kSecond));
    f.world.Mend();
    CHECK_MESSAGE(f.Go(12 * kSecond), f.broken);
    CHECK(f.Part(kMail) > 0.9);
  }
}

TEST_CASE("clocks 1 % fast and 1 % slow, holders and others: grants end at their users first") {
  for (const bool voters_fast : {true, false}) {
    auto o = Of(6);
    // Long grants, so that 2 % of them can be seen, and no spare time of an ask's way.
    o.settings.grant = 60 * kSecond;
    o.settings.budgets[kSpend].window = 120 * kSecond;
    Fleet f(o);
    for (int i = 0; i < 6; ++i) {
      f.world.SetClock(i, (i < 3) == voters_fast ? 1.01 : 0.99);
      f.world.Begin(i);
      f.offered[i] = 20;
    }
    CHECK(f.RunUntil(90 * kSecond));
    // Cut off with all they have, they use it to the end; the others have it only then.
    f.world.Split({3, 4, 5});
    CHECK_MESSAGE(f.RunUntil(200 * kSecond), f.broken);
  }
}

TEST_CASE("an instance above the stated number says so, and has nothing but what it is granted") {
  auto o = Of(4);
  o.settings.instances = 3;
  o.voters = 0;  // so nobody ever holds
  Fleet f(o);
  std::vector<ErrorCode> said;
  f.world.on_error = [&](int i, const Error& e) {
    if (i == 3)
      said.push_back(e.code);
  };
  for (int i = 0; i < 4; ++i)
    f.world.Begin(i);
  CHECK(f.RunUntil(20 * kSecond));
  CHECK(said == std::vector<ErrorCode>{ErrorCode::kNoSeat});
  CHECK(f.served[3] == 0);
  for (int i = 0; i < 3; ++i)
    CHECK(f.served[i] > 5);
  Settings s = o.settings;
  s.name = "n3", s.seat = 4;
  QuotaClient above(s);
  CHECK(above.Take(kStart, "mail") == ErrorCode::kNoSeat);
  CHECK(above.Take(kStart, "post") == ErrorCode::kUnknown);
}

TEST_CASE("a tenant moves its whole traffic to another dispatcher: its share follows within seconds") {
  Started f(Of(12));
  f.offered.assign(12, 0.0);
  f.offered[4] = 36;
  CHECK(f.Go(8 * kSecond));
  CHECK(f.PartOf(4) > 0.8);
  std::swap(f.offered[4], f.offered[9]);
  CHECK_MESSAGE(f.Go(4 * kSecond), f.broken);
  CHECK(f.PartOf(9) > 0.75);
}

}  // namespace
}  // namespace aldersill::tests
