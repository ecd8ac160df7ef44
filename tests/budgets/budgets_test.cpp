// Tests of the budgets: the single modules case by case, and fleets under faults, which are checked in true
// time.
#include <doctest/doctest.h>

#include <numeric>

#include "budgets/codec.h"
#include "budgets/division.h"
#include "fleet.h"

namespace aldersill::tests {
namespace {

using namespace budgets;

constexpr Micros kStart = 1'700'000'040 * kSecond;

TEST_CASE("a division is max-min fair by weight, has floors, and adds up to at most the total") {
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

TEST_CASE("messages survive encoding; truncated bytes and negative or too large quantities are rejected") {
  QuotaRequest request{7, 9, 11, 100, true, {{1, 2, 3, 4}, {5, 6, 7, 8}}};
  const std::string bytes = Encode(request);
  const auto back = Decode(bytes);
  REQUIRE((back && std::get<QuotaRequest>(*back).lines.size() == 2));
  CHECK(Encode(*back) == bytes);
  const QuotaGrant grant{1, 7, 9, kSecond, {{5, 6, true}}};
  REQUIRE(Decode(Encode(grant)));
  CHECK(Encode(*Decode(Encode(grant))) == Encode(grant));
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK_FALSE(Decode(bytes.substr(0, n)));
  CHECK_FALSE(Decode(Encode(QuotaRequest{7, 9, 11, 100, false, {{1, -2, 3, 4}}})));
  CHECK_FALSE(Decode(Encode(QuotaRequest{7, 9, 11, 100, false, {{1, Units{1} << 60, 3, 4}}})));
}

tools::VirtualBudgets::Options TestOptions(int n, std::int64_t scale = 1) {
  tools::VirtualBudgets::Options options;
  options.instances = n;
  options.lease = 2 * kSecond;
  options.settings.grant_duration = 3 * kSecond;
  options.settings.instances = n;
  options.settings.budgets = SmallBudgets(n, scale);
  return options;
}

TEST_CASE("each invalid setting gives an error with its field and a remedy") {
  Settings s = TestOptions(5).settings;
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

// Quota clients and allocators without a network. Their messages are kept here, so that a test can delay or
// duplicate them.
struct Harness {
  Settings settings = TestOptions(2).settings;
  std::vector<QuotaRequest> requests;
  std::vector<QuotaGrant> grants;
  Micros now = kStart;

  void Handle(QuotaClient* quota_client, QuotaClientEvent event) {
    std::vector<QuotaClientEffect> effects;
    quota_client->Handle(now, std::move(event), &effects);
    for (QuotaClientEffect& effect : effects) {
      if (auto* send = std::get_if<SendQuotaRequest>(&effect))
        requests.push_back(send->request);
    }
  }
  void Handle(QuotaAllocator* quota_allocator, QuotaAllocatorEvent event) {
    std::vector<QuotaAllocatorEffect> effects;
    quota_allocator->Handle(now, std::move(event), &effects);
    for (QuotaAllocatorEffect& effect : effects) {
      if (auto* send = std::get_if<SendQuotaGrant>(&effect))
        grants.push_back(send->grant);
    }
  }
  QuotaClient Make(const std::string& name, std::uint64_t epoch, int seat) {
    Settings own = settings;
    own.name = name;
    own.epoch = epoch;
    own.seat = seat;
    QuotaClient quota_client(own);
    Handle(&quota_client, QuotaClientStarted{});
    return quota_client;
  }
  // An allocator that holds the lease under `term` and is past its learning time.
  QuotaAllocator Holder(std::uint64_t term) {
    QuotaAllocator quota_allocator(settings);
    Handle(&quota_allocator, TermBegan{term});
    now += 40 * kSecond;
    return quota_allocator;
  }
};

TEST_CASE("an allocator without the lease grants nothing, and the client ignores grants of an earlier term") {
  Harness harness;
  QuotaAllocator predecessor = harness.Holder(5);
  QuotaClient client = harness.Make("a", 1, 1);
  harness.Handle(&client, LeaseHolderChanged{"x", 5});
  // The lease has ended.
  harness.Handle(&predecessor, QuotaRequestReceived{"a", harness.requests.back(), std::nullopt});
  CHECK(harness.grants.empty());
  CHECK(predecessor.counters().not_held == 1);
  // Two allocators that both believe that they hold the lease: the last request went to the new one, so the
  // late grant of the old one answers no open request.
  harness.Handle(&predecessor, QuotaRequestReceived{"a", harness.requests.back(), 5});
  const QuotaGrant from_old = harness.grants.back();
  harness.Handle(&client, LeaseHolderChanged{"y", 6});
  QuotaAllocator successor(harness.settings);
  harness.Handle(&successor, TermBegan{6});
  harness.Handle(&successor, QuotaRequestReceived{"a", harness.requests.back(), 6});
  harness.Handle(&client, QuotaGrantReceived{"x", from_old});
  CHECK_FALSE(client.HasGrant(harness.now));
  harness.Handle(&client, QuotaGrantReceived{"y", harness.grants.back()});
  CHECK(client.term() == 6);
  QuotaGrant forged = harness.grants.back();
  harness.Handle(&client, QuotaClientTimerExpired{});
  harness.now += 2 * kSecond;
  harness.Handle(&client, QuotaClientTimerExpired{});
  forged.number = harness.requests.back().number;
  forged.term = 5;
  harness.Handle(&client, QuotaGrantReceived{"x", forged});
  CHECK(client.counters().stale == 2);
}

TEST_CASE("a release counts once: duplicated or late, it takes nothing from the next incarnation") {
  Harness harness;
  QuotaAllocator holder = harness.Holder(5);
  QuotaClient client = harness.Make("a", 1, 1);
  harness.Handle(&client, LeaseHolderChanged{"x", 5});
  harness.Handle(&holder, QuotaRequestReceived{"a", harness.requests.back(), 5});
  harness.Handle(&client, QuotaGrantReceived{"x", harness.grants.back()});
  REQUIRE(client.HasGrant(harness.now));
  const Units out = holder.Outstanding(kMail);
  CHECK(out > 0);
  harness.Handle(&client, ReleaseQuota{});
  const QuotaRequest release = harness.requests.back();
  CHECK(release.leaving);
  // The release is sent again, because it may be lost and is never answered.
  REQUIRE(client.next_due() < harness.now + kSecond);
  CHECK(client.Take(harness.now, "mail") == ErrorCode::kLeaving);
  harness.Handle(&holder, QuotaRequestReceived{"a", release, 5});
  CHECK(holder.Outstanding(kMail) == 0);
  QuotaClient restarted = harness.Make("a", 2, 1);
  harness.Handle(&restarted, LeaseHolderChanged{"x", 5});
  harness.now += kSecond;
  harness.Handle(&holder, QuotaRequestReceived{"a", harness.requests.back(), 5});
  CHECK(holder.Outstanding(kMail) == out);
  harness.Handle(&holder, QuotaRequestReceived{"a", release, 5});
  CHECK(holder.Outstanding(kMail) == out);
  CHECK(holder.counters().stale == 1);
}

TEST_CASE(
    "a restarted instance does not get the amount and the slots again that its former incarnation may have "
    "used") {
  Harness harness;
  QuotaAllocator holder = harness.Holder(5);
  QuotaClient client = harness.Make("a", 1, 1);
  harness.Handle(&client, LeaseHolderChanged{"x", 5});
  harness.Handle(&holder, QuotaRequestReceived{"a", harness.requests.back(), 5});
  harness.Handle(&client, QuotaGrantReceived{"x", harness.grants.back()});
  std::int64_t used = 0;
  while (!client.Take(harness.now, "spend"))
    ++used;
  while (!client.Take(harness.now, "slots"))
    continue;
  CHECK(used > 300);
  const Units slots_out = holder.Outstanding(kSlots), spend_out = holder.Outstanding(kSpend);
  harness.now += kSecond;
  QuotaClient restarted = harness.Make("a", 2, 1);
  CHECK(restarted.Allowed(harness.now, "spend") == 0);
  CHECK(restarted.Allowed(harness.now, "slots") == 0);
  harness.Handle(&restarted, LeaseHolderChanged{"x", 5});
  harness.Handle(&holder, QuotaRequestReceived{"a", harness.requests.back(), 5});
  harness.Handle(&restarted, QuotaGrantReceived{"x", harness.grants.back()});
  CHECK(restarted.Take(harness.now, "spend", used) == ErrorCode::kUsedUp);
  CHECK(restarted.Allowed(harness.now, "spend") + spend_out <= harness.settings.budgets[kSpend].total);
  CHECK(restarted.Allowed(harness.now, "slots") + slots_out <= harness.settings.budgets[kSlots].total);
}

TEST_CASE("a renewal by a new holder restores nothing that has expired since the request") {
  Harness harness;
  QuotaAllocator predecessor = harness.Holder(5);
  QuotaClient client = harness.Make("a", 1, 1);
  harness.Handle(&client, LeaseHolderChanged{"x", 5});
  harness.Handle(&predecessor, QuotaRequestReceived{"a", harness.requests.back(), 5});
  harness.Handle(&client, QuotaGrantReceived{"x", harness.grants.back()});
  std::uint64_t term = 5;
  for (const bool in_time : {true, false}) {
    harness.now += 2'500 * kMillisecond;
    QuotaAllocator successor(harness.settings);
    harness.Handle(&successor, TermBegan{++term});
    harness.Handle(&client, LeaseHolderChanged{"y", term});
    harness.Handle(&successor, QuotaRequestReceived{"a", harness.requests.back(), term});
    REQUIRE(harness.grants.back().lines[kMail].renewal);
    if (!in_time)
      harness.now += 1'000 * kMillisecond;  // the grant is delayed
    const Units fallback = FallbackQuota(harness.settings.budgets[kMail], harness.settings.instances);
    harness.Handle(&client, QuotaGrantReceived{"y", harness.grants.back()});
    CHECK((client.Allowed(harness.now, "mail") > fallback) == in_time);
  }
}

TEST_CASE("an instance with different settings is granted nothing, and the allocator reports it") {
  Harness harness;
  QuotaAllocator holder = harness.Holder(5);
  harness.settings.budgets[kMail].total *= 2;
  QuotaClient client = harness.Make("a", 1, 1);
  harness.Handle(&client, LeaseHolderChanged{"x", 5});
  std::vector<QuotaAllocatorEffect> effects;
  holder.Handle(harness.now, QuotaRequestReceived{"a", harness.requests.back(), 5}, &effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::get<QuotaAllocatorFailed>(effects[0]).error.code == ErrorCode::kSettingsDiffer);
  CHECK(holder.Outstanding(kMail) == 0);
}

// ---- Fleets ----

struct RunningFleet : Fleet {
  explicit RunningFleet(const tools::VirtualBudgets::Options& options, int started = -1) : Fleet(options) {
    for (int i = 0; i < (started < 0 ? world.size() : started); ++i) {
      world.At(static_cast<Micros>(world.random()(1'000'000)), [this, i] { world.Start(i); });
    }
    CHECK(RunUntil(10 * kSecond));
  }
  bool RunFor(Micros duration) { return RunUntil(world.now() + duration); }
  // The fraction of a budget that all running instances together may use.
  double AllowedFraction(std::size_t budget) const { return Allowed(budget) / Total(budget); }
  // The fraction of the rate that instance `i` may use.
  double MemberFraction(int i) const {
    return static_cast<double>(world.quota_client(i).Allowed(world.LocalTime(i), "mail")) / Total(kMail);
  }
};

TEST_CASE(
    "a holder that was paused for longer than its term resumes with pending requests, and grants nothing") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    auto options = TestOptions(5);
    options.seed = seed;
    RunningFleet fleet(options);
    const int old_holder = fleet.world.Holder().value();
    fleet.world.Pause(old_holder);
    CHECK(fleet.RunFor(8 * kSecond));
    REQUIRE(fleet.world.Holder());
    CHECK(fleet.world.Holder() != old_holder);
    fleet.world.Resume(old_holder);
    CHECK_MESSAGE(fleet.RunFor(6 * kSecond), fleet.violation);
    CHECK(fleet.world.quota_allocator(old_holder).counters().not_held > 0);
    CHECK(fleet.AllowedFraction(kMail) > 0.9);
  }
}

TEST_CASE("half of the instances are killed with their shares: these are granted again after their expiry") {
  RunningFleet fleet(TestOptions(12));
  fleet.offered.assign(12, 40);
  CHECK(fleet.RunFor(6 * kSecond));
  for (int i = 6; i < 12; ++i)
    fleet.world.Kill(i);
  CHECK(fleet.AllowedFraction(kMail) < 0.65);
  CHECK_MESSAGE(fleet.RunFor(9 * kSecond), fleet.violation);
  CHECK(fleet.AllowedFraction(kMail) > 0.9);
}

TEST_CASE("300 instances start within a second, and each gets a share") {
  auto options = TestOptions(300, 50);
  RunningFleet fleet(options);
  CHECK_MESSAGE(fleet.RunFor(8 * kSecond), fleet.violation);
  CHECK(fleet.AllowedFraction(kMail) > 0.95);
  for (int i = 0; i < 300; ++i)
    CHECK(fleet.MemberFraction(i) > 0.5 / 300);
}

TEST_CASE("all demand is at one of 300 instances, and it gets nearly the whole budget") {
  RunningFleet fleet(TestOptions(300, 50));
  fleet.offered.assign(300, 0.0);
  fleet.offered[123] = 3'000;
  CHECK_MESSAGE(fleet.RunFor(12 * kSecond), fleet.violation);
  CHECK(fleet.MemberFraction(123) > 0.93);
}

TEST_CASE(
    "a split with grants on both sides, then healed: the total is never exceeded, and is in use again") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    auto options = TestOptions(7);
    options.seed = seed;
    options.max_drift = 0.01;
    RunningFleet fleet(options);
    fleet.offered.assign(7, 30);
    CHECK(fleet.RunFor(2 * kSecond));
    fleet.world.Split({0, 3, 4});
    CHECK(fleet.RunFor(static_cast<Micros>(1 + seed) * kSecond));
    fleet.world.Heal();
    CHECK_MESSAGE(fleet.RunFor(12 * kSecond), fleet.violation);
    CHECK(fleet.AllowedFraction(kMail) > 0.9);
  }
}

