// Membership's pure core, its codec and its seal, case by case. What many instances do together is looked for
// by search.cpp.
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

// One instance, "a", and what it asks for.
class Bench {
 public:
  explicit Bench(Settings s = {}) : core_(Named(std::move(s)), 7) { Tell(Started{kEpoch}); }
  void Tell(Event event) {
    effects_.clear();
    core_.Handle(now_, std::move(event), &effects_);
  }
  // Lets time pass, step by step, and gathers all that is asked for.
  std::vector<Effect> Wait(Micros time) {
    std::vector<Effect> all;
    const Micros until = now_ + time;
    while (core_.next_due() <= until) {
      now_ = std::max(now_, core_.next_due());
      Tell(TimerExpired{});
      all.insert(all.end(), effects_.begin(), effects_.end());
    }
    now_ = until;
    return all;
  }
  void Hear(const std::string& from, std::vector<Update> updates, Message message = Gossip{}) {
    Tell(PacketReceived{from + ":1", Packet{from, kEpoch, std::move(message), std::move(updates), {}}});
  }
  void Meet(std::initializer_list<const char*> names) {
    for (const char* name : names)
      Hear(name, {Alive(name)});
  }
  static Update Alive(const std::string& name, std::uint32_t turn = 0, std::uint64_t epoch = kEpoch) {
    return {name, name + ":1", {epoch, turn}, State::kAlive, 100, ""};
  }
  static Update Say(State state, const std::string& name, const std::string& accuser, std::uint32_t turn = 0,
                    std::uint64_t epoch = kEpoch) {
    return {name, name + ":1", {epoch, turn}, state, 100, accuser};
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
  static int News(const std::vector<Effect>& effects, MembershipChange::Kind kind, const std::string& name) {
    return static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const Effect& effect) {
      const auto* news = std::get_if<MembershipChange>(&effect);
      return news != nullptr && news->kind == kind && news->member.name == name;
    }));
  }
  Membership core_;
  Micros now_ = kStart;
  std::vector<Effect> effects_;

 private:
  static Settings Named(Settings s) {
    s.name = "a";
    s.address = "a:1";
    return s;
  }
};

using Kind = MembershipChange::Kind;

TEST_CASE("a probe without an answer asks others, then accuses; the accused has its time, then is dead") {
  Bench b;
  b.Meet({"b", "c", "d", "e"});
  std::vector<Effect> all;
  std::string target;
  while (target.empty()) {
    all = b.Wait(100 * kMillisecond);
    if (const auto pings = Bench::Sent<Ping>(all); !pings.empty())
      target = pings.front().second.target;
  }
  all = b.Wait(500 * kMillisecond);
  const auto asked = Bench::Sent<IndirectPing>(all);
  REQUIRE(asked.size() == 3);
  for (const auto& [to, m] : asked) {
    CHECK(to != target + ":1");
    CHECK(m.target == target);
  }
  // None of those asked has a word either: then this instance doubts itself, and takes more time.
  all = b.Wait(600 * kMillisecond);
  CHECK(Bench::News(all, Kind::kSuspect, target) == 1);
  CHECK(b.core_.health() == 3);
  CHECK(b.core_.counters().probes_failed == 1);
  // Alone with its accusation it waits for the longest.
  all = b.Wait(23 * kSecond);
  CHECK(Bench::News(all, Kind::kDead, target) == 0);
  all = b.Wait(3 * kSecond);
  CHECK(Bench::News(all, Kind::kDead, target) == 1);
}

TEST_CASE("an answer through another counts, and those asked who say nack leave our health alone") {
  Bench b;
  b.Meet({"b", "c", "d", "e"});
  std::uint32_t number = 0;
  std::string target;
  while (target.empty()) {
    const auto all = b.Wait(100 * kMillisecond);
    if (const auto pings = Bench::Sent<Ping>(all); !pings.empty())
      number = pings.front().second.number, target = pings.front().second.target;
  }
  const auto asked = Bench::Sent<IndirectPing>(b.Wait(500 * kMillisecond));
  REQUIRE(asked.size() == 3);
  for (const auto& [to, m] : asked)
    b.Hear(to.substr(0, 1), {}, NegativeAck{number});
  b.Hear(asked.front().first.substr(0, 1), {}, Ack{number});
  const auto all = b.Wait(500 * kMillisecond);
  CHECK(Bench::News(all, Kind::kSuspect, target) == 0);
  CHECK(b.core_.health() == 0);
}

