// Upper bounds of the encoded sizes, in bytes. codec.cpp writes the encoding; the tests hold every packet to
// its bound.
#ifndef ALDERSILL_SRC_MEMBERSHIP_PACKET_SIZE_H_
#define ALDERSILL_SRC_MEMBERSHIP_PACKET_SIZE_H_

#include <cstddef>

#include "membership/types.h"

namespace aldersill::membership {

std::size_t MaxEncodedSize(const Update& update);
std::size_t MaxEncodedSize(const GossipMessage& message);
// Of the packet's head and message, without what is piggybacked.
std::size_t MaxEncodedSize(const Packet& packet);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_PACKET_SIZE_H_
