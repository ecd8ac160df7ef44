// The encoding of probe results and duty messages, in MessagePack. Membership's packets carry the bytes.
#ifndef ALDERSILL_SRC_DUTIES_CODEC_H_
#define ALDERSILL_SRC_DUTIES_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "duties/types.h"

namespace aldersill::duties {

// Without the worker's name, which is the gossip message's key. Figures of the report have single precision.
std::string EncodeResult(const ProbeResult& result);
std::optional<ProbeResult> DecodeResult(const std::string& worker, std::string_view bytes);

std::string EncodeMessage(const DutyMessage& message);
std::optional<DutyMessage> DecodeMessage(std::string_view bytes);

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_CODEC_H_
