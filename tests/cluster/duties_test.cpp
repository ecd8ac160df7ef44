// The duties' pure cores, case by case: who owns what, results and their order, leases.
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

TEST_CASE("only the share of who goes changes hands, and comes back with it; shares follow the weights") {
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
  // The order in which members came to be known makes no difference.
  Ownership other;
  for (const char* name : {"c", "a"})
    other.SetMember(name, 100, ignore);
  for (int w = 0; w < kWorkers; ++w)
    other.AddWorker("w" + std::to_string(w), ignore);
  other.SetMember("b", 100, ignore);
  CHECK(Owners(other, kWorkers) == before);
  // Twice the weight, twice the share of either of the others; none for none.
  other.SetMember("a", 200, ignore);
  shares.clear();
  for (const auto& [worker, owner] : Owners(other, kWorkers))
    ++shares[owner];
  CHECK(std::abs(shares["a"] - 1'500) < 5 * std::sqrt(kWorkers / 4.0));
  other.SetMember("a", 0, ignore);
  for (const auto& [worker, owner] : Owners(other, kWorkers))
    CHECK(owner != "a");
}

class Bench {
 public:
  explicit Bench(int max_in_flight = 32)
      : core_(ProbeSettings{"a", 2 * kSecond, kSecond, max_in_flight}, 5) {}
  std::vector<ProbeEffect> Tell(ProbeEvent event) {
    std::vector<ProbeEffect> effects;
    core_.Handle(now_, std::move(event), &effects);
    return effects;
  }
  std::vector<StartProbe> Wait(Micros time) {
    std::vector<StartProbe> started;
    const Micros until = now_ + time;
    while (core_.next_due() <= until) {
      now_ = std::max(now_, core_.next_due());
      for (const ProbeEffect& effect : Tell(ProbeTimerExpired{})) {
        if (const auto* start = std::get_if<StartProbe>(&effect))
          started.push_back(*start);
      }
    }
    now_ = until;
    return started;
  }
  static int Told(const std::vector<ProbeEffect>& effects) {
    int told = 0;
    for (const ProbeEffect& effect : effects)
      told += std::holds_alternative<DeliverResult>(effect);
    return told;
  }
  ProbeSharing core_;
  Micros now_ = kStart;
};

ProbeResult Heard(Micros at, const std::string& origin) {
  return {"w", static_cast<Stamp>(at / kMillisecond) << 16, origin, Outcome::kServed, 3'000, {}};
}

TEST_CASE("an owner probes each worker once an interval, and no more at once than it may") {
  Bench b(4);
  b.Tell(MemberJoined{"a", 100});
  WorkersChanged workers;
  for (int w = 0; w < 40; ++w)
    workers.workers.emplace_back("w" + std::to_string(w), "x:1");
  b.Tell(workers);
  std::map<std::string, int> probes;
  std::deque<std::uint64_t> out;
  for (int step = 0; step < 2'000; ++step) {  // 20 s in steps of 10 ms; each probe takes 30
    for (const StartProbe& start : b.Wait(10 * kMillisecond)) {
      ++probes[start.worker];
      out.push_back(start.number);
    }
    CHECK(out.size() <= 4);
    if (step % 3 != 0)
      continue;
    for (std::size_t n = out.size(); n > 0; --n) {
      const std::uint64_t number = out.front();
      out.pop_front();
      for (const ProbeEffect& effect : b.Tell(ProbeEnded{number, Outcome::kServed, 30'000, {}})) {
        if (const auto* start = std::get_if<StartProbe>(&effect)) {
          ++probes[start->worker];
          out.push_back(start->number);
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

TEST_CASE("an old result never takes the place of a newer one, whoever made either") {
  Bench b;
  b.Tell(WorkersChanged{{{"w", "x:1"}}});
  CHECK(Bench::Told(b.Tell(ProbeResultReceived{Heard(kStart, "b")})) == 1);
  CHECK(Bench::Told(b.Tell(ProbeResultReceived{Heard(kStart, "b")})) == 0);  // again
  CHECK(Bench::Told(b.Tell(ProbeResultReceived{Heard(kStart - kSecond, "c")})) == 0);
  CHECK(b.core_.counters().outdated_results == 1);
  CHECK(Bench::Told(b.Tell(ProbeResultReceived{Heard(kStart + kSecond, "c")})) ==
        1);  // from a clock a little ahead
  CHECK(Bench::Told(b.Tell(ProbeResultReceived{Heard(kStart + 31 * kSecond, "c")})) == 0);
  CHECK(b.core_.counters().results_with_future_stamp == 1);
  CHECK(Bench::Told(b.Tell(ProbeResultReceived{{"unknown", 1, "c", Outcome::kServed, 0, {}}})) == 0);
  // What is made here after that goes above what was heard, though this clock is behind.
  b.Tell(MemberJoined{"a", 100});
  std::vector<StartProbe> started;
  while (started.empty())
    started = b.Wait(10 * kMillisecond);
  b.now_ = kStart;  // the core's own time does not step back
  CHECK(Bench::Told(b.Tell(ProbeEnded{started.front().number, Outcome::kServed, 9, {}})) == 1);
  CHECK(b.core_.LastResult("w")->origin == "a");
  CHECK(b.core_.LastResult("w")->stamp > Heard(kStart + kSecond, "c").stamp);
}

TEST_CASE("a probe answered after its owner changed counts; one that came while we stood still does not") {
  Bench b;
  b.Tell(MemberJoined{"a", 100});
  b.Tell(WorkersChanged{{{"w", "x:1"}}});
  auto started = b.Wait(2 * kSecond);
  REQUIRE(started.size() == 1);
  b.Tell(MemberJoined{"b", 1'000'000});
  REQUIRE(b.core_.OwnerOf("w") == "b");
  CHECK(Bench::Told(b.Tell(ProbeEnded{started[0].number, Outcome::kServed, 9, {}})) == 1);
  CHECK(b.Wait(10 * kSecond).empty());
  // The owner goes: within a tenth of an interval this one probes, as the last result is long past.
  b.Tell(MemberLeft{"b"});
  CHECK(b.core_.counters().takeovers == 1);
  started = b.Wait(200 * kMillisecond);
  REQUIRE(started.size() == 1);
  b.now_ += 20 * kSecond;
  CHECK(Bench::Told(b.Tell(ProbeEnded{started[0].number, Outcome::kServed, 9, {}})) == 0);
  CHECK(b.core_.counters().ended_while_paused == 1);
  // After that it does not probe twice in a row to make up for it.
  CHECK(b.Wait(2 * kSecond).size() <= 2);
}

TEST_CASE("results and messages survive their encoding, and bytes that are none are turned away") {
  ProbeResult result = Heard(kStart, "n1");
  result.report.free_slots = 3.0;
  result.report.cpu_share = 0.5;
  const std::string bytes = EncodeResult(result);
  const auto back = DecodeResult("w", bytes);
  REQUIRE(back);
  CHECK(back->stamp == result.stamp);
  CHECK(back->report.free_slots == 3.0);
  CHECK(back->report.cpu_share == 0.5);
  CHECK(!back->report.waiting);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!DecodeResult("w", bytes.substr(0, size)));
  const Ballot ballot{7, "n1"};
  const std::vector<LeaseMessage> kinds = {Prepare{ballot},
                                           Promise{ballot, Holder{"n2", 9}, 5},
                                           Promise{ballot, std::nullopt, 0},
                                           Propose{ballot, {"n1", 9}, 5},
                                           Accepted{ballot},
                                           Rejected{ballot, {8, "n2"}},
                                           Release{{"n1", 9}}};
  for (const LeaseMessage& kind : kinds) {
    const std::string text = EncodeMessage({"duty", kind});
    const auto message = DecodeMessage(text);
    REQUIRE(message);
    CHECK(EncodeMessage(*message) == text);
    for (std::size_t size = 0; size < text.size(); ++size)
      CHECK(!DecodeMessage(text.substr(0, size)));
  }
  CHECK(!DecodeMessage("\xc0"));
}

// Leases of three voters, with messages carried by hand.
class Voters {
 public:
  Voters() {
    for (const char* name : {"a", "b", "c"})
      Start(name, 1);
  }
  void Start(const std::string& name, std::uint64_t epoch) {
    LeaseSettings s{"duty", name, epoch, {"a", "b", "c"}, 10 * kSecond, 0.01};
    leases_.erase(name);
    leases_.emplace(name, Lease(s, std::hash<std::string>()(name) + epoch));
    Tell(name, LeaseStarted{});
  }
  void Tell(const std::string& name, LeaseEvent event) {
    std::vector<LeaseEffect> effects;
    leases_.at(name).Handle(now_, std::move(event), &effects);
    for (LeaseEffect& effect : effects) {
      if (auto* send = std::get_if<SendLeaseMessage>(&effect); send != nullptr && !down_.contains(name))
        mail_.push_back({send->to, LeaseMessageReceived{name, std::move(send->message)}});
    }
  }
  void Wait(Micros time) {
    for (const Micros until = now_ + time; now_ < until; now_ += 10 * kMillisecond) {
      for (auto& [name, lease] : leases_) {
        if (!down_.contains(name) && lease.next_due() <= now_)
          Tell(name, LeaseTimerExpired{});
      }
      while (!mail_.empty()) {
        const auto [to, results_received] = mail_.front();
        mail_.pop_front();
        if (!down_.contains(to))
          Tell(to, results_received);
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
  std::deque<std::pair<std::string, LeaseMessageReceived>> mail_;
  Micros now_ = kStart;
};

TEST_CASE("one of three holds and renews; when it goes another follows, under a higher term") {
  Voters v;
  v.Wait(5 * kSecond);
  CHECK(v.Holders().empty());  // all keep silent for longer than a lease, as they may have forgotten one
  v.Wait(10 * kSecond);
  REQUIRE(v.Holders().size() == 1);
  const std::string first = *v.Holders().begin();
  const std::uint64_t term = *v.leases_.at(first).HeldTerm(v.now_);
  v.Wait(60 * kSecond);
  CHECK(v.Holders() == std::set<std::string>{first});
  CHECK(v.leases_.at(first).HeldTerm(v.now_) == term);
  CHECK(v.leases_.at(first).counters().renewed >= 15);
  v.down_.insert(first);
  const Micros went = v.now_;
  while (v.Holders().empty() || v.Holders().contains(first))
    v.Wait(10 * kMillisecond);
  // Not before the old lease has ended, and soon after.
  CHECK(v.now_ - went <= 12 * kSecond);
  const std::string second = *v.Holders().begin();
  CHECK(*v.leases_.at(second).HeldTerm(v.now_) > term);
  // Given up, it passes on without a wait.
  v.down_.clear();
  v.Wait(5 * kSecond);
  v.Tell(second, LeaseReleaseRequested{});
  const Micros given = v.now_;
  while (v.Holders().empty())
    v.Wait(10 * kMillisecond);
  CHECK(v.now_ - given <= 3 * kSecond);
}

TEST_CASE("without a majority nobody holds, and a holder that is cut off stops by its own clock") {
  Voters v;
  v.Wait(20 * kSecond);
  REQUIRE(v.Holders().size() == 1);
  const std::string holder = *v.Holders().begin();
  for (const char* name : {"a", "b", "c"}) {
    if (name != holder)
      v.down_.insert(name);
  }
  v.Wait(9'900 * kMillisecond);  // 98 % of the lease from the last renewal at the latest
  CHECK(v.Holders().empty());
  v.Wait(60 * kSecond);
  CHECK(v.Holders().empty());
  v.down_.clear();
  v.Wait(5 * kSecond);
  CHECK(v.Holders().size() == 1);  // and it can be had again
}

TEST_CASE("a round takes no answers once it is over, though its asker stood still and knows of no end") {
  LeaseSettings s{"duty", "a", 1, {"a", "b", "c"}, 10 * kSecond, 0.01};
  Lease lease(s, 3);
  std::vector<LeaseEffect> effects;
  lease.Handle(kStart, LeaseStarted{}, &effects);
  const Micros begun = lease.next_due();
  lease.Handle(begun, LeaseTimerExpired{}, &effects);
  REQUIRE(!effects.empty());
  const Ballot ballot = std::get<Prepare>(std::get<SendLeaseMessage>(effects.front()).message).ballot;
  effects.clear();
  // Its own promise is there; another's comes after the round's end, and before its timer is looked at.
  lease.Handle(begun + 2 * kSecond, LeaseMessageReceived{"b", Promise{ballot, std::nullopt, 0}}, &effects);
  CHECK(effects.empty());
}

TEST_CASE("a restarted holder holds nothing, and waits for its old life's lease to end") {
  Voters v;
  v.Wait(20 * kSecond);
  const std::string holder = *v.Holders().begin();
  const Micros restarted = v.now_;
  v.Start(holder, 2);
  CHECK(v.Holders().empty());
  while (v.Holders().empty())
    v.Wait(10 * kMillisecond);
  CHECK(v.now_ - restarted >= 5 * kSecond);
  // One that stood still holds nothing when it goes on, though it has heard of no end.
  const std::string next = *v.Holders().begin();
  v.down_.insert(next);
  v.now_ += 15 * kSecond;
  CHECK(!v.leases_.at(next).HeldTerm(v.now_));
}

}  // namespace
}  // namespace aldersill::duties