TEST_CASE("clocks 1 % fast and 1 % slow: grants expire at the clients before they expire at the allocator") {
  for (const bool voters_fast : {true, false}) {
    auto options = TestOptions(6);
    // Grants are so long that 2 % of them is much more than the delay of a request, which could hide a
    // missing margin.
    options.settings.grant_duration = 60 * kSecond;
    options.settings.budgets[kSpend].window = 120 * kSecond;
    Fleet fleet(options);
    for (int i = 0; i < 6; ++i) {
      fleet.world.SetClock(i, (i < 3) == voters_fast ? 1.01 : 0.99);
      fleet.world.Start(i);
      fleet.offered[i] = 20;
    }
    CHECK(fleet.RunUntil(90 * kSecond));
    // Members that are cut off use their shares until these expire; only then may the others get them.
    fleet.world.Split({3, 4, 5});
    CHECK_MESSAGE(fleet.RunUntil(200 * kSecond), fleet.violation);
  }
}

TEST_CASE("an instance above the stated number reports it, and has nothing but its grants") {
  auto options = TestOptions(4);
  options.settings.instances = 3;
  options.voters = 0;  // so that there is never a lease holder
  Fleet fleet(options);
  std::vector<ErrorCode> reported;
  fleet.world.on_error = [&](int i, const Error& e) {
    if (i == 3)
      reported.push_back(e.code);
  };
  for (int i = 0; i < 4; ++i)
    fleet.world.Start(i);
  CHECK(fleet.RunUntil(20 * kSecond));
  CHECK(reported == std::vector<ErrorCode>{ErrorCode::kNoSeat});
  CHECK(fleet.served[3] == 0);
  for (int i = 0; i < 3; ++i)
    CHECK(fleet.served[i] > 5);
  Settings s = options.settings;
  s.name = "n3";
  s.seat = 4;
  QuotaClient above(s);
  CHECK(above.Take(kStart, "mail") == ErrorCode::kNoSeat);
  CHECK(above.Take(kStart, "post") == ErrorCode::kUnknown);
}

TEST_CASE("a tenant moves all its traffic to another instance: the share follows within seconds") {
  RunningFleet fleet(TestOptions(12));
  fleet.offered.assign(12, 0.0);
  fleet.offered[4] = 36;
  CHECK(fleet.RunFor(8 * kSecond));
  CHECK(fleet.MemberFraction(4) > 0.8);
  std::swap(fleet.offered[4], fleet.offered[9]);
  CHECK_MESSAGE(fleet.RunFor(4 * kSecond), fleet.violation);
  CHECK(fleet.MemberFraction(9) > 0.75);
}

}  // namespace
}  // namespace aldersill::tests
