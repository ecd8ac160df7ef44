// Reads how an instance begins: its seed and settings.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_

#include <cstdint>

#include "aldersill/dispatch/dispatcher.h"
#include "simulator_adapter/line.h"

namespace aldersill::simulator_adapter {

// How an instance begins.
struct InstanceSettings {
  std::uint64_t seed = 0;
  dispatch::Settings settings;
};

InstanceSettings ParseInstanceSettings(const Line& line);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
