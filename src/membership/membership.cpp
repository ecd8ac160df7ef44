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
std::size_t SizeOf(const Rumor& r) { return r.key.size() + r.body.size() + 12; }
std::size_t SizeOfPacket(const Packet& p) {
  std::size_t size = p.from.size() + 40;
  if (const auto* ping = std::get_if<Ping>(&p.message))
    size += ping->target.size() + 24;
  if (const auto* ask = std::get_if<PingFor>(&p.message))
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
      rumors_(settings_.most_rumors) {}

void Membership::Handle(Micros now, Event event, std::vector<Effect>* effects) {
  now_ = std::max(now_, now);
  effects_ = effects;
  std::visit([this](auto&& e) { On(std::move(e)); }, std::move(event));
}

Micros Membership::next_due() const {
  if (!started_)
    return kNever;
  Micros due = std::min({next_probe_, next_gossip_, next_compare_, next_forget_});
  if (probe_ && !probe_->answered && !probe_->asked_others)
    due = std::min(due, probe_->others_at);
  if (!suspicions_.empty())
    due = std::min(due, suspicions_.begin()->first);
  for (const auto& [number, relay] : relays_)
    due = std::min(due, relay.nack_at);
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
    view.emplace(name, entry.said);
  view.emplace(settings_.name, self());
  return view;
}

std::optional<State> Membership::StateOf(const std::string& name) const {
  if (name == settings_.name)
    return leaving_ ? State::kLeft : State::kAlive;
  const auto found = others_.find(name);
  return found == others_.end() ? std::nullopt : std::optional(found->second.said.state);
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
  PassOn(self());
}

void Membership::On(PacketCame&& e) {
  const Packet& p = e.packet;
  if (!started_ || p.from == settings_.name)
    return;  // our own, come back, or a namesake's: either tells nothing
  for (const Update& update : p.updates)
    Hear(update);
  std::visit([&](const auto& m) { On(e.address, p, m); }, p.message);
  for (const Rumor& rumor : p.rumors)
    effects_->push_back(RumorHeard{p.from, rumor});
  // One that is taken for dead, or that speaks from a life we have not heard of, is told so at once.
  const auto sender = others_.find(p.from);
  if (sender == others_.end() || now_ - sender->second.since < settings_.gossip_interval)
    return;
  Entry& entry = sender->second;
  if (entry.said.state == State::kDead && entry.said.incarnation.epoch <= p.epoch) {
    entry.since = now_;  // at most once a gossip interval
    Send(e.address, Table{{entry.said}, false});
  }
}

void Membership::On(const TimeCame&) {
  if (!started_)
    return;
  // What was due long ago means that this instance itself stood still: others are not to suffer for it.
  if (const Micros late = now_ - next_due(); late > settings_.probe_interval)
    StretchFor(late);
  while (next_due() <= now_) {
    if (probe_ && !probe_->answered && !probe_->asked_others && probe_->others_at <= now_)
      AskOthers();
    while (!suspicions_.empty() && suspicions_.begin()->first <= now_)
      DeclareDead(std::string(suspicions_.begin()->second));
    for (auto at = relays_.begin(); at != relays_.end();) {
      if (at->second.nack_at > now_) {
        ++at;
        continue;
      }
      Send(at->second.address, Nack{at->second.number});
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

void Membership::On(SpreadAsked&& e) {
  const std::size_t size = SizeOf(e.rumor);
  if (size + 128 > settings_.datagram)
    return;  // could never go out
  const std::string key = e.rumor.key;
  rumors_.Put(key, std::move(e.rumor), size);
}

void Membership::On(DirectAsked&& e) {
  const auto to = others_.find(e.to);
  if (!started_ || to == others_.end() || !Lives(to->second.said.state))
    return;
  Send(to->second.said.address, Direct{std::move(e.body)});
}

void Membership::On(const LeaveAsked&) {
  if (!started_ || std::exchange(leaving_, true))
    return;
  probe_.reset();
  Update gone = self();
  gone.accuser = settings_.name;
  PassOn(gone);
  for (const std::string& name : Some(8, ""))
    Send(others_.at(name).said.address, Gossip{});
}

// ---- Messages ----

void Membership::On(const std::string& address, const Packet&, const Ping& m) {
  if (m.target != settings_.name || leaving_)
    return;
  if (m.epoch == incarnation_.epoch)
    return Send(address, Ack{m.number});
  PassOn(self());  // it asks for an earlier life of ours
  Send(address, Gossip{});
}

void Membership::On(const std::string& address, const Packet&, const PingFor& m) {
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
  if (!probe_->asked_others && p.from != probe_->target)
    return;
  probe_->answered = true;
  Better();
}

void Membership::On(const std::string&, const Packet&, const Nack& m) {
  if (probe_ && probe_->number == m.number && probe_->nacks_owed > 0)
    --probe_->nacks_owed;
}

void Membership::On(const std::string& address, const Packet& p, const Compare& m) {
  const auto known = others_.find(p.from);
  const bool met = known != others_.end() && Lives(known->second.said.state);
  if (met && m.digest == Digest())
    return;
  SendTable(address, /*reply=*/true);
}

void Membership::On(const std::string& address, const Packet&, const Table& m) {
  for (const Update& update : m.members)
    Hear(update);
  if (m.reply)
    SendTable(address, /*reply=*/false);
}

void Membership::On(const std::string&, const Packet& p, const Direct& m) {
  effects_->push_back(DirectHeard{p.from, p.epoch, m.body});
}

// ---- What is said of members ----

void Membership::Hear(const Update& said) {
  if (said.name == settings_.name)
    return HearOfSelf(said);
  const auto found = others_.find(said.name);
  if (found == others_.end()) {
    // One that was never known and is gone needs no place.
    if (!Lives(said.state))
      return;
    if (others_.size() + 1 >= settings_.most_members && !ForgetOneDead()) {
      ++counters_.members_refused;
      return;
    }
    Entry& entry = others_[said.name];
    entry.said = said;
    entry.said.state = State::kAlive;
    entry.since = now_;
    ++living_;
    order_.insert(order_.begin() + random_(static_cast<std::uint32_t>(order_.size() + 1)), said.name);
    effects_->push_back(MemberNews{MemberNews::What::kJoined, entry.said});
    PassOn(entry.said);
    if (said.state == State::kSuspect)
      Accuse(&entry, said);
    return;
  }
  Entry& entry = found->second;
  const Update& known = entry.said;
  const bool newer = said.incarnation > known.incarnation;
  const bool other_life = said.incarnation.epoch > known.incarnation.epoch;
  switch (said.state) {
    case State::kAlive:
      if (!newer)
        return;
      if (known.state == State::kDead && !other_life)
        ++counters_.deaths_refuted;
      return Become(&entry, said, other_life ? MemberNews::What::kRestarted : MemberNews::What::kAlive);
    case State::kSuspect:
      if (newer) {
        Update alive = said;
        alive.state = State::kAlive;
        alive.accuser.clear();
        Become(&entry, alive, other_life ? MemberNews::What::kRestarted : MemberNews::What::kAlive);
      }
      if (said.incarnation == known.incarnation && Lives(known.state))
        Accuse(&entry, said);
      return;
    case State::kDead:
    case State::kLeft:
      if (said.incarnation < known.incarnation || (!newer && !Lives(known.state)))
        return;
      return Become(&entry, said,
                    said.state == State::kDead ? MemberNews::What::kDead : MemberNews::What::kLeft);
  }
}

void Membership::HearOfSelf(const Update& said) {
  if (leaving_)
    return;
  if (said.address != settings_.address && said.incarnation >= incarnation_)
    ++counters_.name_conflicts;
  if (said.incarnation.epoch > incarnation_.epoch) {
    // An earlier life whose clock was ahead (or a namesake): this one must still go before it.
    incarnation_ = {said.incarnation.epoch + 1, 0};
    PassOn(self());
  } else if (said.incarnation < incarnation_) {
    PassOn(self());
  } else if (said.state != State::kAlive) {
    Refute(said.incarnation);
  }
}

void Membership::Refute(const Incarnation& above) {
#ifndef ALDERSILL_PLANT_NO_REFUTATION  // the defect that the search must find (tests/membership)
  incarnation_.turn = std::max(incarnation_.turn, above.turn) + 1;
  ++counters_.refutations;
  Worse(1);
  PassOn(self());
#else
  static_cast<void>(above);
#endif
}

void Membership::Accuse(Entry* entry, const Update& said) {
  const std::string& name = entry->said.name;
  if (entry->said.state == State::kAlive) {
    entry->accusers.clear();
    entry->suspected = now_;
    entry->dead_at = 0;
    ++counters_.suspicions;
    Update suspect = entry->said;
    suspect.state = State::kSuspect;
    suspect.accuser = said.accuser;
    Become(entry, suspect, MemberNews::What::kSuspect);
  } else if (entry->accusers.contains(said.accuser) ||
             std::ssize(entry->accusers) > settings_.confirmations) {
    return;  // nothing new
  } else {
    // Lifeguard: confirmations are passed on as well, as they shorten the others' wait.
    Update confirmed = entry->said;
    confirmed.accuser = said.accuser;
    PassOn(confirmed);
  }
  entry->accusers.insert(said.accuser);
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

void Membership::Become(Entry* entry, const Update& said, MemberNews::What what) {
  if (entry->dead_at != 0)
    suspicions_.erase({entry->dead_at, entry->said.name});
  entry->dead_at = 0;
  if (Lives(entry->said.state))
    --living_;
  if (Lives(said.state))
    ++living_;
  entry->said = said;
  entry->since = now_;
  effects_->push_back(MemberNews{what, said});
  PassOn(said);
}

void Membership::PassOn(const Update& update) { updates_.Put(update.name, update, SizeOf(update)); }

void Membership::DeclareDead(const std::string& name) {
  Update dead = others_.at(name).said;
  dead.state = State::kDead;
  dead.accuser = settings_.name;
  ++counters_.deaths;
  Hear(dead);
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
  const Update& said = others_.at(*target).said;
  ++counters_.probes;
  probe_ =
      Probe{*target, next_number_++, 0, false, false, now_ + Stretched(settings_.probe_timeout), next_probe_};
  Send(said.address, Ping{probe_->number, *target, said.incarnation.epoch}, *target);
}

void Membership::AskOthers() {
  probe_->asked_others = true;
  const auto target = others_.find(probe_->target);
  if (target == others_.end())
    return;
  const Update said = target->second.said;
  for (const std::string& name : Some(static_cast<std::size_t>(settings_.indirect_probes), probe_->target)) {
    ++probe_->nacks_owed;
    ++counters_.indirect_probes;
    Send(others_.at(name).said.address,
         PingFor{probe_->number, said.name, said.address, said.incarnation.epoch});
  }
  if (probe_->nacks_owed == 0)
    probe_->nacks_owed = 1;  // nobody to ask: it may as well be us
}

void Membership::EndProbe() {
  const std::optional<Probe> probe = std::exchange(probe_, std::nullopt);
  if (!probe || probe->answered)
    return;
  ++counters_.probes_failed;
  // Those asked to try and silent as well: then it is likelier us.
  Worse(probe->nacks_owed);
  const auto target = others_.find(probe->target);
  if (target == others_.end() || !Lives(target->second.said.state))
    return;
  Update accused = target->second.said;
  accused.state = State::kSuspect;
  accused.accuser = settings_.name;
  Hear(accused);
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
    if (found != others_.end() && Lives(found->second.said.state))
      return name;
  }
  return std::nullopt;
}

// ---- Gossip ----

void Membership::SendGossip() {
  next_gossip_ = now_ + settings_.gossip_interval;
  if (updates_.size() == 0 && rumors_.size() == 0)
    return;
  for (const std::string& name : Some(static_cast<std::size_t>(settings_.gossip_fanout), "", true)) {
    if (updates_.size() == 0 && rumors_.size() == 0)
      return;
    Send(others_.at(name).said.address, Gossip{}, name);
  }
  for (int more = 0; more < settings_.gossip_burst && rumors_.size() > 0; ++more) {
    for (const std::string& name : Some(1, ""))
      Send(others_.at(name).said.address, Gossip{}, name);
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
    Send(others_.at(name).said.address, Compare{digest});
  // One that was lost: after a split nothing else brings the halves together.
  std::vector<std::string> lost;
  std::set<std::string> met{settings_.address};
  for (const auto& [name, entry] : others_) {
    if (Lives(entry.said.state))
      met.insert(entry.said.address);
    if (entry.said.state == State::kDead)
      lost.push_back(entry.said.address);
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
    if (entry.said.state == State::kLeft)
      continue;
    const std::size_t more = SizeOf(entry.said);
    if (size + more + 200 > settings_.datagram) {
      Send(address, Table{std::exchange(part, {}), false});
      size = 0;
    }
    part.push_back(entry.said);
    size += more;
  }
  Send(address, Table{std::move(part), reply});
}

void Membership::Send(const std::string& address, Message message, const std::string& to_name) {
  Packet packet{settings_.name, incarnation_.epoch, std::move(message), {}, {}};
  std::size_t used = SizeOfPacket(packet);
  // Lifeguard's buddy system: a suspect hears of it from whoever speaks to it.
  if (const auto to = others_.find(to_name);
      to != others_.end() && to->second.said.state == State::kSuspect) {
    used += SizeOf(to->second.said);
    packet.updates.push_back(to->second.said);
  }
  if (used < settings_.datagram) {
    const std::size_t left = updates_.Take(settings_.datagram - used, Times(), &packet.updates);
    // Probes stay short: rumors go with gossip alone.
    if (std::holds_alternative<Gossip>(packet.message))
      rumors_.Take(left, settings_.rumor_times, &packet.rumors);
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
    const bool told = Lives(entry.said.state) ||
                      (recently_dead && entry.said.state == State::kDead && now_ - entry.since < kLatelyDead);
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
    if (Lives(entry.said.state))
      return false;
    // One that left is remembered just as long as its old words may still go round.
    const Micros kept =
        entry.said.state == State::kLeft ? std::min(settings_.dead_kept, 60 * kSecond) : settings_.dead_kept;
    return now_ - entry.since >= kept;
  });
}

bool Membership::ForgetOneDead() {
  auto oldest = others_.end();
  for (auto at = others_.begin(); at != others_.end(); ++at) {
    if (Lives(at->second.said.state))
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
  for (const auto& [name, said] : View()) {
    if (!Lives(said.state))
      continue;
    text += name + '\n' + std::to_string(said.incarnation.epoch) + '.' +
            std::to_string(said.incarnation.turn) + '\n';
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace aldersill::membership
