// The MessagePack encoding of probe results and duty messages. The encoded bytes travel in membership's
// packets: results as gossip messages, duty messages as direct messages.
#ifndef ALDERSILL_SRC_DUTIES_CODEC_H_
#define ALDERSILL_SRC_DUTIES_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "duties/types.h"

namespace aldersill::duties {

// Encodes a result without the worker's name, which is the key of the gossip message. The fields of the load
// report are encoded in single precision.
std::string EncodeResult(const ProbeResult& result);
// Returns no value for bytes that are not a valid result.
std::optional<ProbeResult> DecodeResult(const std::string& worker, std::string_view bytes);

std::string EncodeMessage(const DutyMessage& message);
// Returns no value for bytes that are not a valid message.
std::optional<DutyMessage> DecodeMessage(std::string_view bytes);

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_CODEC_H_
