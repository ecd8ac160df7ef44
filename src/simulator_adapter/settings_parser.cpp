#include "simulator_adapter/settings_parser.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace aldersill::simulator_adapter {

using dispatch::ClassSettings;
using dispatch::KeyScope;
using dispatch::Repeat;
using dispatch::Settings;
using dispatch::TenantSettings;

namespace {

// Splits a text at its commas. An empty text gives an empty list.
std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    items.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return items;
}

// The item at this index of a list setting, or its last item if the list is shorter; nullopt if it is empty.
std::optional<std::string> ItemOrLast(const std::vector<std::string>& items, std::size_t index) {
  if (items.empty())
    return std::nullopt;
  return items[std::min(index, items.size() - 1)];
}

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
  const auto kind = ItemOrLast(SplitList(line.TextOr("familyInfo.classKind", "")), index);
  if (kind)
    job_class.kind = ParseAs<int>("familyInfo.classKind", *kind, "an integer");
  const auto priority = ItemOrLast(SplitList(line.TextOr("familyInfo.classPriority", "")), index);
  if (priority)
    job_class.priority = ParseAs<int>("familyInfo.classPriority", *priority, "an integer");
  const auto stretch = ItemOrLast(SplitList(line.TextOr("familyInfo.classStretch", "")), index);
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

// Parses the settings that describe the deployment: its workers, nodes and traffic.
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

// Parses the actions that a dispatcher may take, the parameters of the rules that it must keep, and the
// prices.
void ParseLimits(const Line& line, Settings* settings) {
  settings->probes = line.BoolOr("limits.probes", settings->probes);
  settings->cancel = line.BoolOr("limits.cancel", settings->cancel);
  settings->hedging = line.BoolOr("limits.secondCopies", settings->hedging);
  settings->retry_after = line.BoolOr("limits.retryAfter", settings->retry_after);
  settings->max_attempts = static_cast<int>(line.IntOr("limits.maxAttempts", settings->max_attempts));
  settings->max_retry_after = line.IntOr("limits.maxRetryAfter", settings->max_retry_after);
  settings->answer_slack = line.IntOr("rules.answerSlack", settings->answer_slack);
  settings->drain_grace = line.IntOr("rules.drainGrace", settings->drain_grace);
  settings->max_list_poll_interval = line.IntOr("rules.mustAskIn", settings->max_list_poll_interval);
  settings->overload_factor = line.NumberOr("rules.overloadFactor", settings->overload_factor);
  settings->overload_window = line.IntOr("rules.fall", settings->overload_window);
  settings->cold_capacity_share = line.NumberOr("rules.coldShare", settings->cold_capacity_share);
  settings->warm_after = line.IntOr("rules.warmAfter", settings->warm_after);
  settings->price_cross_zone = line.NumberOr("prices.crossZone", settings->price_cross_zone);
  settings->price_probe = line.NumberOr("prices.probe", settings->price_probe);
}

}  // namespace

InstanceSettings ParseInstanceSettings(const Line& line) {
  InstanceSettings parsed;
  // Some seeds use all 64 bits, so Line::Int(), which is signed, would reject them.
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

}  // namespace aldersill::simulator_adapter
