#include "simulator_adapter/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace aldersill::dispatch::simulator {
namespace {

[[noreturn]] void Bad(std::string_view name, std::string_view value, std::string_view wanted) {
  throw WireError("field " + std::string(name) + ": '" + std::string(value) + "' is not " +
                  std::string(wanted));
}

template <typename T>
T ParseAs(std::string_view name, std::string_view value, std::string_view wanted) {
  T parsed{};
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
  if (error != std::errc() || end != value.data() + value.size())
    Bad(name, value, wanted);
  return parsed;
}

double ParseNumber(std::string_view name, std::string_view value) {
  const auto number = ParseAs<double>(name, value, "a number");
  if (!std::isfinite(number))
    Bad(name, value, "a finite number");
  return number;
}

bool ParseBool(std::string_view name, std::string_view value) {
  if (value == "1" || value == "true")
    return true;
  if (value == "0" || value == "false")
    return false;
  Bad(name, value, "a bool");
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

// The i-th of a list setting that may be shorter: its last item then serves for the rest.
std::optional<std::string> ItemOf(const std::vector<std::string>& items, std::size_t i) {
  if (items.empty())
    return std::nullopt;
  return items[std::min(i, items.size() - 1)];
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
  Bad("result", value, "an outcome code");
}

// What `x0` stands for is a setting; only free slots have a place in our vocabulary, and free memory none.
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
      Bad("stats", pair, "a name:value pair");
    const std::string_view name = pair.substr(0, colon);
    const double value = ParseNumber("stats", pair.substr(colon + 1));
    if (name == "busy_reqs")
      report.in_work = value;
    if (name == "pending")
      report.waiting = value;
    if (name == "cpu_share")
      report.cpu_share = value;
    if (name == "svc_ms")
      report.service_ms = value;
    if (name == "served_ps")
      report.served_per_s = value;
    if (name == "failed_ps")
      report.errors_per_s = value;
    if (name == "x0")
      report.free_slots = value;
  }
  return report;
}

RequestId ParseRequest(const Line& line) { return RequestId{static_cast<std::uint64_t>(line.Int("req"))}; }

int ParseAttempt(const Line& line) { return static_cast<int>(line.IntOr("shot", 0)); }

ClassSettings ParseClass(const Line& line, std::size_t i) {
  const std::string at = "grades." + std::to_string(i) + ".";
  ClassSettings c;
  c.name = line.Text(at + "name");
  c.target = line.IntOr(at + "target", c.target);
  c.deadline = line.IntOr(at + "deadline", c.deadline);
  c.priority_weight = line.NumberOr(at + "worth", c.priority_weight);
  c.late_priority_weight = line.NumberOr(at + "lateValue", c.late_priority_weight);
  c.window = line.IntOr(at + "dedupWindow", c.window);
  c.streaming = line.BoolOr(at + "streaming", c.streaming);
  const std::string_view repeat = line.TextOr(at + "repeat", "fragile");
  if (repeat == "retryable") {
    c.repeat = Repeat::kRepeatable;
  } else if (repeat == "dedup") {
    c.repeat = Repeat::kKeyed;
  } else if (repeat != "fragile") {
    Bad(at + "repeat", repeat, "retryable, dedup or fragile");
  }
  const std::string_view scope = line.TextOr(at + "dedupScope", "all");
  if (scope == "zone") {
    c.scope = KeyScope::kZone;
  } else if (scope == "cell") {
    c.scope = KeyScope::kCell;
  } else if (scope != "all") {
    Bad(at + "dedupScope", scope, "all, zone or cell");
  }
  const auto kind = ItemOf(SplitList(line.TextOr("familyInfo.classKind", "")), i);
  if (kind)
    c.kind = ParseAs<int>("familyInfo.classKind", *kind, "an integer");
  const auto priority = ItemOf(SplitList(line.TextOr("familyInfo.classPriority", "")), i);
  if (priority)
    c.priority = ParseAs<int>("familyInfo.classPriority", *priority, "an integer");
  const auto stretch = ItemOf(SplitList(line.TextOr("familyInfo.classStretch", "")), i);
  if (stretch)
    c.stretch = ParseNumber("familyInfo.classStretch", *stretch);
  c.stretch = line.NumberOr(at + "aimStretch", c.stretch);
  return c;
}

class ActionWriter {
 public:
  ActionWriter(std::int64_t instance, std::string* out) : instance_(instance), out_(out) {}

  void operator()(const Send& a) {
    Begin("forward");
    Field("req", static_cast<std::uint64_t>(a.request));
    Field("executor", a.worker);
    if (a.give_up_at != 0)
      Field("stopAt", a.give_up_at);
  }
  void operator()(const Cancel& a) {
    Begin("stop_attempt");
    Field("req", static_cast<std::uint64_t>(a.request));
    Field("shot", a.attempt_number);
  }
  void operator()(const Refuse& a) {
    Begin("shed");
    Field("req", static_cast<std::uint64_t>(a.request));
    if (a.retry_after > 0)
      Field("notBeforeFor", a.retry_after);
  }
  void operator()(const Fail& a) {
    Begin("lose");
    Field("req", static_cast<std::uint64_t>(a.request));
  }
  void operator()(const SetTimer& a) {
    Begin("sleep");
    Field("sleepFor", a.delay);
    Field("token", a.token);
  }
  void operator()(const Probe& a) {
    Begin("poll");
    Field("executor", a.worker);
  }
  void operator()(const SubscribeList&) {
    Begin("stream_changes");
    Field("on", 1);
  }
  void operator()(const Log& a) {
    Begin("write_log");
    Field("message", OneLine(a.text));
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
        line.begin(), line.end(), [](char c) { return c == '\n' || c == '\t' || c == '\r'; }, ' ');
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
      parts_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    } else {
      throw WireError("part '" + std::string(part) + "' of " + std::string(tag_) + " is not name=value");
    }
    first = false;
    if (tab == std::string_view::npos)
      return;
    text.remove_prefix(tab + 1);
  }
}

