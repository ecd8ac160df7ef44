// Who is in the group, who lives: SWIM (Das, Gupta, Motivala 2002) with the Lifeguard refinements (Dadgar,
// Phillips, Currey 2018). Pure: (now, event) -> state change + effects; no socket, no clock, no bytes. The
// same settings, seed, events and times give the same effects.
#ifndef ALDERSILL_SRC_MEMBERSHIP_MEMBERSHIP_H_
#define ALDERSILL_SRC_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "membership/settings.h"
#include "membership/spread_queue.h"
#include "membership/types.h"

namespace aldersill::membership {

// ---- Events ----

struct Started {
  std::uint64_t epoch = 0;  // Unix milliseconds; a life that begins later has a greater one
};
struct PacketReceived {
  std::string address;  // it came from
  Packet packet;
};
struct TimerExpired {};  // next_due() is reached
struct BroadcastRequested {
  GossipMessage message;
};
struct DirectMessageRequested {
  std::string to;  // a member's name; to one that is not alive nothing is sent
  std::string body;
};
struct LeaveRequested {};  // for good: the others take over at once
using Event = std::variant<Started, PacketReceived, TimerExpired, BroadcastRequested, DirectMessageRequested,
                           LeaveRequested>;

// ---- Effects ----

struct SendPacket {
  std::string address;
  Packet packet;
};
struct MembershipChange {
  enum class What { kJoined, kRestarted, kSuspect, kAlive, kDead, kLeft } what = What::kJoined;
  Update member;
};
struct GossipReceived {
  std::string from;
  GossipMessage message;
};
struct DirectMessageReceived {
  std::string from;
  std::uint64_t epoch = 0;
  std::string body;
};
using Effect = std::variant<SendPacket, MembershipChange, GossipReceived, DirectMessageReceived>;

struct Counters {
  std::uint64_t probes = 0, probes_failed = 0, indirect_probes = 0;
  std::uint64_t suspicions = 0;       // begun here or heard of
  std::uint64_t refutations = 0;      // by this instance, of what was said of it
  std::uint64_t deaths = 0;           // declared here
  std::uint64_t deaths_refuted = 0;   // a member taken for dead spoke up in the same life
  std::uint64_t pauses = 0;           // this instance itself stood still
  std::uint64_t members_refused = 0;  // beyond the bound
  std::uint64_t name_conflicts = 0;   // another speaks under this instance's name
  std::uint64_t tables_sent = 0;
};

class Membership {
 public:
  Membership(Settings settings, std::uint64_t seed);

  void Handle(Micros now, Event event, std::vector<Effect>* effects);
  // When TimerExpired is next due.
  Micros next_due() const;

  const Settings& settings() const { return settings_; }
  const Counters& counters() const { return counters_; }
  Update self() const;
  // All that are remembered, this instance included, by name.
  std::map<std::string, Update> View() const;
  std::optional<State> StateOf(const std::string& name) const;
  int health() const { return health_; }          // 0: well
  std::size_t living() const { return living_; }  // alive or suspect, this instance included

 private:
  struct Entry {
    Update reported;
    Micros since = 0;  // of its state
    // While suspect:
    std::set<std::string> accusers;
    Micros suspected = 0;
    Micros dead_at = 0;
  };
  struct Probe {
    std::string target;
    std::uint32_t number = 0;
    int negative_acks_expected = 0;
    bool answered = false;
    bool indirect_probes_sent = false;
    Micros indirect_probes_at = 0;
    Micros ends = 0;
  };
  struct Relay {  // a probe on another's behalf
    std::string address;
    std::uint32_t number = 0;  // the asker's
    Micros negative_ack_at = 0;
  };

  void On(const Started& e);
  void On(PacketReceived&& e);
  void On(const TimerExpired& e);
  void On(BroadcastRequested&& e);
  void On(DirectMessageRequested&& e);
  void On(const LeaveRequested& e);
  void On(const std::string& address, const Packet& p, const Ping& m);
  void On(const std::string& address, const Packet& p, const IndirectPing& m);
  void On(const std::string& address, const Packet& p, const Ack& m);
  void On(const std::string& address, const Packet& p, const NegativeAck& m);
  void On(const std::string&, const Packet&, const Gossip&) {}
  void On(const std::string& address, const Packet& p, const Compare& m);
  void On(const std::string& address, const Packet& p, const Table& m);
  void On(const std::string& address, const Packet& p, const Direct& m);

  // One said thing against what is known; what is news goes on to others and above.
  void ApplyUpdate(const Update& reported);
  void HandleUpdateAboutSelf(const Update& reported);
  void RecordSuspicion(Entry* entry, const Update& reported);
  Micros SuspicionEnds(const Entry& entry) const;
  void Become(Entry* entry, const Update& reported, MembershipChange::What what);
  void EnqueueBroadcast(const Update& update);
  void DeclareDead(const std::string& name);
  void Refute(const Incarnation& above);

  void BeginProbe();
  void SendIndirectProbes();
  void EndProbe();
  std::optional<std::string> NextTarget();
  void SendGossip();
  void SendCompare();
  void SendTable(const std::string& address, bool reply);
  void Send(const std::string& address, Message message, const std::string& to_name = "");
  std::vector<std::string> Some(std::size_t count, const std::string& but, bool recently_dead = false);
  void ForgetDead();
  bool ForgetOneDead();  // to make room; false if none is remembered
  void StretchFor(Micros gap);
  void Worse(int by);
  void Better();
  int Times() const;  // how often an update rides along
  std::uint64_t Digest() const;
  Micros Stretched(Micros time) const { return time * (health_ + 1); }

  const Settings settings_;
  pcg32 random_;
  Micros now_ = 0;
  std::vector<Effect>* effects_ = nullptr;
  bool started_ = false, leaving_ = false;
  Incarnation incarnation_;
  std::map<std::string, Entry> others_;
  std::size_t living_ = 1;
  SpreadQueue<Update> updates_;
  SpreadQueue<GossipMessage> gossip_;
  std::vector<std::string> order_;  // of probing: each once a round, in a new order each
  std::size_t next_in_order_ = 0;
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Relay> relays_;  // by our number
  std::uint32_t next_number_ = 1;
  int health_ = 0;
  Micros next_probe_ = 0, next_gossip_ = 0, next_compare_ = 0, next_forget_ = 0;
  std::set<std::pair<Micros, std::string>> suspicions_;  // when each ends
  Counters counters_;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_MEMBERSHIP_H_
