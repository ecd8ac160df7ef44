// What duties tell one another, as bytes within membership's packets: MessagePack. Decoded once, encoded
// once.
#ifndef ALDERSILL_SRC_DUTIES_CODEC_H_
#define ALDERSILL_SRC_DUTIES_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "duties/types.h"

namespace aldersill::duties {

// The worker's name goes beside it, as the rumor's key. Figures of the report are single precision.
std::string EncodeResult(const ProbeResult& result);
std::optional<ProbeResult> DecodeResult(const std::string& worker, std::string_view bytes);

std::string EncodeMessage(const DutyMessage& message);
std::optional<DutyMessage> DecodeMessage(std::string_view bytes);

}  // namespace aldersill::duties

#endif  // ALDERSILL_SRC_DUTIES_CODEC_H_
