#include "simulator_adapter/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace aldersill::simulator_adapter {

using dispatch::Action;
using dispatch::Arrival;
using dispatch::AttemptEnded;
using dispatch::Cancel;
using dispatch::ClassSettings;
using dispatch::Fail;
using dispatch::KeyScope;
using dispatch::LoadReport;
using dispatch::Log;
using dispatch::Outcome;
using dispatch::Probe;
using dispatch::ProbeDone;
using dispatch::Progress;
using dispatch::Refuse;
using dispatch::Repeat;
using dispatch::RequestId;
using dispatch::Send;
using dispatch::SetTimer;
using dispatch::Settings;
using dispatch::StreamStarted;
using dispatch::SubscribeList;
using dispatch::TenantSettings;
using dispatch::WorkerEntry;
using dispatch::WorkerList;

namespace {

[[noreturn]] void ThrowMalformed(std::string_view name, std::string_view value, std::string_view wanted) {
  throw FormatError("field " + std::string(name) + ": '" + std::string(value) + "' is not " +
                    std::string(wanted));
}

template <typename T>
T ParseAs(std::string_view name, std::string_view value, std::string_view wanted) {
  T parsed{};
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
  if (error != std::errc() || end != value.data() + value.size())
    ThrowMalformed(name, value, wanted);
  return parsed;
}

double ParseNumber(std::string_view name, std::string_view value) {
  const auto number = ParseAs<double>(name, value, "a number");
  if (!std::isfinite(number))
    ThrowMalformed(name, value, "a finite number");
  return number;
}

bool ParseBool(std::string_view name, std::string_view value) {
  if (value == "1" || value == "true")
    return true;
  if (value == "0" || value == "false")
    return false;
  ThrowMalformed(name, value, "a bool");
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    items.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return items;
}

// The item at this index of a list setting; where the list is shorter its last item stands for the rest.
std::optional<std::string> ItemOf(const std::vector<std::string>& items, std::size_t index) {
  if (items.empty())
    return std::nullopt;
  return items[std::min(index, items.size() - 1)];
}

Outcome ParseOutcome(std::string_view value) {
  if (value == "delivered")
    return Outcome::kServed;
  if (value == "app_error")
    return Outcome::kError;
  if (value == "shed")
    return Outcome::kFull;
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
  ThrowMalformed("result", value, "an outcome code");
}

// One value of a load report. What `x0` stands for is a setting of the simulator: the free slots. Values of
// other names, such as free memory, are ignored.
void SetReportValue(std::string_view name, double value, LoadReport* report) {
  if (name == "busy_reqs")
    report->in_work = value;
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

Repeat ParseRepeat(const Line& line, const std::string& field) {
  const std::string_view repeat = line.TextOr(field, "fragile");
  if (repeat == "retryable")
    return Repeat::kRepeatable;
  if (repeat == "dedup")
    return Repeat::kKeyed;
  if (repeat != "fragile")
    ThrowMalformed(field, repeat, "retryable, dedup or fragile");
  return Repeat::kUnsafe;
}

KeyScope ParseScope(const Line& line, const std::string& field) {
  const std::string_view scope = line.TextOr(field, "all");
  if (scope == "zone")
    return KeyScope::kZone;
  if (scope == "cell")
    return KeyScope::kCell;
  if (scope != "all")
    ThrowMalformed(field, scope, "all, zone or cell");
  return KeyScope::kAll;
}

ClassSettings ParseClass(const Line& line, std::size_t index) {
  const std::string prefix = "grades." + std::to_string(index) + ".";
  ClassSettings job_class;
  job_class.name = line.Text(prefix + "name");
  job_class.target = line.IntOr(prefix + "target", job_class.target);
  job_class.deadline = line.IntOr(prefix + "deadline", job_class.deadline);
  job_class.priority_weight = line.NumberOr(prefix + "worth", job_class.priority_weight);
  job_class.late_priority_weight = line.NumberOr(prefix + "lateValue", job_class.late_priority_weight);
  job_class.window = line.IntOr(prefix + "dedupWindow", job_class.window);
  job_class.streaming = line.BoolOr(prefix + "streaming", job_class.streaming);
  job_class.repeat = ParseRepeat(line, prefix + "repeat");
  job_class.scope = ParseScope(line, prefix + "dedupScope");
  const auto kind = ItemOf(SplitList(line.TextOr("familyInfo.classKind", "")), index);
  if (kind)
    job_class.kind = ParseAs<int>("familyInfo.classKind", *kind, "an integer");
  const auto priority = ItemOf(SplitList(line.TextOr("familyInfo.classPriority", "")), index);
  if (priority)
    job_class.priority = ParseAs<int>("familyInfo.classPriority", *priority, "an integer");
  const auto stretch = ItemOf(SplitList(line.TextOr("familyInfo.classStretch", "")), index);
  if (stretch)
    job_class.stretch = ParseNumber("familyInfo.classStretch", *stretch);
  job_class.stretch = line.NumberOr(prefix + "aimStretch", job_class.stretch);
  return job_class;
}

TenantSettings ParseTenant(const Line& line, std::size_t index) {
  const std::string prefix = "tenants." + std::to_string(index) + ".";
  TenantSettings tenant;
  tenant.name = line.Text(prefix + "name");
  tenant.share = line.NumberOr(prefix + "share", tenant.share);
  if (line.Has(prefix + "quotaPerS"))
    tenant.quota_per_s = line.NumberOr(prefix + "quotaPerS", 0.0);
  return tenant;
}

// What the deployment tells of workers and traffic.
void ParseDeployment(const Line& line, Settings* settings) {
  settings->kinds = SplitList(line.TextOr("machineTypes", ""));
  settings->zones = SplitList(line.TextOr("zones", ""));
  settings->zone = line.TextOr("locality", "");
  settings->nodes = static_cast<int>(line.IntOr("peersTotal", settings->nodes));
  settings->over_share_priority_weight =
      line.NumberOr("overShareWorth", settings->over_share_priority_weight);
  settings->priority_weight_by_work = line.TextOr("valueBy", "request") == "work";
  settings->subscribe = line.TextOr("discovery", "automatic") == "subscribe";
  settings->reports_start = line.BoolOr("familyInfo.tellsStart", settings->reports_start);
  settings->progress = line.IntOr("familyInfo.progress", settings->progress);
  const std::string_view reports = line.TextOr("report.how", "silent");
  if (reports == "piggyback")
    settings->reports = Settings::Reports::kWithAnswers;
  if (reports == "pull")
    settings->reports = Settings::Reports::kProbesOnly;
}

// What a dispatcher may do, the rules it has to keep and the prices.
void ParseLimits(const Line& line, Settings* settings) {
  settings->probes = line.BoolOr("limits.probes", settings->probes);
  settings->cancel = line.BoolOr("limits.cancel", settings->cancel);
  settings->second_copies = line.BoolOr("limits.secondCopies", settings->second_copies);
  settings->retry_after = line.BoolOr("limits.retryAfter", settings->retry_after);
  settings->max_attempts = static_cast<int>(line.IntOr("limits.maxAttempts", settings->max_attempts));
  settings->max_retry_after = line.IntOr("limits.maxRetryAfter", settings->max_retry_after);
  settings->answer_slack = line.IntOr("rules.answerSlack", settings->answer_slack);
  settings->drain_grace = line.IntOr("rules.drainGrace", settings->drain_grace);
  settings->must_ask_in = line.IntOr("rules.mustAskIn", settings->must_ask_in);
  settings->overload_factor = line.NumberOr("rules.overloadFactor", settings->overload_factor);
  settings->fall = line.IntOr("rules.fall", settings->fall);
  settings->cold_share = line.NumberOr("rules.coldShare", settings->cold_share);
  settings->warm_after = line.IntOr("rules.warmAfter", settings->warm_after);
  settings->price_cross_zone = line.NumberOr("prices.crossZone", settings->price_cross_zone);
  settings->price_probe = line.NumberOr("prices.probe", settings->price_probe);
}

class ActionWriter {
 public:
  ActionWriter(std::int64_t instance, std::string* out) : instance_(instance), out_(out) {}

  void operator()(const Send& send) {
    Begin("forward");
    Field("req", static_cast<std::uint64_t>(send.request));
    Field("executor", send.worker);
    if (send.give_up_at != 0)
      Field("stopAt", send.give_up_at);
  }
  void operator()(const Cancel& cancel) {
    Begin("stop_attempt");
    Field("req", static_cast<std::uint64_t>(cancel.request));
    Field("shot", cancel.attempt_number);
  }
  void operator()(const Refuse& rejection) {
    Begin("shed");
    Field("req", static_cast<std::uint64_t>(rejection.request));
    if (rejection.retry_after > 0)
      Field("notBeforeFor", rejection.retry_after);
  }
  void operator()(const Fail& failure) {
    Begin("lose");
    Field("req", static_cast<std::uint64_t>(failure.request));
  }
  void operator()(const SetTimer& timer) {
    Begin("sleep");
    Field("sleepFor", timer.delay);
    Field("token", timer.token);
  }
  void operator()(const Probe& probe) {
    Begin("poll");
    Field("executor", probe.worker);
  }
  void operator()(const SubscribeList& /*subscribe*/) {
    Begin("stream_changes");
    Field("on", 1);
  }
  void operator()(const Log& log) {
    Begin("write_log");
    Field("message", OneLine(log.text));
  }

  void Begin(std::string_view tag) {
    out_->append(tag);
    Field("who", instance_);
  }
  template <typename T>
  void Field(std::string_view name, const T& value) {
    out_->append("\t").append(name).append("=");
    if constexpr (std::is_arithmetic_v<T>) {
      char digits[24];
      const auto end = std::to_chars(digits, digits + sizeof(digits), value).ptr;
      out_->append(digits, end);
    } else {
      out_->append(value);
    }
  }
  static std::string OneLine(std::string_view text) {
    std::string line(text);
    std::replace_if(
        line.begin(), line.end(),
        [](char character) { return character == '\n' || character == '\t' || character == '\r'; }, ' ');
    return line;
  }

 private:
  std::int64_t instance_;
  std::string* out_;
};

}  // namespace

Line::Line(std::string_view text) {
  if (!text.empty() && text.back() == '\r')
    text.remove_suffix(1);
  bool first = true;
  while (true) {
    const std::size_t tab = text.find('\t');
    const std::string_view part = text.substr(0, tab);
    if (first) {
      tag_ = part;
    } else if (const std::size_t equals = part.find('='); equals != std::string_view::npos) {
      fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    } else {
      throw FormatError("part '" + std::string(part) + "' of " + std::string(tag_) + " is not name=value");
    }
    first = false;
    if (tab == std::string_view::npos)
      return;
    text.remove_prefix(tab + 1);
  }
}

std::string_view Line::Find(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (key == name)
      return value;
  }
  return {};
}

