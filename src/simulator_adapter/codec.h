// The simulator's wire: lines of tab-separated name=value parts. Reads events, writes actions, decides
// nothing.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_CODEC_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_CODEC_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"

namespace aldersill::dispatch::simulator {

// Malformed input; the text names what is wrong, the host adds the line number.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One line: its first part and its name=value parts. Views into the text it was parsed from.
class Line {
 public:
  explicit Line(std::string_view text);

  std::string_view tag() const { return tag_; }
  bool Has(std::string_view name) const { return !Find(name).empty(); }
  // Required fields throw WireError when missing or unparsable; optional ones only when unparsable.
  std::string_view Text(std::string_view name) const;
  std::string_view TextOr(std::string_view name, std::string_view fallback) const;
  std::int64_t Int(std::string_view name) const;
  std::int64_t IntOr(std::string_view name, std::int64_t fallback) const;
  double NumberOr(std::string_view name, double fallback) const;
  bool BoolOr(std::string_view name, bool fallback) const;

 private:
  std::string_view Find(std::string_view name) const;

  std::string_view tag_;
  std::vector<std::pair<std::string_view, std::string_view>> parts_;
};

struct Birth {
  std::uint64_t seed = 0;
  Settings settings;
};

Birth ParseBirth(const Line& line);
WorkerEntry ParseWorker(const Line& line);
WorkerList::Form ParseListForm(const Line& line);
Arrival ParseArrival(const Line& line);
StreamStarted ParseStreamStarted(const Line& line);
Progress ParseProgress(const Line& line);
AttemptEnded ParseAttemptEnded(const Line& line);
ProbeDone ParseProbeDone(const Line& line);

// Appends the line of one action, its end of line included.
void WriteAction(std::int64_t instance, const Action& action, std::string* out);
void WriteFault(std::int64_t instance, std::string_view message, std::string* out);

}  // namespace aldersill::dispatch::simulator

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_CODEC_H_
