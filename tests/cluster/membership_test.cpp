// Tests of the membership state machine, the codec and the sealer of datagrams. search.cpp tests the
// interaction of many members.
#include "membership/membership.h"

#include <doctest/doctest.h>
#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <pcg_random.hpp>

#include "membership/codec.h"
#include "membership/sealer.h"

namespace aldersill::membership {
namespace {

constexpr Micros kStart = 1'700'000'000 * kSecond;
constexpr std::uint64_t kEpoch = 1'700'000'000'000;

// The member "a" with the effects of the last event.
class TestMember {
 public:
  explicit TestMember(Settings settings = {}) : core_(Named(std::move(settings)), 7) {
    Handle(Started{kEpoch});
  }
  void Handle(Event event) {
    effects_.clear();
    core_.Handle(now_, std::move(event), &effects_);
  }
  // Advances the time, handles each timer that falls due, and returns all effects.
  std::vector<Effect> Advance(Micros time) {
    std::vector<Effect> all;
    const Micros until = now_ + time;
    while (core_.next_due() <= until) {
      now_ = std::max(now_, core_.next_due());
      Handle(TimerExpired{});
      all.insert(all.end(), effects_.begin(), effects_.end());
    }
    now_ = until;
    return all;
  }
  // Receives a packet from the member `from`.
  void Receive(const std::string& from, std::vector<Update> updates, Message message = Gossip{}) {
    Handle(PacketReceived{from + ":1", Packet{from, kEpoch, std::move(message), std::move(updates), {}}});
  }
  // Receives from each of the members the update that it is alive.
  void ReceiveAlive(std::initializer_list<const char*> names) {
    for (const char* name : names)
      Receive(name, {Alive(name)});
  }
  static Update Alive(const std::string& name, std::uint32_t incarnation = 0, std::uint64_t epoch = kEpoch) {
    return {name, name + ":1", {epoch, incarnation}, State::kAlive, 100, ""};
  }
  static Update Report(State state, const std::string& name, const std::string& accuser,
                       std::uint32_t incarnation = 0, std::uint64_t epoch = kEpoch) {
    return {name, name + ":1", {epoch, incarnation}, state, 100, accuser};
  }
  template <typename T>
  static std::vector<std::pair<std::string, T>> Sent(const std::vector<Effect>& effects) {
    std::vector<std::pair<std::string, T>> sent;
    for (const Effect& effect : effects) {
      const auto* send = std::get_if<SendPacket>(&effect);
      if (send != nullptr && std::holds_alternative<T>(send->packet.message))
        sent.emplace_back(send->address, std::get<T>(send->packet.message));
    }
    return sent;
  }
  static int CountChanges(const std::vector<Effect>& effects, MembershipChange::Kind kind,
                          const std::string& name) {
    return static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const Effect& effect) {
      const auto* change = std::get_if<MembershipChange>(&effect);
      return change != nullptr && change->kind == kind && change->member.name == name;
    }));
  }
  Membership core_;
  Micros now_ = kStart;
  std::vector<Effect> effects_;

 private:
  static Settings Named(Settings settings) {
    settings.name = "a";
    settings.address = "a:1";
    return settings;
  }
};

using Kind = MembershipChange::Kind;

TEST_CASE(
    "an unacked ping leads to indirect pings, then a suspicion, then death after the suspicion timeout") {
  TestMember b;
  b.ReceiveAlive({"b", "c", "d", "e"});
  std::vector<Effect> all;
  std::string target;
  while (target.empty()) {
    all = b.Advance(100 * kMillisecond);
    if (const auto pings = TestMember::Sent<Ping>(all); !pings.empty())
      target = pings.front().second.target;
  }
  all = b.Advance(500 * kMillisecond);
  const auto asked = TestMember::Sent<IndirectPing>(all);
  REQUIRE(asked.size() == 3);
  for (const auto& [to, m] : asked) {
    CHECK(to != target + ":1");
    CHECK(m.target == target);
  }
  // The members asked send no negative acks either. This member then considers itself less healthy: its
  // health score rises, which lengthens its timeouts.
  all = b.Advance(600 * kMillisecond);
  CHECK(TestMember::CountChanges(all, Kind::kSuspect, target) == 1);
  CHECK(b.core_.health() == 3);
  CHECK(b.core_.counters().probes_failed == 1);
  // Without a confirmation the suspicion has the maximum timeout.
  all = b.Advance(23 * kSecond);
  CHECK(TestMember::CountChanges(all, Kind::kDead, target) == 0);
  all = b.Advance(3 * kSecond);
  CHECK(TestMember::CountChanges(all, Kind::kDead, target) == 1);
}

