// Runs many isolated dispatchers over one stream of batches.
#ifndef PULLEYROUTER_WIRE_SRC_HOST_H_
#define PULLEYROUTER_WIRE_SRC_HOST_H_

#include <istream>
#include <ostream>

namespace pulleyrouter::wire {

// Serves batches until the end of input. Returns 0, or 1 after writing one message to `errors` when the input
// is malformed; `out` never carries anything but whole replies.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace pulleyrouter::wire

#endif  // PULLEYROUTER_WIRE_SRC_HOST_H_
