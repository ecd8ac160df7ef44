#include "membership/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace aldersill::membership {
namespace {

constexpr std::size_t kMostRelays = 256;
constexpr Micros kNever = INT64_MAX;
// The dead of late are still told things: what they hear of themselves lets them speak up.
constexpr Micros kLatelyDead = 30 * kSecond;
constexpr Micros kForgetEvery = 10 * kSecond;

bool Lives(State state) { return state == State::kAlive || state == State::kSuspect; }

// What each takes in a packet, at most (codec.cpp writes it; the tests hold every packet to its bound).
std::size_t SizeOf(const Update& u) { return u.name.size() + u.address.size() + u.accuser.size() + 32; }
std::size_t SizeOf(const GossipMessage& r) { return r.key.size() + r.body.size() + 12; }
std::size_t SizeOfPacket(const Packet& p) {
  std::size_t size = p.from.size() + 40;
  if (const auto* ping = std::get_if<Ping>(&p.message))
    size += ping->target.size() + 24;
  if (const auto* ask = std::get_if<IndirectPing>(&p.message))
    size += ask->target.size() + ask->address.size() + 32;
  if (const auto* direct = std::get_if<Direct>(&p.message))
    size += direct->body.size() + 8;
  if (const auto* table = std::get_if<Table>(&p.message)) {
    for (const Update& u : table->members)
      size += SizeOf(u);
  }
  return size + 16;
}

}  // namespace