TEST_CASE("confirmations shorten a suspect's time, each accuser counting once") {
  Bench b;
  b.Meet({"b", "c", "d", "e"});
  b.Hear("c", {Bench::Say(State::kSuspect, "b", "c")});
  CHECK(b.core_.StateOf("b") == State::kSuspect);
  for (int again = 0; again < 5; ++again)
    b.Hear("c", {Bench::Say(State::kSuspect, "b", "c")});
  b.Hear("d", {Bench::Say(State::kSuspect, "b", "d")});
  b.Hear("e", {Bench::Say(State::kSuspect, "b", "e")});
  // Two besides the first: down to the least, four probe intervals.
  CHECK(Bench::News(b.Wait(3'900 * kMillisecond), Kind::kDead, "b") == 0);
  CHECK(Bench::News(b.Wait(200 * kMillisecond), Kind::kDead, "b") == 1);
}

TEST_CASE("whoever hears itself accused speaks up above it, and is believed by those who hear it") {
  Bench b;
  b.Meet({"b"});
  b.Hear("b", {Bench::Say(State::kSuspect, "a", "b")});
  CHECK(b.core_.self().incarnation == Incarnation{kEpoch, 1});
  b.Hear("b", {Bench::Say(State::kDead, "a", "b", 4)});
  CHECK(b.core_.self().incarnation == Incarnation{kEpoch, 5});
  b.Hear("b", {Bench::Say(State::kDead, "a", "b", 2)});  // of before: no more than a reminder
  CHECK(b.core_.self().incarnation == Incarnation{kEpoch, 5});
  CHECK(b.core_.counters().refutations == 2);

  b.Meet({"c"});
  b.Hear("b", {Bench::Say(State::kSuspect, "c", "b")});
  b.Hear("b", {Bench::Alive("c")});  // no newer than the accusation
  CHECK(b.core_.StateOf("c") == State::kSuspect);
  b.Hear("b", {Bench::Alive("c", 1)});
  CHECK(b.core_.StateOf("c") == State::kAlive);
  b.Hear("b", {Bench::Say(State::kDead, "c", "b", 0)});
  CHECK(b.core_.StateOf("c") == State::kAlive);
}

TEST_CASE("a restarted instance goes before its old self, and answers for it no more") {
  Bench b;
  b.Meet({"b"});
  b.Hear("c", {Bench::Alive("b", 0, kEpoch + 5)});
  CHECK(Bench::News(b.effects_, Kind::kRestarted, "b") == 1);
  b.Hear("c", {Bench::Say(State::kDead, "b", "c", 9, kEpoch)});
  CHECK(b.core_.StateOf("b") == State::kAlive);
  // Asked for an earlier life of our own: no ack, but word of this one.
  b.Hear("c", {}, Ping{3, "a", kEpoch - 1});
  CHECK(Bench::Sent<Ack>(b.effects_).empty());
  REQUIRE(Bench::Sent<Gossip>(b.effects_).size() == 1);
  const auto& updates = std::get<SendPacket>(b.effects_.back()).packet.updates;
  CHECK(std::any_of(updates.begin(), updates.end(), [](const Update& u) { return u.name == "a"; }));
  b.Hear("c", {}, Ping{4, "a", kEpoch});
  CHECK(Bench::Sent<Ack>(b.effects_).size() == 1);
  // An earlier life whose clock was ahead: this one goes above it all the same.
  b.Hear("c", {Bench::Alive("a", 3, kEpoch + 1'000)});
  CHECK(b.core_.self().incarnation > Incarnation{kEpoch + 1'000, 3});
}

TEST_CASE("one that stood still blames nobody for it") {
  Bench b;
  b.Meet({"b", "c", "d", "e"});
  b.Hear("c", {Bench::Say(State::kSuspect, "b", "c")});
  b.Hear("d", {Bench::Say(State::kSuspect, "b", "d")});
  b.Hear("e", {Bench::Say(State::kSuspect, "b", "e")});
  b.Wait(kSecond);
  b.now_ += 30 * kSecond;
  b.Tell(TimerExpired{});
  CHECK(b.core_.counters().pauses == 1);
  CHECK(b.core_.counters().deaths == 0);
  CHECK(b.core_.StateOf("b") == State::kSuspect);
  CHECK(b.core_.counters().probes_failed == 0);
}

TEST_CASE("views are compared by digest: where they agree nothing is sent, else tables go both ways") {
  Bench b;
  b.Meet({"b", "c"});
  Bench same;
  same.Meet({"b", "c"});
  std::uint64_t digest = 0;
  for (const auto& [to, compare] : Bench::Sent<ViewDigest>(same.Wait(3 * kSecond)))
    digest = compare.digest;
  REQUIRE(digest != 0);
  b.Hear("b", {}, ViewDigest{digest});
  CHECK(Bench::Sent<FullState>(b.effects_).empty());
  b.Hear("b", {}, ViewDigest{digest + 1});
  const auto tables = Bench::Sent<FullState>(b.effects_);
  REQUIRE(tables.size() == 1);
  CHECK(tables.front().second.reply);
  CHECK(tables.front().second.members.size() == 3);
  b.Hear("b", {}, FullState{{Bench::Alive("d")}, true});
  CHECK(b.core_.StateOf("d") == State::kAlive);
  CHECK(Bench::Sent<FullState>(b.effects_).size() == 1);
}

TEST_CASE("the dead are tried again while they are remembered; the members are bounded, the dead go first") {
  Settings s;
  s.max_members = 4;
  s.dead_retention = 60 * kSecond;
  Bench b(s);
  b.Meet({"b", "c"});
  b.Hear("c", {Bench::Say(State::kDead, "b", "c")});
  bool tried = false;
  for (int i = 0; i < 30 && !tried; ++i) {
    for (const auto& [to, m] : Bench::Sent<ViewDigest>(b.Wait(kSecond)))
      tried |= to == "b:1";
  }
  CHECK(tried);
  b.Meet({"d", "e", "f"});  // "e" takes the place of the dead, "f" finds none
  CHECK(b.core_.StateOf("e") == State::kAlive);
  CHECK(!b.core_.StateOf("b"));
  CHECK(!b.core_.StateOf("f"));
  CHECK(b.core_.counters().members_refused == 1);
}

TEST_CASE("each update rides along a bounded number of times") {
  BroadcastQueue<int> queue(2);
  queue.Put("x", 1, 10);
  queue.Put("y", 2, 10);
  std::vector<int> taken;
  CHECK(queue.Take(15, 2, &taken) == 5);
  CHECK(taken == std::vector<int>{2});  // the newest first
  taken.clear();
  queue.Take(100, 2, &taken);
  CHECK(taken == std::vector<int>{1, 2});  // then the one told least
  taken.clear();
  queue.Take(100, 2, &taken);
  CHECK(taken == std::vector<int>{1});
  CHECK(queue.size() == 0);
  for (const char* key : {"a", "b", "c"})
    queue.Put(key, 0, 10);
  CHECK(queue.size() == 2);
  CHECK(queue.dropped() == 1);
}

Packet Rich() {
  Packet p{
      "n1", kEpoch, FullState{{Bench::Alive("n2", 3), Bench::Say(State::kDead, "n3", "n1")}, true}, {}, {}};
  p.updates = {Bench::Say(State::kSuspect, "n4", "n2", 7)};
  p.gossip = {{"w1", std::string("\x00\xff", 2)}};
  return p;
}

TEST_CASE("packets survive their encoding; bytes that are none are turned away and never more") {
  const std::vector<Message> kinds = {Ping{1, "b", kEpoch},
                                      IndirectPing{2, "b", "b:1", kEpoch},
                                      Ack{3},
                                      NegativeAck{4},
                                      Gossip{},
                                      ViewDigest{~0ULL},
                                      FullState{{}, false},
                                      DirectMessage{"body"}};
  for (const Message& message : kinds) {
    Packet p = Rich();
    p.message = message;
    const std::string bytes = Encode(p);
    const auto back = Decode(bytes);
    REQUIRE(back);
    CHECK(Encode(*back) == bytes);
    CHECK(back->updates == p.updates);
  }
  const std::string whole = Encode(Rich());
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK(!Decode(whole.substr(0, size)));
  CHECK(!Decode(whole + "x"));
  pcg32 random(11);
  int read = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string garbled = whole;
    for (std::uint32_t n = 1 + random(4); n > 0; --n)
      garbled[random(static_cast<std::uint32_t>(garbled.size()))] = static_cast<char>(random());
    read += Decode(garbled).has_value();  // a name may differ: then it is a packet still
  }
  CHECK(read < 20'000);
  CHECK(!Decode(std::string("\xdd\xff\xff\xff\xff", 5)));  // a list of four billion
  Packet nameless = Rich();
  nameless.from = "";
  CHECK(!Decode(Encode(nameless)));
  nameless.from = std::string(65, 'n');
  CHECK(!Decode(Encode(nameless)));
  Packet late = Rich();
  late.epoch = ~0ULL;  // one step above it there is nothing
  CHECK(!Decode(Encode(late)));
}

std::uint64_t Count(const Sealer& sealer, DropReason why) {
  return sealer.dropped()[static_cast<std::size_t>(why)];
}

TEST_CASE("a sealed packet opens once, unchanged, soon, and under a key in force") {
  Key one{}, two{}, three{};
  one.fill(1), two.fill(2), three.fill(3);
  Sealer sender({one}, 100), receiver({two, one}, 200);
  const std::string sealed = sender.Seal(kStart, "hello");
  CHECK(sealed.size() == 5 + kSealOverhead);
  CHECK(sealed.find("hello") == std::string::npos);
  CHECK(receiver.Open(kStart + kSecond, sealed) == "hello");
  CHECK(!receiver.Open(kStart + kSecond, sealed));
  CHECK(Count(receiver, DropReason::kReplayed) == 1);
  // Each single bit counts, those of the head as well.
  const std::string next = sender.Seal(kStart, "hello");
  for (std::size_t bit = 0; bit < next.size() * 8; ++bit) {
    std::string garbled = next;
    garbled[bit / 8] = static_cast<char>(garbled[bit / 8] ^ (1 << bit % 8));
    CHECK(!receiver.Open(kStart, garbled));
  }
  CHECK(Count(receiver, DropReason::kForged) > 0);
  CHECK(Count(receiver, DropReason::kUnknownFormat) == 8);
  CHECK(Count(receiver, DropReason::kUnknownKey) > 0);
  for (std::size_t size = 0; size < next.size(); ++size)
    CHECK(!receiver.Open(kStart, next.substr(0, size)));
  CHECK(Count(receiver, DropReason::kTruncated) == kSealOverhead + 1);
  CHECK(!receiver.Open(kStart, std::string(kMaxDatagram + 1, '\x01')));
  CHECK(Count(receiver, DropReason::kTooLong) == 1);
  CHECK(receiver.Open(kStart, next) == "hello");  // all of that has not spoiled the true one
  // Too old, or from a clock too far ahead.
  CHECK(!receiver.Open(kStart + 31 * kSecond, sender.Seal(kStart, "x")));
  CHECK(!receiver.Open(kStart - 31 * kSecond, sender.Seal(kStart, "x")));
  CHECK(Count(receiver, DropReason::kStale) == 2);
  // A rotation: the new key is added everywhere, then goes first everywhere, then the old one goes.
  sender.ReplaceKeys({two, one});
  CHECK(receiver.Open(kStart, sender.Seal(kStart, "x")) == "x");
  receiver.ReplaceKeys({three});
  CHECK(!receiver.Open(kStart, sender.Seal(kStart, "x")));
}

TEST_CASE("datagrams may overtake one another within the window, and none comes twice") {
  Key key{};
  Sealer sender({key}, 1), receiver({key}, 2);
  std::vector<std::string> sealed;
  for (int i = 0; i < 600; ++i)
    sealed.push_back(sender.Seal(kStart, std::to_string(i)));
  pcg32 random(3);
  // In blocks of 100, shuffled, each datagram twice.
  for (int block = 0; block < 6; ++block) {
    std::vector<int> order;
    for (int i = 0; i < 100; ++i)
      order.insert(order.end(), 2, block * 100 + i);
    pcg_extras::shuffle(order.begin(), order.end(), random);
    for (const int i : order)
      receiver.Open(kStart, sealed[static_cast<std::size_t>(i)]);
  }
  CHECK(Count(receiver, DropReason::kReplayed) == 600);
  CHECK(!receiver.Open(kStart, sealed[10]));  // far behind: it cannot be told apart from a replay
  // Sessions are bounded: those beyond are turned away until others have been silent for long.
  for (std::uint64_t session = 10; session < 10 + 4'200; ++session) {
    Sealer other({key}, session);
    receiver.Open(kStart, other.Seal(kStart, "x"));
  }
  CHECK(Count(receiver, DropReason::kTooManySessions) == 4'200 - 4'095);
  Sealer late({key}, 99'999);
  CHECK(receiver.Open(kStart + 100 * kSecond, late.Seal(kStart + 100 * kSecond, "x")));
}

TEST_CASE("a key file holds one or two keys of 64 hex digits, for its owner alone") {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("aldersill-keys-" + std::to_string(getpid()));
  const auto complaint = [&](const std::string& text) -> std::string {
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
  CHECK(complaint("# ours\n" + good + "\n\n" + std::string(64, 'B') + " # next\n") == "");
  CHECK(complaint(good + "\nabc\n") == ":2: a key must be 64 hex digits");
  CHECK(complaint(good + "0\n") == ":1: a key must be 64 hex digits");
  CHECK(complaint(std::string(64, 'g')) == ":1: a key must be 64 hex digits");
  CHECK(complaint(good + "\n" + good + "\n" + good) == ":3: at most two keys are in force at a time");
  CHECK(complaint("# none\n") == ":1: the key file holds no key");
  std::ofstream(path) << good;
  chmod(path.c_str(), 0644);
  CHECK_THROWS_WITH(ReadKeys(path), doctest::Contains("open to others"));
  std::filesystem::remove(path);
  CHECK_THROWS_WITH(ReadKeys(path), doctest::Contains("cannot be read"));
}

}  // namespace
}  // namespace aldersill::membership
