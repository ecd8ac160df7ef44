#include "config/platform_fields.h"

#include <algorithm>
#include <utility>

#include "config/errors.h"
#include "config/near_name.h"

namespace aldersill {
namespace {

using Json = nlohmann::json;

struct FieldGroup {
  const char* prefix;
  std::vector<const char*> names;
};

const FieldGroup kFieldGroups[] = {
    {"",
     {"name", "listen", "discovery", "seed", "limits", "known", "mgmt", "settings", "peers", "peers_all",
      "peer_listen"}},
    {"limits.", {"cores", "memory_mb", "sockets"}},
    {"settings.",
     {"clients",      "discovery",      "familyInfo", "goal",    "grades",   "layer", "limits", "locality",
      "machineTypes", "overShareWorth", "peersTotal", "prices",  "report",   "rules", "slotNo", "tenants",
      "tick",         "tiers",          "valueBy",    "weights", "workload", "zones"}},
    {"settings.clients.", {"marksRetry"}},
    {"settings.familyInfo.",
     {"classKind", "classPriority", "classStretch", "memoryUnit", "notes", "progress", "queueOrder",
      "reportX0", "reportX1", "tellsStart"}},
    {"settings.goal.", {"whole", "worstClass", "worstTenant", "worstWindow"}},
    {"settings.grades[].",
     {"aimStretch", "deadline", "dedupScope", "dedupWindow", "lateValue", "name", "repeat", "streaming",
      "target", "worth"}},
    {"settings.limits.",
     {"cancel", "connIdle", "cpuUsPerRequest", "cpuUsPerS", "dialTimeout", "maxAttempts", "maxOpen",
      "maxRetryAfter", "maxStreams", "peers", "probes", "retryAfter", "secondCopies"}},
    {"settings.prices.",
     {"connection", "crossZone", "discovery", "fleet", "handshake", "lateFail", "moves", "origin", "peer",
      "probe", "waste"}},
    {"settings.report.", {"fields", "how"}},
    {"settings.rules.",
     {"answerSlack", "coldShare", "drainGrace", "fall", "mustAskIn", "overloadFactor", "warmAfter"}},
    {"settings.tenants[].", {"name", "quotaPerS", "share"}},
};

// Returns the paths of all fields that the platform's documentation defines, including those that this
// program does not read, so that misspelt fields are found.
const std::set<std::string>& PlatformFields() {
  static const std::set<std::string> all_fields = [] {
    std::set<std::string> fields;
    for (const FieldGroup& group : kFieldGroups) {
      for (const char* name : group.names)
        fields.insert(std::string(group.prefix) + name);
    }
    return fields;
  }();
  return all_fields;
}

// Returns the names of the fields directly below `prefix`, which ends with a dot or is empty.
std::vector<std::string> NamesBelow(const std::string& prefix) {
  std::vector<std::string> names;
  const std::set<std::string>& fields = PlatformFields();
  for (auto field = fields.lower_bound(prefix); field != fields.end() && field->starts_with(prefix);
       ++field) {
    if (field->find('.', prefix.size()) == std::string::npos)
      names.push_back(field->substr(prefix.size()));
  }
  return names;
}

void CollectUnknown(const Json& json, const std::string& path, std::set<std::string>* unknown) {
  if (json.is_array()) {
    for (const Json& item : json)
      CollectUnknown(item, path + "[]", unknown);
    return;
  }
  if (!json.is_object())
    return;
  const std::string prefix = path.empty() ? "" : path + ".";
  const std::vector<std::string> known_names = NamesBelow(prefix);
  if (known_names.empty())
    return;  // The documentation does not define the fields of this object.
  for (const auto& [name, value] : json.items()) {
    if (PlatformFields().contains(prefix + name)) {
      CollectUnknown(value, prefix + name, unknown);
      continue;
    }
    const std::string near = NearName(name, known_names);
    unknown->insert(prefix + name + (near.empty() ? "" : " (" + near + "?)"));
  }
}

FieldPaths PathsOf(const Json& json, const std::string& path);

FieldPaths PathsOfObject(const Json& object, const std::string& path) {
  const std::string prefix = path.empty() ? "" : path + ".";
  FieldPaths paths;
  for (const auto& [name, value] : object.items()) {
    if (value.is_null())
      continue;
    const std::string child_path = prefix + name;
    paths.fields.insert(child_path);
    FieldPaths child = PathsOf(value, child_path);
    paths.fields.merge(child.fields);
    paths.empty_lists.merge(child.empty_lists);
  }
  return paths;
}

FieldPaths PathsOfList(const Json& list, const std::string& path) {
  const std::string item_path = path + "[]";
  FieldPaths paths;
  if (list.empty()) {
    paths.empty_lists.insert(item_path);
    return paths;
  }
  paths = PathsOf(list[0], item_path);
  for (std::size_t i = 1; i < list.size(); ++i) {
    const FieldPaths item = PathsOf(list[i], item_path);
    std::erase_if(paths.fields, [&](const std::string& field) { return !item.fields.contains(field); });
  }
  return paths;
}

FieldPaths PathsOf(const Json& json, const std::string& path) {
  if (json.is_object())
    return PathsOfObject(json, path);
  if (json.is_array())
    return PathsOfList(json, path);
  return {};
}

// Returns whether valid files may add and remove the field: the known workers, and the fields that only
// classes with idempotency keys need.
bool IsOptionalOnReload(const std::string& field) {
  return field.starts_with("known") || field.starts_with("settings.grades[].dedup");
}

}  // namespace

std::vector<std::string> FindUnknownFields(const Json& file) {
  std::set<std::string> unknown;
  CollectUnknown(file, "", &unknown);
  return {unknown.begin(), unknown.end()};
}

FieldPaths FieldPathsOf(const Json& file) { return PathsOf(file, ""); }

void RequireFieldsOf(const std::set<std::string>& before, const FieldPaths& now) {
  for (const std::string& field : before) {
    const bool in_empty_list = std::ranges::any_of(
        now.empty_lists, [&](const std::string& list) { return field.starts_with(list); });
    if (now.fields.contains(field) || in_empty_list || IsOptionalOnReload(field))
      continue;
    throw MissingField(field,
                       field + " is missing: the file read before has it; restart the program to remove it");
  }
}

}  // namespace aldersill