Membership::Membership(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      updates_(settings_.most_members),
      gossip_(settings_.most_gossip_messages) {}

void Membership::Handle(Micros now, Event event, std::vector<Effect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  std::visit([this](auto&& e) { On(std::move(e)); }, std::move(event));
}

Micros Membership::next_due() const {
  if (!started_)
    return kNever;
  Micros due = std::min({next_probe_, next_gossip_, next_compare_, next_forget_});
  if (probe_ && !probe_->answered && !probe_->indirect_probes_sent)
    due = std::min(due, probe_->indirect_probes_at);
  if (!suspicions_.empty())
    due = std::min(due, suspicions_.begin()->first);
  for (const auto& [number, relay] : relays_)
    due = std::min(due, relay.negative_ack_at);
  return due;
}

Update Membership::self() const {
  return {settings_.name,   settings_.address,
          incarnation_,     leaving_ ? State::kLeft : State::kAlive,
          settings_.weight, ""};
}

std::map<std::string, Update> Membership::View() const {
  std::map<std::string, Update> view;
  for (const auto& [name, entry] : others_)
    view.emplace(name, entry.reported);
  view.emplace(settings_.name, self());
  return view;
}

std::optional<State> Membership::StateOf(const std::string& name) const {
  if (name == settings_.name)
    return leaving_ ? State::kLeft : State::kAlive;
  const auto found = others_.find(name);
  return found == others_.end() ? std::nullopt : std::optional(found->second.reported.state);
}

// ---- Events ----

void Membership::On(const Started& e) {
  started_ = true;
  incarnation_ = {e.epoch, 0};
  // Spread over the interval, so that instances started together do not speak together.
  const auto within = [this](Micros interval) { return 1 + random_(static_cast<std::uint32_t>(interval)); };
  next_probe_ = now_ + within(settings_.probe_interval);
  next_gossip_ = now_ + within(settings_.gossip_interval);
  next_compare_ = now_;
  next_forget_ = now_ + kForgetEvery;
  EnqueueBroadcast(self());
}

void Membership::On(PacketReceived&& e) {
  const Packet& p = e.packet;
  if (!started_ || p.from == settings_.name)
    return;  // our own, come back, or a namesake's: either tells nothing
  for (const Update& update : p.updates)
    ApplyUpdate(update);
  std::visit([&](const auto& m) { On(e.address, p, m); }, p.message);
  for (const GossipMessage& message : p.gossip)
    effects_->push_back(GossipReceived{p.from, message});
  // One that is taken for dead, or that speaks from a life we have not heard of, is told so at once.
  const auto sender = others_.find(p.from);
  if (sender == others_.end() || now_ - sender->second.since < settings_.gossip_interval)
    return;
  Entry& entry = sender->second;
  if (entry.reported.state == State::kDead && entry.reported.incarnation.epoch <= p.epoch) {
    entry.since = now_;  // at most once a gossip interval
    Send(e.address, Table{{entry.reported}, false});
  }
}

void Membership::On(const TimerExpired&) {
  if (!started_)
    return;
  // What was due long ago means that this instance itself stood still: others are not to suffer for it.
  if (const Micros late = now_ - next_due(); late > settings_.probe_interval)
    StretchFor(late);
  while (next_due() <= now_) {
    if (probe_ && !probe_->answered && !probe_->indirect_probes_sent && probe_->indirect_probes_at <= now_)
      SendIndirectProbes();
    while (!suspicions_.empty() && suspicions_.begin()->first <= now_)
      DeclareDead(std::string(suspicions_.begin()->second));
    for (auto at = relays_.begin(); at != relays_.end();) {
      if (at->second.negative_ack_at > now_) {
        ++at;
        continue;
      }
      Send(at->second.address, NegativeAck{at->second.number});
      at = relays_.erase(at);
    }
    if (next_probe_ <= now_) {
      EndProbe();
      BeginProbe();
    }
    if (next_gossip_ <= now_)
      SendGossip();
    if (next_compare_ <= now_)
      SendCompare();
    if (next_forget_ <= now_)
      ForgetDead();
  }
}

void Membership::On(BroadcastRequested&& e) {
  const std::size_t size = SizeOf(e.message);
  if (size + 128 > settings_.datagram)
    return;  // could never go out
  const std::string key = e.message.key;
  gossip_.Put(key, std::move(e.message), size);
}

void Membership::On(DirectMessageRequested&& e) {
  const auto to = others_.find(e.to);
  if (!started_ || to == others_.end() || !Lives(to->second.reported.state))
    return;
  Send(to->second.reported.address, Direct{std::move(e.body)});
}

void Membership::On(const LeaveRequested&) {
  if (!started_ || std::exchange(leaving_, true))
    return;
  probe_.reset();
  Update gone = self();
  gone.accuser = settings_.name;
  EnqueueBroadcast(gone);
  for (const std::string& name : Some(8, ""))
    Send(others_.at(name).reported.address, Gossip{});
}

// ---- Messages ----

void Membership::On(const std::string& address, const Packet&, const Ping& m) {
  if (m.target != settings_.name || leaving_)
    return;
  if (m.epoch == incarnation_.epoch)
    return Send(address, Ack{m.number});
  EnqueueBroadcast(self());  // it asks for an earlier life of ours
  Send(address, Gossip{});
}

void Membership::On(const std::string& address, const Packet&, const IndirectPing& m) {
  if (m.target == settings_.name || relays_.size() >= kMostRelays)
    return;
  const std::uint32_t number = next_number_++;
  relays_[number] = Relay{address, m.number, now_ + settings_.probe_timeout * 4 / 5};
  Send(m.address, Ping{number, m.target, m.epoch}, m.target);
}

void Membership::On(const std::string&, const Packet& p, const Ack& m) {
  if (const auto relay = relays_.find(m.number); relay != relays_.end()) {
    Send(relay->second.address, Ack{relay->second.number});
    relays_.erase(relay);
    return;
  }
  if (!probe_ || probe_->number != m.number || probe_->answered)
    return;
  // Directly it can come from the target alone, else from whom we asked to try.
  if (!probe_->indirect_probes_sent && p.from != probe_->target)
    return;
  probe_->answered = true;
  Better();
}

void Membership::On(const std::string&, const Packet&, const NegativeAck& m) {
  if (probe_ && probe_->number == m.number && probe_->negative_acks_expected > 0)
    --probe_->negative_acks_expected;
}

void Membership::On(const std::string& address, const Packet& p, const Compare& m) {
  const auto known = others_.find(p.from);
  const bool met = known != others_.end() && Lives(known->second.reported.state);
  if (met && m.digest == Digest())
    return;
  SendTable(address, /*reply=*/true);
}

void Membership::On(const std::string& address, const Packet&, const Table& m) {
  for (const Update& update : m.members)
    ApplyUpdate(update);
  if (m.reply)
    SendTable(address, /*reply=*/false);
}

void Membership::On(const std::string&, const Packet& p, const Direct& m) {
  effects_->push_back(DirectMessageReceived{p.from, p.epoch, m.body});
}

// ---- What is said of members ----

void Membership::ApplyUpdate(const Update& reported) {
  if (reported.name == settings_.name)
    return HandleUpdateAboutSelf(reported);
  const auto found = others_.find(reported.name);
  if (found == others_.end()) {
    // One that was never known and is gone needs no place.
    if (!Lives(reported.state))
      return;
    if (others_.size() + 1 >= settings_.most_members && !ForgetOneDead()) {
      ++counters_.members_refused;
      return;
    }
    Entry& entry = others_[reported.name];
    entry.reported = reported;
    entry.reported.state = State::kAlive;
    entry.since = now_;
    ++living_;
    order_.insert(order_.begin() + random_(static_cast<std::uint32_t>(order_.size() + 1)), reported.name);
    effects_->push_back(MembershipChange{MembershipChange::What::kJoined, entry.reported});
    EnqueueBroadcast(entry.reported);
    if (reported.state == State::kSuspect)
      RecordSuspicion(&entry, reported);
    return;
  }
  Entry& entry = found->second;
  const Update& known = entry.reported;
  const bool newer = reported.incarnation > known.incarnation;
  const bool other_life = reported.incarnation.epoch > known.incarnation.epoch;
  switch (reported.state) {
    case State::kAlive:
      if (!newer)
        return;
      if (known.state == State::kDead && !other_life)
        ++counters_.deaths_refuted;
      return Become(&entry, reported,
                    other_life ? MembershipChange::What::kRestarted : MembershipChange::What::kAlive);
    case State::kSuspect:
      if (newer) {
        Update alive = reported;
        alive.state = State::kAlive;
        alive.accuser.clear();
        Become(&entry, alive,
               other_life ? MembershipChange::What::kRestarted : MembershipChange::What::kAlive);
      }
      if (reported.incarnation == known.incarnation && Lives(known.state))
        RecordSuspicion(&entry, reported);
      return;
    case State::kDead:
    case State::kLeft:
      if (reported.incarnation < known.incarnation || (!newer && !Lives(known.state)))
        return;
      return Become(
          &entry, reported,
          reported.state == State::kDead ? MembershipChange::What::kDead : MembershipChange::What::kLeft);
  }
}

void Membership::HandleUpdateAboutSelf(const Update& reported) {
  if (leaving_)
    return;
  if (reported.address != settings_.address && reported.incarnation >= incarnation_)
    ++counters_.name_conflicts;
  if (reported.incarnation.epoch > incarnation_.epoch) {
    // An earlier life whose clock was ahead (or a namesake): this one must still go before it.
    incarnation_ = {reported.incarnation.epoch + 1, 0};
    EnqueueBroadcast(self());
  } else if (reported.incarnation < incarnation_) {
    EnqueueBroadcast(self());
  } else if (reported.state != State::kAlive) {
    Refute(reported.incarnation);
  }
}

void Membership::Refute(const Incarnation& above) {
#ifndef ALDERSILL_PLANT_NO_REFUTATION  // the defect that the search must find (tests/membership)
  incarnation_.turn = std::max(incarnation_.turn, above.turn) + 1;
  ++counters_.refutations;
  Worse(1);
  EnqueueBroadcast(self());
#else
  static_cast<void>(above);
#endif
}

void Membership::RecordSuspicion(Entry* entry, const Update& reported) {
  const std::string& name = entry->reported.name;
  if (entry->reported.state == State::kAlive) {
    entry->accusers.clear();
    entry->suspected = now_;
    entry->dead_at = 0;
    ++counters_.suspicions;
    Update suspect = entry->reported;
    suspect.state = State::kSuspect;
    suspect.accuser = reported.accuser;
    Become(entry, suspect, MembershipChange::What::kSuspect);
  } else if (entry->accusers.contains(reported.accuser) ||
             std::ssize(entry->accusers) > settings_.confirmations) {
    return;  // nothing new
  } else {
    // Lifeguard: confirmations are passed on as well, as they shorten the others' wait.
    Update confirmed = entry->reported;
    confirmed.accuser = reported.accuser;
    EnqueueBroadcast(confirmed);
  }
  entry->accusers.insert(reported.accuser);
  if (entry->dead_at != 0)
    suspicions_.erase({entry->dead_at, name});
  entry->dead_at = std::max(now_, SuspicionEnds(*entry));
  suspicions_.insert({entry->dead_at, name});
}

Micros Membership::SuspicionEnds(const Entry& entry) const {
  const double members = static_cast<double>(living_);
  // Long enough for the accusation to reach the accused and its word to come back, whatever the size.
  const double rounds = std::ceil(std::log(members) / std::log(settings_.gossip_fanout + 1.0)) + 1.0;
  const Micros least = std::max<Micros>(settings_.suspicion_rounds * settings_.probe_interval,
                                        static_cast<Micros>(3.0 * rounds) * settings_.gossip_interval);
  // Who has nobody to confirm it cannot wait for that.
  const int wanted = static_cast<int>(living_) - 2 < settings_.confirmations ? 0 : settings_.confirmations;
  if (wanted == 0)
    return entry.suspected + least;
  const double others = static_cast<double>(entry.accusers.size()) - 1.0;
  const double most = static_cast<double>(least) * settings_.suspicion_most;
  const double share = std::log(others + 1.0) / std::log(wanted + 1.0);
  return entry.suspected +
         std::max(least, static_cast<Micros>(most - (most - static_cast<double>(least)) * share));
}

void Membership::Become(Entry* entry, const Update& reported, MembershipChange::What what) {
  if (entry->dead_at != 0)
    suspicions_.erase({entry->dead_at, entry->reported.name});
  entry->dead_at = 0;
  if (Lives(entry->reported.state))
    --living_;
  if (Lives(reported.state))
    ++living_;
  entry->reported = reported;
  entry->since = now_;
  effects_->push_back(MembershipChange{what, reported});
  EnqueueBroadcast(reported);
}

void Membership::EnqueueBroadcast(const Update& update) { updates_.Put(update.name, update, SizeOf(update)); }

void Membership::DeclareDead(const std::string& name) {
  Update dead = others_.at(name).reported;
  dead.state = State::kDead;
  dead.accuser = settings_.name;
  ++counters_.deaths;
  ApplyUpdate(dead);
}

// ---- Probes ----

void Membership::BeginProbe() {
  const Micros period = Stretched(settings_.probe_interval);
  next_probe_ = now_ + period;
  if (leaving_)
    return;
  const std::optional<std::string> target = NextTarget();
  if (!target)
    return;
  const Update& reported = others_.at(*target).reported;
  ++counters_.probes;
  probe_ =
      Probe{*target, next_number_++, 0, false, false, now_ + Stretched(settings_.probe_timeout), next_probe_};
  Send(reported.address, Ping{probe_->number, *target, reported.incarnation.epoch}, *target);
}

void Membership::SendIndirectProbes() {
  probe_->indirect_probes_sent = true;
  const auto target = others_.find(probe_->target);
  if (target == others_.end())
    return;
  const Update reported = target->second.reported;
  for (const std::string& name : Some(static_cast<std::size_t>(settings_.indirect_probes), probe_->target)) {
    ++probe_->negative_acks_expected;
    ++counters_.indirect_probes;
    Send(others_.at(name).reported.address,
         IndirectPing{probe_->number, reported.name, reported.address, reported.incarnation.epoch});
  }
  if (probe_->negative_acks_expected == 0)
    probe_->negative_acks_expected = 1;  // nobody to ask: it may as well be us
}

void Membership::EndProbe() {
  const std::optional<Probe> probe = std::exchange(probe_, std::nullopt);
  if (!probe || probe->answered)
    return;
  ++counters_.probes_failed;
  // Those asked to try and silent as well: then it is likelier us.
  Worse(probe->negative_acks_expected);
  const auto target = others_.find(probe->target);
  if (target == others_.end() || !Lives(target->second.reported.state))
    return;
  Update accused = target->second.reported;
  accused.state = State::kSuspect;
  accused.accuser = settings_.name;
  ApplyUpdate(accused);
}

std::optional<std::string> Membership::NextTarget() {
  for (std::size_t looked = 0; looked <= order_.size(); ++looked) {
    if (next_in_order_ >= order_.size()) {
      next_in_order_ = 0;
      order_.clear();
      for (const auto& [name, entry] : others_)
        order_.push_back(name);
      pcg_extras::shuffle(order_.begin(), order_.end(), random_);
      if (order_.empty())
        return std::nullopt;
    }
    const std::string& name = order_[next_in_order_++];
    const auto found = others_.find(name);
    if (found != others_.end() && Lives(found->second.reported.state))
      return name;
  }
  return std::nullopt;
}

// ---- Gossip ----

void Membership::SendGossip() {
  next_gossip_ = now_ + settings_.gossip_interval;
  if (updates_.size() == 0 && gossip_.size() == 0)
    return;
  for (const std::string& name : Some(static_cast<std::size_t>(settings_.gossip_fanout), "", true)) {
    if (updates_.size() == 0 && gossip_.size() == 0)
      return;
    Send(others_.at(name).reported.address, Gossip{}, name);
  }
  for (int more = 0; more < settings_.gossip_burst && gossip_.size() > 0; ++more) {
    for (const std::string& name : Some(1, ""))
      Send(others_.at(name).reported.address, Gossip{}, name);
  }
}

void Membership::SendCompare() {
  const bool alone = living_ <= 1;
  // Spread by a quarter, so that instances started together do not compare together for ever.
  const Micros interval = alone ? settings_.probe_interval : settings_.compare_interval;
  next_compare_ = now_ + interval - interval / 8 + random_(static_cast<std::uint32_t>(interval / 4 + 1));
  if (leaving_)
    return;
  const std::uint64_t digest = Digest();
  for (const std::string& name : Some(1, ""))
    Send(others_.at(name).reported.address, Compare{digest});
  // One that was lost: after a split nothing else brings the halves together.
  std::vector<std::string> lost;
  std::set<std::string> met{settings_.address};
  for (const auto& [name, entry] : others_) {
    if (Lives(entry.reported.state))
      met.insert(entry.reported.address);
    if (entry.reported.state == State::kDead)
      lost.push_back(entry.reported.address);
  }
  for (const std::string& address : settings_.join) {
    if (!met.contains(address))
      lost.push_back(address);
  }
  if (lost.empty())
    return;
  if (!alone)
    return Send(lost[random_(static_cast<std::uint32_t>(lost.size()))], Compare{digest});
  std::sort(lost.begin(), lost.end());
  lost.erase(std::unique(lost.begin(), lost.end()), lost.end());
  if (lost.size() > 16)
    lost.resize(16);
  for (const std::string& address : lost)
    Send(address, Compare{digest});
}

void Membership::SendTable(const std::string& address, bool reply) {
  std::vector<Update> part{self()};
  std::size_t size = SizeOf(part.front());
  ++counters_.tables_sent;
  for (const auto& [name, entry] : others_) {
    // The left are not worth telling, and the dead are told where they may be news: to one that knows them.
    if (entry.reported.state == State::kLeft)
      continue;
    const std::size_t more = SizeOf(entry.reported);
    if (size + more + 200 > settings_.datagram) {
      Send(address, Table{std::exchange(part, {}), false});
      size = 0;
    }
    part.push_back(entry.reported);
    size += more;
  }
  Send(address, Table{std::move(part), reply});
}

void Membership::Send(const std::string& address, Message message, const std::string& to_name) {
  Packet packet{settings_.name, incarnation_.epoch, std::move(message), {}, {}};
  std::size_t used = SizeOfPacket(packet);
  // Lifeguard's buddy system: a suspect hears of it from whoever speaks to it.
  if (const auto to = others_.find(to_name);
      to != others_.end() && to->second.reported.state == State::kSuspect) {
    used += SizeOf(to->second.reported);
    packet.updates.push_back(to->second.reported);
  }
  if (used < settings_.datagram) {
    const std::size_t left = updates_.Take(settings_.datagram - used, Times(), &packet.updates);
    // Probes stay short: rumors go with gossip alone.
    if (std::holds_alternative<Gossip>(packet.message))
      gossip_.Take(left, settings_.gossip_transmissions, &packet.gossip);
  }
  effects_->push_back(SendPacket{address, std::move(packet)});
}

std::vector<std::string> Membership::Some(std::size_t count, const std::string& but, bool recently_dead) {
  std::vector<std::string> some;
  if (order_.empty())
    return some;
  const auto fits = [&](const std::string& name) {
    const auto found = others_.find(name);
    if (found == others_.end() || name == but)
      return false;
    const Entry& entry = found->second;
    const bool told = Lives(entry.reported.state) || (recently_dead && entry.reported.state == State::kDead &&
                                                      now_ - entry.since < kLatelyDead);
    return told && std::find(some.begin(), some.end(), name) == some.end();
  };
  // Drawn at random a bounded number of times, then whoever comes first from a random place on.
  const auto size = static_cast<std::uint32_t>(order_.size());
  for (std::size_t draws = 0; draws < 4 * count && some.size() < count; ++draws) {
    const std::string& name = order_[random_(size)];
    if (fits(name))
      some.push_back(name);
  }
  const std::size_t from = random_(size);
  for (std::size_t i = 0; i < order_.size() && some.size() < count; ++i) {
    const std::string& name = order_[(from + i) % order_.size()];
    if (fits(name))
      some.push_back(name);
  }
  return some;
}

// ---- This instance's own state ----

void Membership::ForgetDead() {
  next_forget_ = now_ + kForgetEvery;
  std::erase_if(others_, [this](const auto& named) {
    const Entry& entry = named.second;
    if (Lives(entry.reported.state))
      return false;
    // One that left is remembered just as long as its old words may still go round.
    const Micros kept = entry.reported.state == State::kLeft ? std::min(settings_.dead_kept, 60 * kSecond)
                                                             : settings_.dead_kept;
    return now_ - entry.since >= kept;
  });
}

bool Membership::ForgetOneDead() {
  auto oldest = others_.end();
  for (auto at = others_.begin(); at != others_.end(); ++at) {
    if (Lives(at->second.reported.state))
      continue;
    if (oldest == others_.end() || at->second.since < oldest->second.since)
      oldest = at;
  }
  if (oldest == others_.end())
    return false;
  others_.erase(oldest);
  return true;
}

void Membership::StretchFor(Micros gap) {
  ++counters_.pauses;
  Worse(1);
  probe_.reset();  // its answer may have come and gone
  relays_.clear();
  std::set<std::pair<Micros, std::string>> later;
  for (const auto& [at, name] : suspicions_) {
    Entry& entry = others_.at(name);
    entry.suspected += gap;
    entry.dead_at = at + gap;
    later.insert({entry.dead_at, name});
  }
  suspicions_ = std::move(later);
  for (Micros* at : {&next_probe_, &next_gossip_, &next_compare_, &next_forget_})
    *at = std::max(*at, now_ + settings_.gossip_interval);
}

void Membership::Worse(int by) { health_ = std::min(settings_.health_most, health_ + by); }
void Membership::Better() { health_ = std::max(0, health_ - 1); }

int Membership::Times() const {
  return settings_.retransmissions *
         static_cast<int>(std::ceil(std::log10(static_cast<double>(living_) + 1.0)));
}

std::uint64_t Membership::Digest() const {
  std::string text;
  for (const auto& [name, reported] : View()) {
    if (!Lives(reported.state))
      continue;
    text += name + '\n' + std::to_string(reported.incarnation.epoch) + '.' +
            std::to_string(reported.incarnation.turn) + '\n';
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace aldersill::membership
