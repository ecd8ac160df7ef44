// Packets as bytes: MessagePack, one array for each packet, version first. Decoded once, encoded once.
#ifndef ALDERSILL_SRC_MEMBERSHIP_CODEC_H_
#define ALDERSILL_SRC_MEMBERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/types.h"

namespace aldersill::membership {

std::string Encode(const Packet& packet);
// Nothing for bytes that are no packet of this version, hold too much or a name or an address that none can
// have.
std::optional<Packet> Decode(std::string_view bytes);

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_CODEC_H_
