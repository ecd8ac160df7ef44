// The bytes of a Faktory session that wait to be run as commands, and when they arrived.
#ifndef ALDERSILL_SRC_FAKTORY_COMMAND_INPUT_H_
#define ALDERSILL_SRC_FAKTORY_COMMAND_INPUT_H_

#include <event2/buffer.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/micros.h"
#include "net/request_memory.h"

namespace aldersill::faktory {

struct CommandLine {
  std::string text;       // without its line end
  Micros arrived_at = 0;  // when its last byte arrived
};

// Commands run one at a time, so pipelined ones wait here. The session keeps reading meanwhile: otherwise it
// would not notice that its peer has gone.
class CommandInput {
 public:
  // The most bytes that may wait in one session.
  static constexpr std::size_t kMaxBytes = std::size_t{1} << 20;

  // `buffer` and `memory` must outlive this object. `memory` limits the waiting bytes over all sessions.
  CommandInput(evbuffer* buffer, RequestMemory* memory) : buffer_(buffer), memory_(memory) {}

  // Records that the bytes in the buffer that are not recorded yet arrived at this time. Returns false if
  // more bytes wait than may.
  bool RecordArrival(Micros arrived_at);
  // Takes the next complete line; nothing if there is none.
  std::optional<CommandLine> TakeLine();
  // The bytes that wait.
  std::size_t size() const { return evbuffer_get_length(buffer_); }

 private:
  // All bytes up to `end`, counted from the first one of the session, arrived by `arrived_at`.
  struct Arrival {
    std::uint64_t end;
    Micros arrived_at;
  };
  Micros ArrivalOf(std::uint64_t end);

  evbuffer* buffer_;
  RequestMemory::Reservation memory_;
  std::uint64_t taken_bytes_ = 0;
  std::deque<Arrival> arrivals_;
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_COMMAND_INPUT_H_
