#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace aldersill::membership {
namespace {

constexpr Micros kNever = INT64_MAX;
// Interval at which members past their retention time are removed from the table.
constexpr Micros kForgetInterval = 10 * kSecond;
// The number of members that this member notifies directly when it leaves.
constexpr std::size_t kLeaveFanout = 8;

}  // namespace

Membership::Membership(Settings settings, std::uint64_t seed)
    : state_(std::move(settings), seed),
      table_(state_),
      peers_(state_, table_),
      suspicions_(state_),
      dissemination_(state_, table_, peers_),
      detector_(state_, table_, peers_, dissemination_),
      anti_entropy_(state_, table_, peers_, dissemination_) {}

void Membership::Handle(Micros now, Event event, std::vector<Effect>* effects) {
  state_.now = std::max(state_.now, now);
  state_.effects = effects;
  std::visit([this](auto&& alternative) { Apply(std::forward<decltype(alternative)>(alternative)); },
             std::move(event));
}

Micros Membership::next_due() const {
  if (!started_)
    return kNever;
  return std::min({detector_.next_due(), dissemination_.next_due(), anti_entropy_.next_due(),
                   suspicions_.next_due(), next_forget_});
}

std::optional<State> Membership::StateOf(const std::string& name) const {
  if (name == state_.settings.name)
    return self().state;
  const MemberRecord* record = table_.Find(name);
  return record == nullptr ? std::nullopt : std::optional(record->update.state);
}

// ---- Events ----

void Membership::Apply(const Started& started) {
  started_ = true;
  state_.incarnation = {.epoch = started.epoch, .number = 0};
  detector_.Start();
  dissemination_.Start();
  anti_entropy_.Start();
  next_forget_ = state_.now + kForgetInterval;
  dissemination_.EnqueueUpdate(self());
}

void Membership::Apply(PacketReceived&& received) {
  const Packet& packet = received.packet;
  // A packet with this member's own name was reflected by the network, or another member uses the same name.
  if (!started_ || packet.from == state_.settings.name)
    return;
  for (const Update& update : packet.updates)
    ApplyUpdate(update);
  std::visit([&](const auto& message) { ApplyMessage(received.address, packet, message); }, packet.message);
  for (const GossipMessage& message : packet.gossip)
    state_.Emit(GossipReceived{packet.from, message});
  NotifyIfReportedDead(received.address, packet);
}

void Membership::Apply(const TimerExpired&) {
  if (!started_)
    return;
  if (const Micros late = state_.now - next_due(); late > state_.settings.probe_interval)
    CompensateForPause(late);
  while (next_due() <= state_.now) {
    detector_.SendDueIndirectPings();
    while (const std::optional<std::string> member = suspicions_.TimedOut())
      DeclareDead(*member);
    detector_.SendDueNegativeAcks();
    if (detector_.PeriodIsOver()) {
      if (const std::optional<Update> accusation = detector_.EndPeriod())
        ApplyUpdate(*accusation);
      detector_.BeginPeriod();
    }
    if (dissemination_.next_due() <= state_.now)
      dissemination_.SendGossipRound();
    if (anti_entropy_.next_due() <= state_.now)
      anti_entropy_.SendDigests();
    if (next_forget_ <= state_.now)
      ForgetExpiredMembers();
  }
}

void Membership::Apply(BroadcastRequested&& request) {
  dissemination_.EnqueueGossip(std::move(request.message));
}

void Membership::Apply(DirectMessageRequested&& request) {
  if (started_ && table_.IsLivingMember(request.to))
    dissemination_.SendToMember(request.to, DirectMessage{std::move(request.body)});
}

void Membership::Apply(const LeaveRequested&) {
  if (!started_ || std::exchange(state_.leaving, true))
    return;
  detector_.AbandonProbe();
  Update left = self();
  left.accuser = state_.settings.name;
  dissemination_.EnqueueUpdate(left);
  for (const std::string& peer : peers_.RandomPeers(kLeaveFanout))
    dissemination_.SendToMember(peer, Gossip{});
}

