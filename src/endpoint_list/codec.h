// Decodes discovery's endpoint list from the platform's JSON, which discovery's answers and the configuration
// share.
#ifndef ALDERSILL_SRC_ENDPOINT_LIST_CODEC_H_
#define ALDERSILL_SRC_ENDPOINT_LIST_CODEC_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace aldersill {

struct EndpointListMessage {
  std::uint64_t version = 0;
  bool full = false;  // the complete list; otherwise only changes
  std::vector<WorkerEndpoint> workers;
};
// Both throw BadMessage (net/json_message.h), which says what is wrong.
EndpointListMessage DecodeEndpointList(const nlohmann::json& json);
EndpointListMessage DecodeEndpointList(std::string_view body);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_ENDPOINT_LIST_CODEC_H_
