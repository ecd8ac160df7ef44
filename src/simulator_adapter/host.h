// Serves many dispatchers, isolated from one another, over one stream of batches of events.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_

#include <istream>
#include <ostream>

namespace aldersill::simulator_adapter {

// Serves batches until the end of input. Returns 0, or 1 after writing one message to `errors` when the input
// is malformed; `out` gets whole replies only.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_
