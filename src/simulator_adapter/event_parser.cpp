#include "simulator_adapter/event_parser.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace aldersill::simulator_adapter {

using dispatch::Arrival;
using dispatch::AttemptEnded;
using dispatch::LoadReport;
using dispatch::Outcome;
using dispatch::ProbeDone;
using dispatch::Progress;
using dispatch::RequestId;
using dispatch::StreamStarted;
using dispatch::WorkerEntry;
using dispatch::WorkerList;

namespace {

constexpr double kMaxSlotsPerJob = 1e6;  // largest number of slots that a job may need

Outcome ParseOutcome(std::string_view value) {
  if (value == "delivered")
    return Outcome::kServed;
  if (value == "app_error")
    return Outcome::kError;
  if (value == "shed")
    return Outcome::kRejected;
  if (value == "expired")
    return Outcome::kTimeout;
  if (value == "dial_failed")
    return Outcome::kConnectFailed;
  if (value == "dropped")
    return Outcome::kLost;
  if (value == "revoked")
    return Outcome::kCancelled;
  if (value == "unused")
    return Outcome::kNotSent;
  ThrowMalformed("result", value, "a known outcome");
}

// Stores one value of a load report. The meaning of `x0` is a setting of the simulator; here it is the number
// of free slots. Values with other names, such as free memory, are ignored.
void SetReportValue(std::string_view name, double value, LoadReport* report) {
  if (name == "busy_reqs")
    report->running_jobs = value;
  else if (name == "pending")
    report->waiting = value;
  else if (name == "cpu_share")
    report->cpu_share = value;
  else if (name == "svc_ms")
    report->service_ms = value;
  else if (name == "served_ps")
    report->served_per_s = value;
  else if (name == "failed_ps")
    report->errors_per_s = value;
  else if (name == "x0")
    report->free_slots = value;
}

// Parses the field `stats`: name:value pairs separated by commas, or '-' for an empty report.
LoadReport ParseReport(const Line& line) {
  LoadReport report;
  std::string_view text = line.TextOr("stats", "");
  if (text == "-")
    return report;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos)
      ThrowMalformed("stats", pair, "a name:value pair");
    SetReportValue(pair.substr(0, colon), ParseNumber("stats", pair.substr(colon + 1)), &report);
  }
  return report;
}

RequestId ParseRequest(const Line& line) { return RequestId{static_cast<std::uint64_t>(line.Int("req"))}; }

int ParseAttempt(const Line& line) { return static_cast<int>(line.IntOr("shot", 0)); }

}  // namespace

WorkerEntry ParseWorker(const Line& line) {
  WorkerEntry entry;
  entry.worker = line.Text("executor");
  switch (line.Int("stageState")) {
    case 0:
      entry.state = WorkerEntry::State::kDraining;
      break;
    case 1:
      entry.state = WorkerEntry::State::kReady;
      break;
    case 2:
      entry.state = WorkerEntry::State::kGone;
      break;
    default:
      ThrowMalformed("stageState", line.Text("stageState"), "0, 1 or 2");
  }
  entry.weight = line.NumberOr("weight", entry.weight);
  entry.kind = line.TextOr("familyType", "");
  entry.zone = line.TextOr("area", "");
  entry.cell = static_cast<int>(line.IntOr("pod", 0));
  entry.since = line.IntOr("since", 0);
  return entry;
}

WorkerList::Form ParseListForm(const Line& line) {
  switch (line.IntOr("form", 0)) {
    case 0:
      return WorkerList::Form::kDelta;
    case 1:
      return WorkerList::Form::kFull;
    case 2:
      return WorkerList::Form::kCached;
    case 3:
      return WorkerList::Form::kFailed;
    default:
      ThrowMalformed("form", line.Text("form"), "0, 1, 2 or 3");
  }
}

Arrival ParseArrival(const Line& line) {
  Arrival arrival;
  arrival.request = ParseRequest(line);
  arrival.job_class = line.Text("class");
  arrival.tenant = line.TextOr("userGroup", "");
  if (line.Has("partitionKey"))
    arrival.key = static_cast<std::uint64_t>(line.Int("partitionKey"));
  arrival.time_left = line.Int("ttl");
  if (line.Has("work"))
    arrival.work = line.Int("work");
  const double slots = line.NumberOr("needs", 1.0);
  if (slots < 0.0 || slots > kMaxSlotsPerJob)
    ThrowMalformed("needs", line.Text("needs"), "a number of slots from 0 to 1000000");
  arrival.slots = std::max(1, static_cast<int>(std::ceil(slots)));
  arrival.is_retry = line.BoolOr("retry", false);
  return arrival;
}

StreamStarted ParseStreamStarted(const Line& line) {
  return {.request = ParseRequest(line), .attempt_number = ParseAttempt(line)};
}

Progress ParseProgress(const Line& line) {
  const bool started = line.Int("what") == 1;
  return {.request = ParseRequest(line),
          .attempt_number = ParseAttempt(line),
          .started = started,
          .share = line.NumberOr("x", 0.0)};
}

AttemptEnded ParseAttemptEnded(const Line& line) {
  return {.request = ParseRequest(line),
          .attempt_number = ParseAttempt(line),
          .outcome = ParseOutcome(line.Text("result")),
          .request_ended = line.BoolOr("last", false),
          .elapsed = line.IntOr("elapsed", 0),
          .report = ParseReport(line)};
}

ProbeDone ParseProbeDone(const Line& line) {
  return {.worker = std::string(line.Text("executor")),
          .outcome = ParseOutcome(line.Text("result")),
          .elapsed = line.IntOr("elapsed", 0),
          .report = ParseReport(line)};
}

}  // namespace aldersill::simulator_adapter
