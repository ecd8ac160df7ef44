// Where the final answers of one frontend's clients go.
#ifndef ALDERSILL_SRC_DAEMON_RESPONSE_SINK_H_
#define ALDERSILL_SRC_DAEMON_RESPONSE_SINK_H_

#include <cstdint>

#include "core/types.h"

namespace aldersill {

// Implemented by components that own a frontend; runs on the event loop's thread.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Writes the one answer to the client that this frontend numbered `client`.
  virtual void Reply(std::uint64_t client, const FinalAnswer& answer) = 0;
  // Whether the client has closed its connection, even if ClientLeft has not been posted yet.
  virtual bool HasLeft(std::uint64_t /*client*/) const { return false; }
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_RESPONSE_SINK_H_
