// Tests of the state machines of the duties: owners of workers, order of probe results, leases.
#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <map>
#include <set>

#include "duties/codec.h"
#include "duties/lease.h"
#include "duties/ownership.h"
#include "duties/probe_sharing.h"

namespace aldersill::duties {
namespace {

constexpr Micros kStart = 1'700'000'000 * kSecond;

std::map<std::string, std::string> Owners(const Ownership& ownership, int workers) {
  std::map<std::string, std::string> owners;
  for (int w = 0; w < workers; ++w)
    owners["w" + std::to_string(w)] = ownership.OwnerOf("w" + std::to_string(w));
  return owners;
}

TEST_CASE("only the workers of a leaving member get another owner; shares follow the weights") {
  constexpr int kWorkers = 3'000;
  Ownership ownership;
  const auto ignore = [](const std::string&, const std::string&) {};
  for (int w = 0; w < kWorkers; ++w)
    ownership.AddWorker("w" + std::to_string(w), ignore);
  CHECK(ownership.OwnerOf("w0") == "");
  for (const char* name : {"a", "b", "c"})
    ownership.SetMember(name, 100, ignore);
  const auto before = Owners(ownership, kWorkers);
  std::map<std::string, int> shares;
  for (const auto& [worker, owner] : before)
    ++shares[owner];
  // Within five standard deviations of a third.
  for (const auto& [owner, share] : shares)
    CHECK(std::abs(share - 1'000) < 5 * std::sqrt(kWorkers * 2.0 / 9));
  int moved = 0;
  ownership.RemoveMember("b", [&](const std::string& worker, const std::string& owner) {
    ++moved;
    CHECK(before.at(worker) == "b");
    CHECK(owner != "b");
  });
  CHECK(moved == shares["b"]);
  ownership.SetMember("b", 100, ignore);
  CHECK(Owners(ownership, kWorkers) == before);
  // The owners do not depend on the order in which the members were added.
  Ownership other;
  for (const char* name : {"c", "a"})
    other.SetMember(name, 100, ignore);
  for (int w = 0; w < kWorkers; ++w)
    other.AddWorker("w" + std::to_string(w), ignore);
  other.SetMember("b", 100, ignore);
  CHECK(Owners(other, kWorkers) == before);
  // A member of twice the weight owns twice as many workers as each of the others; weight 0 owns none.
  other.SetMember("a", 200, ignore);
  shares.clear();
  for (const auto& [worker, owner] : Owners(other, kWorkers))
    ++shares[owner];
  CHECK(std::abs(shares["a"] - 1'500) < 5 * std::sqrt(kWorkers / 4.0));
  other.SetMember("a", 0, ignore);
  for (const auto& [worker, owner] : Owners(other, kWorkers))
    CHECK(owner != "a");
}

// The probe sharing of the member "a" with a clock that the test advances.
class TestProbeSharing {
 public:
  explicit TestProbeSharing(int max_in_flight = 32)
      : core_(ProbeSettings{"a", 2 * kSecond, kSecond, max_in_flight}, 5) {}
  std::vector<ProbeEffect> Handle(ProbeEvent event) {
    std::vector<ProbeEffect> effects;
    core_.Handle(now_, std::move(event), &effects);
    return effects;
  }
  std::vector<StartProbe> Advance(Micros time) {
    std::vector<StartProbe> started;
    const Micros until = now_ + time;
    while (core_.next_due() <= until) {
      now_ = std::max(now_, core_.next_due());
      for (const ProbeEffect& effect : Handle(ProbeTimerExpired{})) {
        if (const auto* start = std::get_if<StartProbe>(&effect))
          started.push_back(*start);
      }
    }
    now_ = until;
    return started;
  }
  static int CountDelivered(const std::vector<ProbeEffect>& effects) {
    int delivered = 0;
    for (const ProbeEffect& effect : effects)
      delivered += std::holds_alternative<DeliverResult>(effect);
    return delivered;
  }
  ProbeSharing core_;
  Micros now_ = kStart;
};

ProbeResult ResultAt(Micros at, const std::string& origin) {
  return {"w", static_cast<Stamp>(at / kMillisecond) << 16, origin, Outcome::kServed, 3'000, {}};
}

TEST_CASE("an owner probes each worker once per interval, within its limit of concurrent probes") {
  TestProbeSharing b(4);
  b.Handle(MemberJoined{"a", 100});
  WorkersChanged workers;
  for (int w = 0; w < 40; ++w)
    workers.workers.emplace_back("w" + std::to_string(w), "x:1");
  b.Handle(workers);
  std::map<std::string, int> probes;
  std::deque<std::uint64_t> in_flight;
  for (int step = 0; step < 2'000; ++step) {  // 20 s in steps of 10 ms; each probe takes 30 ms
    for (const StartProbe& start : b.Advance(10 * kMillisecond)) {
      ++probes[start.worker];
      in_flight.push_back(start.number);
    }
    CHECK(in_flight.size() <= 4);
    if (step % 3 != 0)
      continue;
    for (std::size_t n = in_flight.size(); n > 0; --n) {
      const std::uint64_t number = in_flight.front();
      in_flight.pop_front();
      for (const ProbeEffect& effect : b.Handle(ProbeEnded{number, Outcome::kServed, 30'000, {}})) {
        if (const auto* start = std::get_if<StartProbe>(&effect)) {
          ++probes[start->worker];
          in_flight.push_back(start->number);
        }
      }
    }
  }
  CHECK(probes.size() == 40);
  for (const auto& [worker, times] : probes) {
    CHECK(times >= 9);
    CHECK(times <= 11);
  }
}

TEST_CASE("an older result never replaces a newer one, whichever members they come from") {
  TestProbeSharing b;
  b.Handle(WorkersChanged{{{"w", "x:1"}}});
  CHECK(TestProbeSharing::CountDelivered(b.Handle(ProbeResultReceived{ResultAt(kStart, "b")})) == 1);
  CHECK(TestProbeSharing::CountDelivered(b.Handle(ProbeResultReceived{ResultAt(kStart, "b")})) ==
        0);  // a duplicate
  CHECK(TestProbeSharing::CountDelivered(b.Handle(ProbeResultReceived{ResultAt(kStart - kSecond, "c")})) ==
        0);
  CHECK(b.core_.counters().outdated_results == 1);
  CHECK(TestProbeSharing::CountDelivered(b.Handle(ProbeResultReceived{ResultAt(kStart + kSecond, "c")})) ==
        1);  // from a clock that is 1 s ahead
  CHECK(TestProbeSharing::CountDelivered(
            b.Handle(ProbeResultReceived{ResultAt(kStart + 31 * kSecond, "c")})) == 0);
  CHECK(b.core_.counters().results_with_future_stamp == 1);
  CHECK(TestProbeSharing::CountDelivered(
            b.Handle(ProbeResultReceived{{"unknown", 1, "c", Outcome::kServed, 0, {}}})) == 0);
  // A later result of this member has a greater stamp than the received one, although its clock is behind.
  b.Handle(MemberJoined{"a", 100});
  std::vector<StartProbe> started;
  while (started.empty())
    started = b.Advance(10 * kMillisecond);
  b.now_ = kStart;  // the state machine's own time does not decrease
  CHECK(TestProbeSharing::CountDelivered(
            b.Handle(ProbeEnded{started.front().number, Outcome::kServed, 9, {}})) == 1);
  CHECK(b.core_.LastResult("w")->origin == "a");
  CHECK(b.core_.LastResult("w")->stamp > ResultAt(kStart + kSecond, "c").stamp);
}

TEST_CASE("a probe that ends after a change of owner counts; one that ended during a pause does not") {
  TestProbeSharing b;
  b.Handle(MemberJoined{"a", 100});
  b.Handle(WorkersChanged{{{"w", "x:1"}}});
  auto started = b.Advance(2 * kSecond);
  REQUIRE(started.size() == 1);
  b.Handle(MemberJoined{"b", 1'000'000});
  REQUIRE(b.core_.OwnerOf("w") == "b");
  CHECK(TestProbeSharing::CountDelivered(b.Handle(ProbeEnded{started[0].number, Outcome::kServed, 9, {}})) ==
        1);
  CHECK(b.Advance(10 * kSecond).empty());
  // The owner leaves: this member probes within a tenth of an interval, as the last result is old.
  b.Handle(MemberLeft{"b"});
  CHECK(b.core_.counters().takeovers == 1);
  started = b.Advance(200 * kMillisecond);
  REQUIRE(started.size() == 1);
  b.now_ += 20 * kSecond;
  CHECK(TestProbeSharing::CountDelivered(b.Handle(ProbeEnded{started[0].number, Outcome::kServed, 9, {}})) ==
        0);
  CHECK(b.core_.counters().ended_while_paused == 1);
  // It does not make up for probes that it missed during the pause.
  CHECK(b.Advance(2 * kSecond).size() <= 2);
}

TEST_CASE("results and messages survive encoding and decoding; truncated or invalid bytes are rejected") {
  ProbeResult result = ResultAt(kStart, "n1");
  result.report.free_slots = 3.0;
  result.report.cpu_share = 0.5;
  const std::string bytes = EncodeResult(result);
  const auto decoded = DecodeResult("w", bytes);
  REQUIRE(decoded);
  CHECK(decoded->stamp == result.stamp);
  CHECK(decoded->report.free_slots == 3.0);
  CHECK(decoded->report.cpu_share == 0.5);
  CHECK(!decoded->report.waiting);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!DecodeResult("w", bytes.substr(0, size)));
  const Ballot ballot{7, "n1"};
  const std::vector<LeaseMessage> bodies = {Prepare{ballot},
                                            Promise{ballot, Holder{"n2", 9}, 5},
                                            Promise{ballot, std::nullopt, 0},
                                            Propose{ballot, {"n1", 9}, 5},
                                            Accepted{ballot},
                                            Rejected{ballot, {8, "n2"}},
                                            Release{{"n1", 9}}};
  for (const LeaseMessage& body : bodies) {
    const std::string text = EncodeMessage({"duty", body});
    const auto message = DecodeMessage(text);
    REQUIRE(message);
    CHECK(EncodeMessage(*message) == text);
    for (std::size_t size = 0; size < text.size(); ++size)
      CHECK(!DecodeMessage(text.substr(0, size)));
  }
  CHECK(!DecodeMessage("\xc0"));
}

// The leases of three voters, which exchange messages without delay. Members in `down_` neither send nor
// receive.
class Voters {
 public:
  Voters() {
    for (const char* name : {"a", "b", "c"})
      Start(name, 1);
  }
  // Starts or restarts the voter.
  void Start(const std::string& name, std::uint64_t epoch) {
    LeaseSettings settings{"duty", name, epoch, {"a", "b", "c"}, 10 * kSecond, 0.01};
    leases_.erase(name);
    leases_.emplace(name, Lease(settings, std::hash<std::string>()(name) + epoch));
    Handle(name, LeaseStarted{});
  }
  void Handle(const std::string& name, LeaseEvent event) {
    std::vector<LeaseEffect> effects;
    leases_.at(name).Handle(now_, std::move(event), &effects);
    for (LeaseEffect& effect : effects) {
      if (auto* send = std::get_if<SendLeaseMessage>(&effect); send != nullptr && !down_.contains(name))
        messages_.push_back({send->to, LeaseMessageReceived{name, std::move(send->message)}});
    }
  }
  void Advance(Micros time) {
    for (const Micros until = now_ + time; now_ < until; now_ += 10 * kMillisecond) {
      for (auto& [name, lease] : leases_) {
        if (!down_.contains(name) && lease.next_due() <= now_)
          Handle(name, LeaseTimerExpired{});
      }
      while (!messages_.empty()) {
        const auto [to, received] = messages_.front();
        messages_.pop_front();
        if (!down_.contains(to))
          Handle(to, received);
      }
    }
  }
  std::set<std::string> Holders() const {
    std::set<std::string> holders;
    for (const auto& [name, lease] : leases_) {
      if (lease.HeldTerm(now_))
        holders.insert(name);
    }
    return holders;
  }
  std::map<std::string, Lease> leases_;
  std::set<std::string> down_;
  std::deque<std::pair<std::string, LeaseMessageReceived>> messages_;
  Micros now_ = kStart;
};

TEST_CASE(
    "one of three voters holds and renews the lease; after it stops, another holds it in a higher term") {
  Voters v;
  v.Advance(5 * kSecond);
  CHECK(v.Holders().empty());  // after their start all voters are silent for longer than a lease, as they may
                               // have forgotten one
  v.Advance(10 * kSecond);
  REQUIRE(v.Holders().size() == 1);
  const std::string first = *v.Holders().begin();
  const std::uint64_t term = *v.leases_.at(first).HeldTerm(v.now_);
  v.Advance(60 * kSecond);
  CHECK(v.Holders() == std::set<std::string>{first});
  CHECK(v.leases_.at(first).HeldTerm(v.now_) == term);
  CHECK(v.leases_.at(first).counters().renewed >= 15);
  v.down_.insert(first);
  const Micros stopped_at = v.now_;
  while (v.Holders().empty() || v.Holders().contains(first))
    v.Advance(10 * kMillisecond);
  // The next holder follows soon after the old lease has expired.
  CHECK(v.now_ - stopped_at <= 12 * kSecond);
  const std::string second = *v.Holders().begin();
  CHECK(*v.leases_.at(second).HeldTerm(v.now_) > term);
  // A released lease is acquired by another voter without waiting for its expiry.
  v.down_.clear();
  v.Advance(5 * kSecond);
  v.Handle(second, LeaseReleaseRequested{});
  const Micros released_at = v.now_;
  while (v.Holders().empty())
    v.Advance(10 * kMillisecond);
  CHECK(v.now_ - released_at <= 3 * kSecond);
}

TEST_CASE("without a majority no voter holds the lease; an isolated holder loses it by its own clock") {
  Voters v;
  v.Advance(20 * kSecond);
  REQUIRE(v.Holders().size() == 1);
  const std::string holder = *v.Holders().begin();
  for (const char* name : {"a", "b", "c"}) {
    if (name != holder)
      v.down_.insert(name);
  }
  v.Advance(9'900 * kMillisecond);  // a holder counts 98 % of the lease time from its last renewal
  CHECK(v.Holders().empty());
  v.Advance(60 * kSecond);
  CHECK(v.Holders().empty());
  v.down_.clear();
  v.Advance(5 * kSecond);
  CHECK(v.Holders().size() == 1);  // the lease can be acquired again
}

TEST_CASE("answers after the end of a round do not count, even if the proposer was paused at its end") {
  LeaseSettings settings{"duty", "a", 1, {"a", "b", "c"}, 10 * kSecond, 0.01};
  Lease lease(settings, 3);
  std::vector<LeaseEffect> effects;
  lease.Handle(kStart, LeaseStarted{}, &effects);
  const Micros round_start = lease.next_due();
  lease.Handle(round_start, LeaseTimerExpired{}, &effects);
  REQUIRE(!effects.empty());
  const Ballot ballot = std::get<Prepare>(std::get<SendLeaseMessage>(effects.front()).message).ballot;
  effects.clear();
  // The proposer has its own promise. The other promise arrives after the round's end, before the overdue
  // timer is handled.
  lease.Handle(round_start + 2 * kSecond, LeaseMessageReceived{"b", Promise{ballot, std::nullopt, 0}},
               &effects);
  CHECK(effects.empty());
}

TEST_CASE("a restarted holder does not hold the lease, and waits until its previous lease has expired") {
  Voters v;
  v.Advance(20 * kSecond);
  const std::string holder = *v.Holders().begin();
  const Micros restarted_at = v.now_;
  v.Start(holder, 2);
  CHECK(v.Holders().empty());
  while (v.Holders().empty())
    v.Advance(10 * kMillisecond);
  CHECK(v.now_ - restarted_at >= 5 * kSecond);
  // A holder that was paused beyond the expiry does not hold the lease, even before it handles its timer.
  const std::string next = *v.Holders().begin();
  v.down_.insert(next);
  v.now_ += 15 * kSecond;
  CHECK(!v.leases_.at(next).HeldTerm(v.now_));
}

}  // namespace
}  // namespace aldersill::duties