// ---- Messages ----

void Membership::ApplyMessage(const std::string& address, const Packet&, const Ping& ping) {
  detector_.HandlePing(address, ping);
}

void Membership::ApplyMessage(const std::string& address, const Packet&, const IndirectPing& ping) {
  detector_.HandleIndirectPing(address, ping);
}

void Membership::ApplyMessage(const std::string&, const Packet& packet, const Ack& ack) {
  detector_.HandleAck(packet.from, ack);
}

void Membership::ApplyMessage(const std::string&, const Packet&, const NegativeAck& ack) {
  detector_.HandleNegativeAck(ack);
}

void Membership::ApplyMessage(const std::string&, const Packet&, const Gossip&) {}

void Membership::ApplyMessage(const std::string& address, const Packet& packet, const ViewDigest& digest) {
  anti_entropy_.HandleDigest(address, packet.from, digest);
}

void Membership::ApplyMessage(const std::string& address, const Packet&, const FullState& state) {
  for (const Update& update : state.members)
    ApplyUpdate(update);
  if (state.reply)
    anti_entropy_.SendFullState(address, /*request_reply=*/false);
}

void Membership::ApplyMessage(const std::string&, const Packet& packet, const DirectMessage& message) {
  state_.Emit(DirectMessageReceived{packet.from, packet.epoch, message.body});
}

void Membership::NotifyIfReportedDead(const std::string& address, const Packet& packet) {
  MemberRecord* sender = table_.Find(packet.from);
  if (sender == nullptr || state_.now - sender->since < state_.settings.gossip_interval)
    return;
  if (sender->update.state != State::kDead || sender->update.incarnation.epoch > packet.epoch)
    return;
  sender->since = state_.now;  // limits the notifications to one per gossip interval
  dissemination_.Send(address, FullState{{sender->update}, false});
}

// ---- Updates ----

void Membership::ApplyUpdate(const Update& reported) {
  if (reported.name == state_.settings.name)
    return HandleUpdateAboutSelf(reported);
  MemberRecord* record = table_.Find(reported.name);
  if (record == nullptr)
    return AddMember(reported);
  switch (reported.state) {
    case State::kAlive:
      return ApplyAlive(record, reported);
    case State::kSuspect:
      return ApplySuspect(record, reported);
    case State::kDead:
    case State::kLeft:
      return ApplyDeadOrLeft(record, reported);
  }
}

void Membership::AddMember(const Update& reported) {
  // An unknown member that is dead or has left needs no record.
  if (!IsLiving(reported.state))
    return;
  if (table_.full() && !table_.ForgetOldestDead()) {
    ++state_.counters.members_refused;
    return;
  }
  Update joined = reported;
  joined.state = State::kAlive;
  table_.Add(joined);
  peers_.Add(joined.name);
  state_.Emit(MembershipChange{Kind::kJoined, joined});
  dissemination_.EnqueueUpdate(joined);
  if (reported.state == State::kSuspect)
    RecordSuspicion(table_.Find(reported.name), reported);
}

void Membership::ApplyAlive(MemberRecord* record, const Update& reported) {
  const Update& known = record->update;
  if (reported.incarnation <= known.incarnation)
    return;
  const bool restarted = reported.incarnation.epoch > known.incarnation.epoch;
  if (known.state == State::kDead && !restarted)
    ++state_.counters.deaths_refuted;
  ChangeState(record, reported, restarted ? Kind::kRestarted : Kind::kAlive);
}

void Membership::ApplySuspect(MemberRecord* record, const Update& reported) {
  const Incarnation known = record->update.incarnation;
  if (reported.incarnation > known) {
    Update alive = reported;
    alive.state = State::kAlive;
    alive.accuser.clear();
    const bool restarted = reported.incarnation.epoch > known.epoch;
    ChangeState(record, alive, restarted ? Kind::kRestarted : Kind::kAlive);
  }
  if (reported.incarnation == record->update.incarnation && IsLiving(record->update.state))
    RecordSuspicion(record, reported);
}

