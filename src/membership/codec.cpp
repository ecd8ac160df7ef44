#include "membership/codec.h"

#include "net/message_pack.h"

namespace aldersill::membership {
namespace {

constexpr std::uint32_t kVersion = 1;

void Put(MessagePacker& out, const Update& u) {
  out.pack_array(7);
  out.pack(u.name), out.pack(u.address), out.pack(u.incarnation.epoch), out.pack(u.incarnation.turn);
  out.pack(static_cast<std::uint8_t>(u.state)), out.pack(u.weight), out.pack(u.accuser);
}

void Put(MessagePacker& out, const GossipMessage& r) {
  out.pack_array(2);
  out.pack(r.key), out.pack(r.body);
}

template <typename T>
void PutAll(MessagePacker& out, const std::vector<T>& items) {
  out.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const T& item : items)
    Put(out, item);
}

void PutFields(MessagePacker& out, const Ping& m) {
  out.pack_array(3);
  out.pack(m.number), out.pack(m.target), out.pack(m.epoch);
}
void PutFields(MessagePacker& out, const IndirectPing& m) {
  out.pack_array(4);
  out.pack(m.number), out.pack(m.target), out.pack(m.address), out.pack(m.epoch);
}
void PutFields(MessagePacker& out, const Ack& m) {
  out.pack_array(1);
  out.pack(m.number);
}
void PutFields(MessagePacker& out, const NegativeAck& m) {
  out.pack_array(1);
  out.pack(m.number);
}
void PutFields(MessagePacker& out, const Gossip&) { out.pack_array(0); }
void PutFields(MessagePacker& out, const Compare& m) {
  out.pack_array(1);
  out.pack(m.digest);
}
void PutFields(MessagePacker& out, const Table& m) {
  out.pack_array(2);
  PutAll(out, m.members), out.pack(m.reply);
}
void PutFields(MessagePacker& out, const Direct& m) {
  out.pack_array(1);
  out.pack(m.body);
}

Update TakeUpdate(MessageFields& in) {
  Update u;
  u.name = in.Name();
  u.address = in.Name();
  u.incarnation.epoch = in.Number53();
  u.incarnation.turn = in.Take<std::uint32_t>();
  const auto state = in.Take<std::uint8_t>();
  if (state > static_cast<std::uint8_t>(State::kLeft))
    throw std::runtime_error("not a state");
  u.state = static_cast<State>(state);
  u.weight = in.Take<std::uint32_t>();
  u.accuser = in.Take<std::string>();
  if (u.accuser.size() > kMostMessageName)
    throw std::runtime_error("not a name");
  return u;
}

GossipMessage TakeGossip(MessageFields& in) {
  GossipMessage r;
  r.key = in.Take<std::string>();
  r.body = in.Take<std::string>();
  return r;
}

Message TakeMessage(std::uint32_t kind, MessageFields in) {
  switch (kind) {
    case 0: {
      Ping m;
      m.number = in.Take<std::uint32_t>(), m.target = in.Name(), m.epoch = in.Number53();
      return m;
    }
    case 1: {
      IndirectPing m;
      m.number = in.Take<std::uint32_t>(), m.target = in.Name(), m.address = in.Name(),
      m.epoch = in.Number53();
      return m;
    }
    case 2:
      return Ack{in.Take<std::uint32_t>()};
    case 3:
      return NegativeAck{in.Take<std::uint32_t>()};
    case 4:
      return Gossip{};
    case 5:
      return Compare{in.Take<std::uint64_t>()};
    case 6: {
      Table m;
      m.members = in.List<Update>(TakeUpdate), m.reply = in.Take<bool>();
      return m;
    }
    case 7:
      return Direct{in.Take<std::string>()};
    default:
      throw std::runtime_error("not a kind");
  }
}

}  // namespace

std::string Encode(const Packet& packet) {
  return PackMessage([&](MessagePacker& out) {
    out.pack_array(7);
    out.pack(kVersion), out.pack(packet.from), out.pack(packet.epoch);
    out.pack(static_cast<std::uint32_t>(packet.message.index()));
    std::visit([&](const auto& m) { PutFields(out, m); }, packet.message);
    PutAll(out, packet.updates);
    PutAll(out, packet.gossip);
  });
}

std::optional<Packet> Decode(std::string_view bytes) {
  return UnpackMessage<Packet>(bytes, [](const msgpack::object& object) {
    MessageFields in(object);
    if (in.Take<std::uint32_t>() != kVersion)
      throw std::runtime_error("another version");
    Packet packet;
    packet.from = in.Name();
    packet.epoch = in.Number53();
    const auto kind = in.Take<std::uint32_t>();
    packet.message = TakeMessage(kind, MessageFields(in.Object()));
    packet.updates = in.List<Update>(TakeUpdate);
    packet.gossip = in.List<GossipMessage>(TakeGossip);
    in.End();
    return packet;
  });
}

}  // namespace aldersill::membership
