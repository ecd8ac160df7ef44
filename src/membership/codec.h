// The encoding of packets: each packet is one MessagePack array that starts with the version of the format.
#ifndef ALDERSILL_SRC_MEMBERSHIP_CODEC_H_
#define ALDERSILL_SRC_MEMBERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/types.h"

namespace aldersill::membership {

std::string Encode(const Packet& packet);
// Returns no value if the bytes are not a packet of this version, or if a list in it is too long or a name or
// an address is invalid.
std::optional<Packet> Decode(std::string_view bytes);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_CODEC_H_
