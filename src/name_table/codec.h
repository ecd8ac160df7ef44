// Discovery's list as the platform writes it, in its answers and in the configuration alike.
#ifndef ALDERSILL_SRC_NAME_TABLE_CODEC_H_
#define ALDERSILL_SRC_NAME_TABLE_CODEC_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace aldersill {

struct NameTableMessage {
  std::uint64_t version = 0;
  bool full = false;
  std::vector<WorkerEndpoint> workers;
};
// Both throw BadMessage (net/json_message.h).
NameTableMessage DecodeNameTable(const nlohmann::json& json);
NameTableMessage DecodeNameTable(std::string_view body);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NAME_TABLE_CODEC_H_
