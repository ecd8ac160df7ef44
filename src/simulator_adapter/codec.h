// The simulator's line format: tab-separated name=value fields after a tag. Parses events and settings,
// writes actions and decides nothing.
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

namespace aldersill::simulator_adapter {

// Malformed input; the text names what is wrong, the server adds the line number.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One line: its tag and its fields, as views into the text that it was parsed from.
class Line {
 public:
  explicit Line(std::string_view text);

  std::string_view tag() const { return tag_; }
  bool Has(std::string_view name) const { return !Find(name).empty(); }
  // Required fields throw FormatError when missing or malformed; optional ones only when malformed.
  std::string_view Text(std::string_view name) const;
  std::string_view TextOr(std::string_view name, std::string_view fallback) const;
  std::int64_t Int(std::string_view name) const;
  std::int64_t IntOr(std::string_view name, std::int64_t fallback) const;
  double NumberOr(std::string_view name, double fallback) const;
  bool BoolOr(std::string_view name, bool fallback) const;

 private:
  std::string_view Find(std::string_view name) const;

  std::string_view tag_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// How an instance begins.
struct InstanceSettings {
  std::uint64_t seed = 0;
  dispatch::Settings settings;
};

InstanceSettings ParseInstanceSettings(const Line& line);
dispatch::WorkerEntry ParseWorker(const Line& line);
dispatch::WorkerList::Form ParseListForm(const Line& line);
dispatch::Arrival ParseArrival(const Line& line);
dispatch::StreamStarted ParseStreamStarted(const Line& line);
dispatch::Progress ParseProgress(const Line& line);
dispatch::AttemptEnded ParseAttemptEnded(const Line& line);
dispatch::ProbeDone ParseProbeDone(const Line& line);

// Appends the line of one action with its line end.
void WriteAction(std::int64_t instance, const dispatch::Action& action, std::string* out);
// Appends the line that reports that an instance has failed, with its line end.
void WriteFault(std::int64_t instance, std::string_view message, std::string* out);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_CODEC_H_
