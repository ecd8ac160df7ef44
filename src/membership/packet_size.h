// Upper bounds of encoded sizes, in bytes, for the encoding of codec.cpp. The tests check that no packet
// exceeds its bound.
#ifndef ALDERSILL_SRC_MEMBERSHIP_PACKET_SIZE_H_
#define ALDERSILL_SRC_MEMBERSHIP_PACKET_SIZE_H_

#include <cstddef>

#include "membership/types.h"

namespace aldersill::membership {

std::size_t MaxEncodedSize(const Update& update);
std::size_t MaxEncodedSize(const GossipMessage& message);
// The size of the packet's header and message, without piggybacked updates and gossip messages.
std::size_t MaxEncodedSize(const Packet& packet);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_PACKET_SIZE_H_
