// Writes the dispatcher's actions, and faults of instances, as lines of the simulator's text protocol.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_ACTION_WRITER_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_ACTION_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::simulator_adapter {

// Appends one action of the instance to `out` as a line, including the line end.
void WriteAction(std::int64_t instance, const dispatch::Action& action, std::string* out);
// Appends to `out` the line that reports that an instance has failed, including the line end.
void WriteFault(std::int64_t instance, std::string_view message, std::string* out);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_ACTION_WRITER_H_
