#include "config/dispatch_settings_reader.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace aldersill {
namespace {

// Returns item `index` of the list, the last item if the list is shorter, or nullopt if it is empty.
std::optional<JsonField> ItemOrLast(const JsonField& list, std::size_t index) {
  const std::vector<JsonField> items = list.Items();
  if (items.empty())
    return std::nullopt;
  return items[std::min(index, items.size() - 1)];
}

std::vector<std::string> ReadNames(const JsonField& list) {
  std::vector<std::string> names;
  for (const JsonField& item : list.Items())
    names.push_back(item.Text());
  return names;
}

// Reads whether requests of the class may be repeated, and the time window and scope in which an idempotency
// key is recognized.
void ReadIdempotency(const JsonField& field, dispatch::ClassSettings* settings) {
  using dispatch::KeyScope;
  using dispatch::Repeat;
  settings->repeat = ReadChoice<Repeat>(
      field["repeat"], "",
      {{"retryable", Repeat::kRepeatable}, {"dedup", Repeat::kKeyed}, {"fragile", Repeat::kUnsafe}});
  const JsonField window = field["dedupWindow"];
  settings->window = settings->repeat == Repeat::kKeyed
                         ? window.Required("a time in microseconds").PositiveDuration(0)
                         : window.Duration(settings->window);
  settings->scope =
      ReadChoice<KeyScope>(field["dedupScope"], "all",
                           {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}});
}

// Reads the settings that `familyInfo` gives as lists indexed by class.
void ReadFamilyInfo(const JsonField& family, std::size_t index, int kind_count,
                    dispatch::ClassSettings* settings) {
  if (const auto kind = ItemOrLast(family["classKind"], index)) {
    settings->kind = kind->IntAtLeast(-1, -1);
    if (settings->kind >= kind_count)
      kind->ThrowBadValue("names no machine type");
  }
  if (const auto priority = ItemOrLast(family["classPriority"], index))
    settings->priority = priority->Int(0);
  if (const auto stretch = ItemOrLast(family["classStretch"], index))
    settings->stretch = stretch->NonNegative(0.0);
}

// The fields that define a class are required, because a default would apply the rules of another class to
// its requests.
dispatch::ClassSettings ReadClass(const JsonField& field, const JsonField& family, std::size_t index,
                                  int kind_count) {
  dispatch::ClassSettings settings;
  const std::string time = "a time in microseconds";
  settings.name = field["name"].Text();
  settings.target = field["target"].Required(time).PositiveDuration(0);
  settings.deadline = field["deadline"].Required(time).PositiveDuration(0);
  settings.priority_weight = field["worth"].NonNegative(settings.priority_weight);
  settings.late_priority_weight = field["lateValue"].Fraction(settings.late_priority_weight);
  settings.streaming = field["streaming"].Bool(settings.streaming);
  ReadIdempotency(field, &settings);
  ReadFamilyInfo(family, index, kind_count, &settings);
  settings.stretch = field["aimStretch"].NonNegative(settings.stretch);
  return settings;
}

void ReadClasses(const JsonField& field, dispatch::Settings* settings) {
  const JsonField list = field["grades"];
  const std::vector<JsonField> classes = list.Items();
  if (!list.present())
    list.ThrowMissing("the list of classes, each with its name");
  if (classes.empty())
    list.ThrowBadValue("must name at least one class");
  settings->kinds = ReadNames(field["machineTypes"]);
  const int kind_count = static_cast<int>(settings->kinds.size());
  std::set<std::string> names;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    settings->classes.push_back(ReadClass(classes[i], field["familyInfo"], i, kind_count));
    if (!names.insert(settings->classes.back().name).second)
      classes[i]["name"].ThrowBadValue("is the name of two classes");
  }
}

void ReadTenants(const JsonField& field, dispatch::Settings* settings) {
  double share_sum = 0.0;
  for (const JsonField& item : field["tenants"].Items()) {
    auto& tenant = settings->tenants.emplace_back();
    tenant.name = item["name"].Text();
    tenant.share = item["share"].NonNegative(tenant.share);
    if (item["quotaPerS"].present())
      tenant.quota_per_s = item["quotaPerS"].NonNegative(0.0);
    share_sum += tenant.share;
  }
  if (!settings->tenants.empty() && !(share_sum > 0.0))
    field["tenants"].ThrowBadValue("must hold a share between them");
}

