// Runs many dispatcher instances, isolated from one another, on one stream of batches of events.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_

#include <istream>
#include <ostream>

namespace aldersill::simulator_adapter {

// Reads batches of events from `in` and writes one reply to `out` for each, until the end of input. Returns
// 0; if the input is malformed, writes one message with the line number to `errors` and returns 1. Replies
// are written only as a whole.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_
