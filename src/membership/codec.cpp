#include "membership/codec.h"

#include "net/message_pack.h"

namespace aldersill::membership {
namespace {

constexpr std::uint32_t kVersion = 1;  // of the packet format

void Pack(MessagePacker& out, const Update& update) {
  out.pack_array(7);
  out.pack(update.name);
  out.pack(update.address);
  out.pack(update.incarnation.epoch);
  out.pack(update.incarnation.number);
  out.pack(static_cast<std::uint8_t>(update.state));
  out.pack(update.weight);
  out.pack(update.accuser);
}

void Pack(MessagePacker& out, const GossipMessage& message) {
  out.pack_array(2);
  out.pack(message.key);
  out.pack(message.body);
}

template <typename T>
void PackAll(MessagePacker& out, const std::vector<T>& items) {
  out.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const T& item : items)
    Pack(out, item);
}

void PackFields(MessagePacker& out, const Ping& message) {
  out.pack_array(3);
  out.pack(message.number);
  out.pack(message.target);
  out.pack(message.epoch);
}
void PackFields(MessagePacker& out, const IndirectPing& message) {
  out.pack_array(4);
  out.pack(message.number);
  out.pack(message.target);
  out.pack(message.address);
  out.pack(message.epoch);
}
void PackFields(MessagePacker& out, const Ack& message) {
  out.pack_array(1);
  out.pack(message.number);
}
void PackFields(MessagePacker& out, const NegativeAck& message) {
  out.pack_array(1);
  out.pack(message.number);
}
void PackFields(MessagePacker& out, const Gossip&) { out.pack_array(0); }
void PackFields(MessagePacker& out, const ViewDigest& message) {
  out.pack_array(1);
  out.pack(message.digest);
}
void PackFields(MessagePacker& out, const FullState& message) {
  out.pack_array(2);
  PackAll(out, message.members);
  out.pack(message.reply);
}
void PackFields(MessagePacker& out, const DirectMessage& message) {
  out.pack_array(1);
  out.pack(message.body);
}

Update TakeUpdate(MessageFields& in) {
  Update update;
  update.name = in.TakeName();
  update.address = in.TakeName();
  update.incarnation.epoch = in.TakeUint53();
  update.incarnation.number = in.Take<std::uint32_t>();
  const auto state = in.Take<std::uint8_t>();
  if (state > static_cast<std::uint8_t>(State::kLeft))
    throw std::runtime_error("update: unknown member state");
  update.state = static_cast<State>(state);
  update.weight = in.Take<std::uint32_t>();
  update.accuser = in.Take<std::string>();
  if (update.accuser.size() > kMaxMessageNameBytes)
    throw std::runtime_error("update: accuser's name too long");
  return update;
}

GossipMessage TakeGossip(MessageFields& in) {
  GossipMessage message;
  message.key = in.Take<std::string>();
  message.body = in.Take<std::string>();
  return message;
}

// Braced initializers are evaluated from left to right, which is the order of the fields in the packet.
Message TakeMessage(std::uint32_t kind, MessageFields in) {
  switch (kind) {
    case 0:
      return Ping{in.Take<std::uint32_t>(), in.TakeName(), in.TakeUint53()};
    case 1:
      return IndirectPing{in.Take<std::uint32_t>(), in.TakeName(), in.TakeName(), in.TakeUint53()};
    case 2:
      return Ack{in.Take<std::uint32_t>()};
    case 3:
      return NegativeAck{in.Take<std::uint32_t>()};
    case 4:
      return Gossip{};
    case 5:
      return ViewDigest{in.Take<std::uint64_t>()};
    case 6:
      return FullState{in.TakeList<Update>(TakeUpdate), in.Take<bool>()};
    case 7:
      return DirectMessage{in.Take<std::string>()};
    default:
      throw std::runtime_error("packet: unknown kind of message");
  }
}

}  // namespace

std::string Encode(const Packet& packet) {
  return PackMessage([&](MessagePacker& out) {
    out.pack_array(7);
    out.pack(kVersion);
    out.pack(packet.from);
    out.pack(packet.epoch);
    out.pack(static_cast<std::uint32_t>(packet.message.index()));
    std::visit([&](const auto& message) { PackFields(out, message); }, packet.message);
    PackAll(out, packet.updates);
    PackAll(out, packet.gossip);
  });
}

std::optional<Packet> Decode(std::string_view bytes) {
  return UnpackMessage<Packet>(bytes, [](const msgpack::object& object) {
    MessageFields in(object);
    if (in.Take<std::uint32_t>() != kVersion)
      throw std::runtime_error("packet: unsupported version of the format");
    Packet packet;
    packet.from = in.TakeName();
    packet.epoch = in.TakeUint53();
    const auto kind = in.Take<std::uint32_t>();
    packet.message = TakeMessage(kind, MessageFields(in.TakeObject()));
    packet.updates = in.TakeList<Update>(TakeUpdate);
    packet.gossip = in.TakeList<GossipMessage>(TakeGossip);
    in.ExpectEnd();
    return packet;
  });
}

}  // namespace aldersill::membership