// Reads the zone of this dispatcher and the total number of dispatchers.
void ReadPlacement(const JsonField& field, dispatch::Settings* settings) {
  settings->zones = ReadNames(field["zones"]);
  settings->zone = field["locality"].Text("");
  settings->nodes = field["peersTotal"].IntAtLeast(1, settings->nodes);
}

void ReadPriorityWeights(const JsonField& field, dispatch::Settings* settings) {
  settings->over_share_priority_weight =
      field["overShareWorth"].Fraction(settings->over_share_priority_weight);
  settings->priority_weight_by_work =
      ReadChoice<bool>(field["valueBy"], "request", {{"request", false}, {"work", true}});
}

void ReadDiscovery(const JsonField& field, dispatch::Settings* settings) {
  // Subscribing is the default: polling a discovery service at the rate meant for a local agent overloads it,
  // whereas subscribing to an agent is only slower.
  settings->subscribe =
      ReadChoice<bool>(field["discovery"], "subscribe", {{"automatic", false}, {"subscribe", true}});
  settings->reports_start = field["familyInfo"]["tellsStart"].Bool(settings->reports_start);
}

void ReadLoadReports(const JsonField& field, dispatch::Settings* settings) {
  using Reports = dispatch::Settings::Reports;
  settings->progress = field["familyInfo"]["progress"].Duration(settings->progress);
  settings->reports = ReadChoice<Reports>(
      field["report"]["how"], "silent",
      {{"silent", Reports::kNone}, {"piggyback", Reports::kWithAnswers}, {"pull", Reports::kProbesOnly}});
}

// Checks `weights`, whose value is not used otherwise. An unknown value would mean that the weights in the
// endpoint list have a meaning that this program does not know.
void CheckWeights(const JsonField& field) {
  enum class Weights { kSilent, kNominal, kRough, kLive };
  ReadChoice<Weights>(field["weights"], "silent",
                      {{"silent", Weights::kSilent},
                       {"nominal", Weights::kNominal},
                       {"rough", Weights::kRough},
                       {"live", Weights::kLive}});
}

void ReadLimits(const JsonField& limits, dispatch::Settings* settings) {
  settings->probes = limits["probes"].Bool(settings->probes);
  settings->cancel = limits["cancel"].Bool(settings->cancel);
  settings->hedging = limits["secondCopies"].Bool(settings->hedging);
  settings->retry_after = limits["retryAfter"].Bool(settings->retry_after);
  settings->max_attempts = limits["maxAttempts"].IntAtLeast(1, settings->max_attempts);
  settings->max_retry_after = limits["maxRetryAfter"].Duration(settings->max_retry_after);
}

void ReadRules(const JsonField& rules, dispatch::Settings* settings) {
  settings->answer_slack = rules["answerSlack"].Duration(settings->answer_slack);
  settings->drain_grace = rules["drainGrace"].Duration(settings->drain_grace);
  settings->max_list_poll_interval = rules["mustAskIn"].PositiveDuration(settings->max_list_poll_interval);
  settings->overload_factor = rules["overloadFactor"].Number(settings->overload_factor);
  if (!(settings->overload_factor > 0.0))
    rules["overloadFactor"].ThrowBadValue("must be positive");
  settings->overload_window = rules["fall"].PositiveDuration(settings->overload_window);
  settings->cold_capacity_share = rules["coldShare"].Fraction(settings->cold_capacity_share);
  settings->warm_after = rules["warmAfter"].Duration(settings->warm_after);
}

void ReadPrices(const JsonField& prices, dispatch::Settings* settings) {
  settings->price_cross_zone = prices["crossZone"].NonNegative(settings->price_cross_zone);
  settings->price_probe = prices["probe"].NonNegative(settings->price_probe);
}

}  // namespace

dispatch::Settings ReadDispatchSettings(const JsonField& field) {
  dispatch::Settings settings;
  ReadClasses(field, &settings);
  ReadTenants(field, &settings);
  ReadPlacement(field, &settings);
  ReadPriorityWeights(field, &settings);
  ReadDiscovery(field, &settings);
  ReadLoadReports(field, &settings);
  CheckWeights(field);
  ReadLimits(field["limits"], &settings);
  ReadRules(field["rules"], &settings);
  ReadPrices(field["prices"], &settings);
  return settings;
}

}  // namespace aldersill
