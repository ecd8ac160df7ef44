#include "upgrade/ban_list.h"

#include <nlohmann/json.hpp>

namespace aldersill::upgrade {
namespace {

using Json = nlohmann::json;

constexpr const char* kFormat = "aldersill-bans-1";

}  // namespace

std::string EncodeBans(const BanList& bans) {
  return Json{{"format", kFormat}, {"workers", bans}}.dump() + "\n";
}

std::optional<BanList> DecodeBans(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || json.value("format", Json()) != kFormat)
    return std::nullopt;
  const auto workers = json.find("workers");
  if (workers == json.end() || !workers->is_array())
    return std::nullopt;
  BanList bans;
  for (const Json& worker : *workers) {
    if (!worker.is_string())
      return std::nullopt;
    bans.insert(worker.get<std::string>());
  }
  return bans;
}

}  // namespace aldersill::upgrade