std::string_view Line::Text(std::string_view name) const {
  const std::string_view value = Find(name);
  if (value.empty())
    throw FormatError("field " + std::string(name) + " of " + std::string(tag_) + " is missing");
  return value;
}

std::string_view Line::TextOr(std::string_view name, std::string_view fallback) const {
  const std::string_view value = Find(name);
  return value.empty() ? fallback : value;
}

std::int64_t Line::Int(std::string_view name) const {
  const auto value = ParseAs<std::int64_t>(name, Text(name), "an integer");
  if (value < 0)
    ThrowMalformed(name, Text(name), "zero or more");
  return value;
}

std::int64_t Line::IntOr(std::string_view name, std::int64_t fallback) const {
  return Has(name) ? Int(name) : fallback;
}

double Line::NumberOr(std::string_view name, double fallback) const {
  return Has(name) ? ParseNumber(name, Find(name)) : fallback;
}

bool Line::BoolOr(std::string_view name, bool fallback) const {
  return Has(name) ? ParseBool(name, Find(name)) : fallback;
}

InstanceSettings ParseInstanceSettings(const Line& line) {
  InstanceSettings parsed;
  // Some seeds use all 64 bits.
  parsed.seed = ParseAs<std::uint64_t>("nonce64", line.Text("nonce64"), "an integer");
  const auto classes = static_cast<std::size_t>(line.IntOr("grades.count", 0));
  for (std::size_t i = 0; i < classes; ++i)
    parsed.settings.classes.push_back(ParseClass(line, i));
  const auto tenants = static_cast<std::size_t>(line.IntOr("tenants.count", 0));
  for (std::size_t i = 0; i < tenants; ++i)
    parsed.settings.tenants.push_back(ParseTenant(line, i));
  ParseDeployment(line, &parsed.settings);
  ParseLimits(line, &parsed.settings);
  return parsed;
}

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
  constexpr double kMostSlots = 1e6;
  if (slots < 0.0 || slots > kMostSlots)
    ThrowMalformed("needs", line.Text("needs"), "a number of slots");
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

void WriteAction(std::int64_t instance, const Action& action, std::string* out) {
  std::visit(ActionWriter(instance, out), action);
  out->push_back('\n');
}

void WriteFault(std::int64_t instance, std::string_view message, std::string* out) {
  ActionWriter writer(instance, out);
  writer.Begin("broken");
  writer.Field("message", ActionWriter::OneLine(message));
  out->push_back('\n');
}

}  // namespace aldersill::simulator_adapter
