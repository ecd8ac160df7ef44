#include "faktory/command_input.h"

#include <cstdlib>

namespace aldersill::faktory {
namespace {

// Bytes that arrive within this time count as arrived with the first of them, which limits the number of
// recorded arrivals.
constexpr Micros kArrivalResolution = 10 * kMillisecond;

}  // namespace

bool CommandInput::RecordArrival(Micros arrived_at) {
  const std::uint64_t end = taken_bytes_ + size();
  const std::uint64_t recorded = arrivals_.empty() ? taken_bytes_ : arrivals_.back().end;
  if (end > recorded) {
    if (!arrivals_.empty() && arrived_at - arrivals_.back().arrived_at < kArrivalResolution)
      arrivals_.back().end = end;
    else
      arrivals_.push_back({.end = end, .arrived_at = arrived_at});
  }
  return memory_.Resize(size()) && size() <= kMaxBytes;
}

std::optional<CommandLine> CommandInput::TakeLine() {
  const std::size_t size_before = size();
  std::size_t length = 0;
  char* line = evbuffer_readln(buffer_, &length, EVBUFFER_EOL_CRLF);
  if (line == nullptr)
    return std::nullopt;
  CommandLine command{.text = std::string(line, length)};
  std::free(line);
  taken_bytes_ += size_before - size();
  memory_.Resize(size());
  command.arrived_at = ArrivalOf(taken_bytes_);
  return command;
}

// Forgets the arrivals of bytes that were taken before.
Micros CommandInput::ArrivalOf(std::uint64_t end) {
  while (arrivals_.size() > 1 && arrivals_.front().end < end)
    arrivals_.pop_front();
  return arrivals_.empty() ? 0 : arrivals_.front().arrived_at;
}

}  // namespace aldersill::faktory