std::string_view Line::Find(std::string_view name) const {
  for (const auto& [key, value] : parts_) {
    if (key == name)
      return value;
  }
  return {};
}

std::string_view Line::Text(std::string_view name) const {
  const std::string_view value = Find(name);
  if (value.empty())
    throw WireError("field " + std::string(name) + " of " + std::string(tag_) + " is missing");
  return value;
}

std::string_view Line::TextOr(std::string_view name, std::string_view fallback) const {
  const std::string_view value = Find(name);
  return value.empty() ? fallback : value;
}

std::int64_t Line::Int(std::string_view name) const {
  const auto value = ParseAs<std::int64_t>(name, Text(name), "an integer");
  if (value < 0)
    Bad(name, Text(name), "zero or more");
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

Birth ParseBirth(const Line& line) {
  Birth birth;
  // Some nonces use all 64 bits.
  birth.seed = ParseAs<std::uint64_t>("nonce64", line.Text("nonce64"), "an integer");
  Settings& s = birth.settings;
  const auto classes = static_cast<std::size_t>(line.IntOr("grades.count", 0));
  for (std::size_t i = 0; i < classes; ++i)
    s.classes.push_back(ParseClass(line, i));
  const auto tenants = static_cast<std::size_t>(line.IntOr("tenants.count", 0));
  for (std::size_t i = 0; i < tenants; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    TenantSettings& t = s.tenants.emplace_back();
    t.name = line.Text(at + "name");
    t.share = line.NumberOr(at + "share", t.share);
    if (line.Has(at + "quotaPerS"))
      t.quota_per_s = line.NumberOr(at + "quotaPerS", 0.0);
  }
  s.kinds = SplitList(line.TextOr("machineTypes", ""));
  s.zones = SplitList(line.TextOr("zones", ""));
  s.zone = line.TextOr("locality", "");
  s.nodes = static_cast<int>(line.IntOr("peersTotal", s.nodes));
  s.over_share_priority_weight = line.NumberOr("overShareWorth", s.over_share_priority_weight);
  s.priority_weight_by_work = line.TextOr("valueBy", "request") == "work";
  s.subscribe = line.TextOr("discovery", "automatic") == "subscribe";
  s.reports_start = line.BoolOr("familyInfo.tellsStart", s.reports_start);
  s.progress = line.IntOr("familyInfo.progress", s.progress);
  const std::string_view reports = line.TextOr("report.how", "silent");
  if (reports == "piggyback")
    s.reports = Settings::Reports::kWithAnswers;
  if (reports == "pull")
    s.reports = Settings::Reports::kProbesOnly;
  s.probes = line.BoolOr("limits.probes", s.probes);
  s.cancel = line.BoolOr("limits.cancel", s.cancel);
  s.second_copies = line.BoolOr("limits.secondCopies", s.second_copies);
  s.retry_after = line.BoolOr("limits.retryAfter", s.retry_after);
  s.max_attempts = static_cast<int>(line.IntOr("limits.maxAttempts", s.max_attempts));
  s.max_retry_after = line.IntOr("limits.maxRetryAfter", s.max_retry_after);
  s.answer_slack = line.IntOr("rules.answerSlack", s.answer_slack);
  s.drain_grace = line.IntOr("rules.drainGrace", s.drain_grace);
  s.must_ask_in = line.IntOr("rules.mustAskIn", s.must_ask_in);
  s.overload_factor = line.NumberOr("rules.overloadFactor", s.overload_factor);
  s.fall = line.IntOr("rules.fall", s.fall);
  s.cold_share = line.NumberOr("rules.coldShare", s.cold_share);
  s.warm_after = line.IntOr("rules.warmAfter", s.warm_after);
  s.price_cross_zone = line.NumberOr("prices.crossZone", s.price_cross_zone);
  s.price_probe = line.NumberOr("prices.probe", s.price_probe);
  return birth;
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
      Bad("stageState", line.Text("stageState"), "0, 1 or 2");
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
      Bad("form", line.Text("form"), "0, 1, 2 or 3");
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
    Bad("needs", line.Text("needs"), "a number of slots");
  arrival.slots = std::max(1, static_cast<int>(std::ceil(slots)));
  arrival.is_retry = line.BoolOr("retry", false);
  return arrival;
}

StreamStarted ParseStreamStarted(const Line& line) { return {ParseRequest(line), ParseAttempt(line)}; }

Progress ParseProgress(const Line& line) {
  const std::int64_t what = line.Int("what");
  return {ParseRequest(line), ParseAttempt(line), what == 1, line.NumberOr("x", 0.0)};
}

AttemptEnded ParseAttemptEnded(const Line& line) {
  return {ParseRequest(line),         ParseAttempt(line),       ParseOutcome(line.Text("result")),
          line.BoolOr("last", false), line.IntOr("elapsed", 0), ParseReport(line)};
}

ProbeDone ParseProbeDone(const Line& line) {
  return {std::string(line.Text("executor")), ParseOutcome(line.Text("result")), line.IntOr("elapsed", 0),
          ParseReport(line)};
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

}  // namespace aldersill::dispatch::simulator
