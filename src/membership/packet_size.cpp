#include "membership/packet_size.h"

namespace aldersill::membership {
namespace {

// Bytes of everything but the strings: numbers, string lengths and array headers.
constexpr std::size_t kUpdateOverhead = 32;
constexpr std::size_t kGossipOverhead = 12;
constexpr std::size_t kPacketOverhead = 56;
constexpr std::size_t kPingOverhead = 24;
constexpr std::size_t kIndirectPingOverhead = 32;
constexpr std::size_t kDirectMessageOverhead = 8;

}  // namespace

std::size_t MaxEncodedSize(const Update& update) {
  return update.name.size() + update.address.size() + update.accuser.size() + kUpdateOverhead;
}

std::size_t MaxEncodedSize(const GossipMessage& message) {
  return message.key.size() + message.body.size() + kGossipOverhead;
}

std::size_t MaxEncodedSize(const Packet& packet) {
  std::size_t size = packet.from.size() + kPacketOverhead;
  if (const auto* ping = std::get_if<Ping>(&packet.message))
    size += ping->target.size() + kPingOverhead;
  if (const auto* ping = std::get_if<IndirectPing>(&packet.message))
    size += ping->target.size() + ping->address.size() + kIndirectPingOverhead;
  if (const auto* direct = std::get_if<DirectMessage>(&packet.message))
    size += direct->body.size() + kDirectMessageOverhead;
  if (const auto* state = std::get_if<FullState>(&packet.message)) {
    for (const Update& update : state->members)
      size += MaxEncodedSize(update);
  }
  return size;
}

}  // namespace aldersill::membership