TEST_CASE("an ack to an indirect ping counts, and negative acks leave the own health score unchanged") {
  TestMember b;
  b.ReceiveAlive({"b", "c", "d", "e"});
  std::uint32_t number = 0;
  std::string target;
  while (target.empty()) {
    const auto all = b.Advance(100 * kMillisecond);
    if (const auto pings = TestMember::Sent<Ping>(all); !pings.empty()) {
      number = pings.front().second.number;
      target = pings.front().second.target;
    }
  }
  const auto asked = TestMember::Sent<IndirectPing>(b.Advance(500 * kMillisecond));
  REQUIRE(asked.size() == 3);
  for (const auto& [to, m] : asked)
    b.Receive(to.substr(0, 1), {}, NegativeAck{number});
  b.Receive(asked.front().first.substr(0, 1), {}, Ack{number});
  const auto all = b.Advance(500 * kMillisecond);
  CHECK(TestMember::CountChanges(all, Kind::kSuspect, target) == 0);
  CHECK(b.core_.health() == 0);
}

TEST_CASE("confirmations shorten the suspicion timeout; each accuser counts once") {
  TestMember b;
  b.ReceiveAlive({"b", "c", "d", "e"});
  b.Receive("c", {TestMember::Report(State::kSuspect, "b", "c")});
  CHECK(b.core_.StateOf("b") == State::kSuspect);
  for (int again = 0; again < 5; ++again)
    b.Receive("c", {TestMember::Report(State::kSuspect, "b", "c")});
  b.Receive("d", {TestMember::Report(State::kSuspect, "b", "d")});
  b.Receive("e", {TestMember::Report(State::kSuspect, "b", "e")});
  // Two accusers besides the first reduce the timeout to its minimum of four protocol periods.
  CHECK(TestMember::CountChanges(b.Advance(3'900 * kMillisecond), Kind::kDead, "b") == 0);
  CHECK(TestMember::CountChanges(b.Advance(200 * kMillisecond), Kind::kDead, "b") == 1);
}

TEST_CASE("an accused member refutes with a higher incarnation, which other members accept") {
  TestMember b;
  b.ReceiveAlive({"b"});
  b.Receive("b", {TestMember::Report(State::kSuspect, "a", "b")});
  CHECK(b.core_.self().incarnation == Incarnation{kEpoch, 1});
  b.Receive("b", {TestMember::Report(State::kDead, "a", "b", 4)});
  CHECK(b.core_.self().incarnation == Incarnation{kEpoch, 5});
  b.Receive("b", {TestMember::Report(State::kDead, "a", "b", 2)});  // an old accusation needs no refutation
  CHECK(b.core_.self().incarnation == Incarnation{kEpoch, 5});
  CHECK(b.core_.counters().refutations == 2);

  b.ReceiveAlive({"c"});
  b.Receive("b", {TestMember::Report(State::kSuspect, "c", "b")});
  b.Receive("b", {TestMember::Alive("c")});  // not newer than the accusation
  CHECK(b.core_.StateOf("c") == State::kSuspect);
  b.Receive("b", {TestMember::Alive("c", 1)});
  CHECK(b.core_.StateOf("c") == State::kAlive);
  b.Receive("b", {TestMember::Report(State::kDead, "c", "b", 0)});
  CHECK(b.core_.StateOf("c") == State::kAlive);
}

TEST_CASE("a restarted member supersedes its previous process and does not ack pings to that one") {
  TestMember b;
  b.ReceiveAlive({"b"});
  b.Receive("c", {TestMember::Alive("b", 0, kEpoch + 5)});
  CHECK(TestMember::CountChanges(b.effects_, Kind::kRestarted, "b") == 1);
  b.Receive("c", {TestMember::Report(State::kDead, "b", "c", 9, kEpoch)});
  CHECK(b.core_.StateOf("b") == State::kAlive);
  // A ping to this member's previous process gets no ack, but gossip about the current process.
  b.Receive("c", {}, Ping{3, "a", kEpoch - 1});
  CHECK(TestMember::Sent<Ack>(b.effects_).empty());
  REQUIRE(TestMember::Sent<Gossip>(b.effects_).size() == 1);
  const auto& updates = std::get<SendPacket>(b.effects_.back()).packet.updates;
  CHECK(std::any_of(updates.begin(), updates.end(), [](const Update& u) { return u.name == "a"; }));
  b.Receive("c", {}, Ping{4, "a", kEpoch});
  CHECK(TestMember::Sent<Ack>(b.effects_).size() == 1);
  // The clock of the previous process was ahead: the incarnation still rises above the previous one.
  b.Receive("c", {TestMember::Alive("a", 3, kEpoch + 1'000)});
  CHECK(b.core_.self().incarnation > Incarnation{kEpoch + 1'000, 3});
}

TEST_CASE("after a pause, a member does not blame others for overdue answers") {
  TestMember b;
  b.ReceiveAlive({"b", "c", "d", "e"});
  b.Receive("c", {TestMember::Report(State::kSuspect, "b", "c")});
  b.Receive("d", {TestMember::Report(State::kSuspect, "b", "d")});
  b.Receive("e", {TestMember::Report(State::kSuspect, "b", "e")});
  b.Advance(kSecond);
  b.now_ += 30 * kSecond;
  b.Handle(TimerExpired{});
  CHECK(b.core_.counters().pauses == 1);
  CHECK(b.core_.counters().deaths == 0);
  CHECK(b.core_.StateOf("b") == State::kSuspect);
  CHECK(b.core_.counters().probes_failed == 0);
}

TEST_CASE("equal view digests need no reply; different ones lead to an exchange of the full states") {
  TestMember b;
  b.ReceiveAlive({"b", "c"});
  TestMember same;
  same.ReceiveAlive({"b", "c"});
  std::uint64_t digest = 0;
  for (const auto& [to, compare] : TestMember::Sent<ViewDigest>(same.Advance(3 * kSecond)))
    digest = compare.digest;
  REQUIRE(digest != 0);
  b.Receive("b", {}, ViewDigest{digest});
  CHECK(TestMember::Sent<FullState>(b.effects_).empty());
  b.Receive("b", {}, ViewDigest{digest + 1});
  const auto tables = TestMember::Sent<FullState>(b.effects_);
  REQUIRE(tables.size() == 1);
  CHECK(tables.front().second.reply);
  CHECK(tables.front().second.members.size() == 3);
  b.Receive("b", {}, FullState{{TestMember::Alive("d")}, true});
  CHECK(b.core_.StateOf("d") == State::kAlive);
  CHECK(TestMember::Sent<FullState>(b.effects_).size() == 1);
}

TEST_CASE("remembered dead members are contacted; a full member table evicts dead members first") {
  Settings s;
  s.max_members = 4;
  s.dead_retention = 60 * kSecond;
  TestMember b(s);
  b.ReceiveAlive({"b", "c"});
  b.Receive("c", {TestMember::Report(State::kDead, "b", "c")});
  bool tried = false;
  for (int i = 0; i < 30 && !tried; ++i) {
    for (const auto& [to, m] : TestMember::Sent<ViewDigest>(b.Advance(kSecond)))
      tried |= to == "b:1";
  }
  CHECK(tried);
  b.ReceiveAlive({"d", "e", "f"});  // "e" replaces the dead member; there is no room for "f"
  CHECK(b.core_.StateOf("e") == State::kAlive);
  CHECK(!b.core_.StateOf("b"));
  CHECK(!b.core_.StateOf("f"));
  CHECK(b.core_.counters().members_refused == 1);
}

TEST_CASE("each update is piggybacked a limited number of times") {
  BroadcastQueue<int> queue(2);
  queue.Put("x", 1, 10);
  queue.Put("y", 2, 10);
  std::vector<int> taken;
  CHECK(queue.Take(15, 2, &taken) == 5);
  CHECK(taken == std::vector<int>{2});  // the newest first
  taken.clear();
  queue.Take(100, 2, &taken);
  CHECK(taken == std::vector<int>{1, 2});  // then the least transmitted first
  taken.clear();
  queue.Take(100, 2, &taken);
  CHECK(taken == std::vector<int>{1});
  CHECK(queue.size() == 0);
  for (const char* key : {"a", "b", "c"})
    queue.Put(key, 0, 10);
  CHECK(queue.size() == 2);
  CHECK(queue.dropped() == 1);
}

Packet PacketWithAllFields() {
  Packet p{"n1",
           kEpoch,
           FullState{{TestMember::Alive("n2", 3), TestMember::Report(State::kDead, "n3", "n1")}, true},
           {},
           {}};
  p.updates = {TestMember::Report(State::kSuspect, "n4", "n2", 7)};
  p.gossip = {{"w1", std::string("\x00\xff", 2)}};
  return p;
}

TEST_CASE("packets survive encoding and decoding; invalid bytes are rejected") {
  const std::vector<Message> kinds = {Ping{1, "b", kEpoch},
                                      IndirectPing{2, "b", "b:1", kEpoch},
                                      Ack{3},
                                      NegativeAck{4},
                                      Gossip{},
                                      ViewDigest{~0ULL},
                                      FullState{{}, false},
                                      DirectMessage{"body"}};
  for (const Message& message : kinds) {
    Packet p = PacketWithAllFields();
    p.message = message;
    const std::string bytes = Encode(p);
    const auto back = Decode(bytes);
    REQUIRE(back);
    CHECK(Encode(*back) == bytes);
    CHECK(back->updates == p.updates);
  }
  const std::string encoded = Encode(PacketWithAllFields());
  for (std::size_t size = 0; size < encoded.size(); ++size)
    CHECK(!Decode(encoded.substr(0, size)));
  CHECK(!Decode(encoded + "x"));
  pcg32 random(11);
  int read = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string corrupted = encoded;
    for (std::uint32_t n = 1 + random(4); n > 0; --n)
      corrupted[random(static_cast<std::uint32_t>(corrupted.size()))] = static_cast<char>(random());
    read += Decode(corrupted).has_value();  // corruption of a name leaves a valid packet
  }
  CHECK(read < 20'000);
  CHECK(!Decode(std::string("\xdd\xff\xff\xff\xff", 5)));  // a list with a claimed size of four billion
  Packet nameless = PacketWithAllFields();
  nameless.from = "";
  CHECK(!Decode(Encode(nameless)));
  nameless.from = std::string(65, 'n');
  CHECK(!Decode(Encode(nameless)));
  Packet late = PacketWithAllFields();
  late.epoch = ~0ULL;  // no epoch is greater, so it could never be superseded
  CHECK(!Decode(Encode(late)));
}

std::uint64_t Count(const Sealer& sealer, DropReason reason) {
  return sealer.dropped()[static_cast<std::size_t>(reason)];
}

TEST_CASE(
    "a sealed packet can be opened once, unmodified, within the clock window and with a configured key") {
  Key one{}, two{}, three{};
  one.fill(1), two.fill(2), three.fill(3);
  Sealer sender({one}, 100), receiver({two, one}, 200);
  const std::string sealed = sender.Seal(kStart, "hello");
  CHECK(sealed.size() == 5 + kSealOverhead);
  CHECK(sealed.find("hello") == std::string::npos);
  CHECK(receiver.Open(kStart + kSecond, sealed) == "hello");
  CHECK(!receiver.Open(kStart + kSecond, sealed));
  CHECK(Count(receiver, DropReason::kReplayed) == 1);
  // A flipped bit anywhere in the datagram is detected, also in the header.
  const std::string next = sender.Seal(kStart, "hello");
  for (std::size_t bit = 0; bit < next.size() * 8; ++bit) {
    std::string corrupted = next;
    corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << bit % 8));
    CHECK(!receiver.Open(kStart, corrupted));
  }
  CHECK(Count(receiver, DropReason::kForged) > 0);
  CHECK(Count(receiver, DropReason::kUnknownFormat) == 8);
  CHECK(Count(receiver, DropReason::kUnknownKey) > 0);
  for (std::size_t size = 0; size < next.size(); ++size)
    CHECK(!receiver.Open(kStart, next.substr(0, size)));
  CHECK(Count(receiver, DropReason::kTruncated) == kSealOverhead + 1);
  CHECK(!receiver.Open(kStart, std::string(kMaxDatagram + 1, '\x01')));
  CHECK(Count(receiver, DropReason::kTooLong) == 1);
  CHECK(receiver.Open(kStart, next) == "hello");  // the rejected datagrams did not affect the session
  // The sealing time is too far behind or ahead of the receiver's clock.
  CHECK(!receiver.Open(kStart + 31 * kSecond, sender.Seal(kStart, "x")));
  CHECK(!receiver.Open(kStart - 31 * kSecond, sender.Seal(kStart, "x")));
  CHECK(Count(receiver, DropReason::kStale) == 2);
  // Key rotation: all members first add the new key, then seal with it, then remove the old key.
  sender.ReplaceKeys({two, one});
  CHECK(receiver.Open(kStart, sender.Seal(kStart, "x")) == "x");
  receiver.ReplaceKeys({three});
  CHECK(!receiver.Open(kStart, sender.Seal(kStart, "x")));
}

TEST_CASE("datagrams may arrive out of order within the replay window; duplicates are dropped") {
  Key key{};
  Sealer sender({key}, 1), receiver({key}, 2);
  std::vector<std::string> sealed;
  for (int i = 0; i < 600; ++i)
    sealed.push_back(sender.Seal(kStart, std::to_string(i)));
  pcg32 random(3);
  // Blocks of 100 datagrams, each datagram twice, in random order.
  for (int block = 0; block < 6; ++block) {
    std::vector<int> order;
    for (int i = 0; i < 100; ++i)
      order.insert(order.end(), 2, block * 100 + i);
    pcg_extras::shuffle(order.begin(), order.end(), random);
    for (const int i : order)
      receiver.Open(kStart, sealed[static_cast<std::size_t>(i)]);
  }
  CHECK(Count(receiver, DropReason::kReplayed) == 600);
  CHECK(!receiver.Open(kStart, sealed[10]));  // behind the window: cannot be distinguished from a replay
  // The number of sessions is limited. New ones are dropped until others have been silent for long enough.
  for (std::uint64_t session = 10; session < 10 + 4'200; ++session) {
    Sealer other({key}, session);
    receiver.Open(kStart, other.Seal(kStart, "x"));
  }
  CHECK(Count(receiver, DropReason::kTooManySessions) == 4'200 - 4'095);
  Sealer late({key}, 99'999);
  CHECK(receiver.Open(kStart + 100 * kSecond, late.Seal(kStart + 100 * kSecond, "x")));
}

TEST_CASE("a key file contains one or two keys of 64 hex digits and is accessible only to its owner") {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("aldersill-keys-" + std::to_string(getpid()));
  const auto error_of = [&](const std::string& text) -> std::string {
    std::ofstream(path) << text;
    chmod(path.c_str(), 0600);
    try {
      ReadKeys(path);
    } catch (const std::runtime_error& e) {
      return std::string(e.what()).substr(path.string().size());
    }
    return "";
  };
  const std::string good(64, 'a');
  CHECK(error_of("# ours\n" + good + "\n\n" + std::string(64, 'B') + " # next\n") == "");
  CHECK(error_of(good + "\nabc\n") == ":2: a key must be 64 hex digits");
  CHECK(error_of(good + "0\n") == ":1: a key must be 64 hex digits");
  CHECK(error_of(std::string(64, 'g')) == ":1: a key must be 64 hex digits");
  CHECK(error_of(good + "\n" + good + "\n" + good) == ":3: at most two keys are in force at a time");
  CHECK(error_of("# none\n") == ":1: the key file holds no key");
  std::ofstream(path) << good;
  chmod(path.c_str(), 0644);
  CHECK_THROWS_WITH(ReadKeys(path), doctest::Contains("open to others"));
  std::filesystem::remove(path);
  CHECK_THROWS_WITH(ReadKeys(path), doctest::Contains("cannot be read"));
}

}  // namespace
}  // namespace aldersill::membership