void Membership::ApplyDeadOrLeft(MemberRecord* record, const Update& reported) {
  const Update& known = record->update;
  const bool superseded = reported.incarnation < known.incarnation ||
                          (reported.incarnation == known.incarnation && !IsLiving(known.state));
  if (superseded)
    return;
  ChangeState(record, reported, reported.state == State::kDead ? Kind::kDead : Kind::kLeft);
}

void Membership::HandleUpdateAboutSelf(const Update& reported) {
  if (state_.leaving)
    return;
  if (reported.address != state_.settings.address && reported.incarnation >= state_.incarnation)
    ++state_.counters.name_conflicts;
  if (reported.incarnation.epoch > state_.incarnation.epoch) {
    // The report is about a previous process whose clock was ahead, or about another member with this name.
    // This process must supersede it.
    state_.incarnation = {.epoch = reported.incarnation.epoch + 1, .number = 0};
    dissemination_.EnqueueUpdate(self());
  } else if (reported.incarnation < state_.incarnation) {
    dissemination_.EnqueueUpdate(self());
  } else if (reported.state != State::kAlive) {
    Refute(reported.incarnation);
  }
}

void Membership::Refute(const Incarnation& reported) {
#ifndef ALDERSILL_MUTANT_NO_REFUTATION  // injected fault that cluster_search must detect
  state_.incarnation.number = std::max(state_.incarnation.number, reported.number) + 1;
  ++state_.counters.refutations;
  state_.health.Worsen(1);
  dissemination_.EnqueueUpdate(self());
#else
  static_cast<void>(reported);
#endif
}

void Membership::RecordSuspicion(MemberRecord* record, const Update& accusation) {
  const std::string name = record->update.name;
  Update suspect = record->update;
  suspect.accuser = accusation.accuser;
  if (record->update.state == State::kAlive) {
    ++state_.counters.suspicions;
    suspect.state = State::kSuspect;
    ChangeState(record, suspect, Kind::kSuspect);
    suspicions_.Begin(name);
  } else if (suspicions_.IsConfirmation(name, accusation.accuser)) {
    // Lifeguard disseminates confirmations as well: they shorten the suspicion timeout at other members.
    dissemination_.EnqueueUpdate(suspect);
  } else {
    return;
  }
  suspicions_.AddAccuser(name, accusation.accuser, table_.living());
}

void Membership::ChangeState(MemberRecord* record, const Update& update, Kind kind) {
  suspicions_.End(record->update.name);
  table_.Replace(record, update);
  state_.Emit(MembershipChange{kind, update});
  dissemination_.EnqueueUpdate(update);
}

void Membership::DeclareDead(const std::string& name) {
  Update dead = table_.Find(name)->update;
  dead.state = State::kDead;
  dead.accuser = state_.settings.name;
  ++state_.counters.deaths;
  ApplyUpdate(dead);
}

// ---- Pauses and retention ----

void Membership::CompensateForPause(Micros gap) {
  ++state_.counters.pauses;
  state_.health.Worsen(1);
  detector_.AbandonProbe();  // its ack may have arrived and been dropped during the pause
  detector_.AbandonRelays();
  suspicions_.Postpone(gap);
  const Micros earliest = state_.now + state_.settings.gossip_interval;
  detector_.PostponeTo(earliest);
  dissemination_.PostponeTo(earliest);
  anti_entropy_.PostponeTo(earliest);
  next_forget_ = std::max(next_forget_, earliest);
}

void Membership::ForgetExpiredMembers() {
  next_forget_ = state_.now + kForgetInterval;
  table_.ForgetExpired();
}

}  // namespace aldersill::membership
