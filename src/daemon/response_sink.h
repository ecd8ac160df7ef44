// The interface through which a frontend receives the final answers for its clients.
#ifndef ALDERSILL_SRC_DAEMON_RESPONSE_SINK_H_
#define ALDERSILL_SRC_DAEMON_RESPONSE_SINK_H_

#include <cstdint>

#include "core/types.h"

namespace aldersill {

// Implemented by components that own a frontend. All functions run on the event loop's thread.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Writes the final answer to a client. `client`: the number that this frontend gave to the client.
  virtual void Reply(std::uint64_t client, const FinalAnswer& answer) = 0;
  // Returns whether the client has closed its connection, even if ClientLeft has not been posted yet.
  virtual bool ClientDisconnected(std::uint64_t /*client*/) const { return false; }
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_RESPONSE_SINK_H_
