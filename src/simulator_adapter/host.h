// Runs many isolated dispatchers over one stream of batches.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_

#include <istream>
#include <ostream>

namespace aldersill::dispatch::simulator {

// Serves batches until the end of input. Returns 0, or 1 after writing one message to `errors` when the input
// is malformed; `out` never carries anything but whole replies.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace aldersill::dispatch::simulator

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_HOST_H_
