// Parses the line that starts an instance: its seed and settings.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_

#include <cstdint>

#include "aldersill/dispatch/dispatcher.h"
#include "simulator_adapter/line.h"

namespace aldersill::simulator_adapter {

struct InstanceSettings {
  std::uint64_t seed = 0;
  dispatch::Settings settings;
};

// Throws FormatError if a required field is missing or a field is malformed. Unknown fields are ignored.
// Whether the settings are valid is left to the dispatcher's constructor.
InstanceSettings ParseInstanceSettings(const Line& line);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
