// The encoding of packets: one MessagePack array for each packet, the version first.
#ifndef ALDERSILL_SRC_MEMBERSHIP_CODEC_H_
#define ALDERSILL_SRC_MEMBERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/types.h"

namespace aldersill::membership {

std::string Encode(const Packet& packet);
// No value for bytes that are not a packet of this version, hold too many items, or an invalid name or
// address.
std::optional<Packet> Decode(std::string_view bytes);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_CODEC_H_
