#include "endpoint_list/codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/json_message.h"

namespace aldersill {
namespace {

using Json = nlohmann::json;

WorkerEndpoint::State DecodeState(const std::string& text) {
  if (text == "SERVING")
    return WorkerEndpoint::State::kReady;
  if (text == "DRAINING")
    return WorkerEndpoint::State::kDraining;
  if (text == "DELETED")
    return WorkerEndpoint::State::kGone;
  throw BadMessage("state must be SERVING, DRAINING or DELETED, not '" + text + "'");
}

}  // namespace

EndpointListMessage DecodeEndpointList(const Json& json) {
  if (!json.is_object())
    throw BadMessage("is not a JSON object");
  EndpointListMessage message;
  const double version = NumberOf(json, "version", 0.0);
  if (!(version >= 0.0 && version < 9e15))
    throw BadMessage("version must be at least 0 and less than 9e15");
  message.version = static_cast<std::uint64_t>(version);
  const auto full = json.find("full");
  if (full != json.end() && !full->is_boolean())
    throw BadMessage("full must be true or false");
  message.full = full != json.end() && full->get<bool>();
  const auto list = json.find("servers");
  if (list == json.end() || !list->is_array())
    throw BadMessage("servers must be a list");
  for (const Json& item : *list) {
    if (!item.is_object())
      throw BadMessage("each entry of servers must be a JSON object");
    WorkerEndpoint entry;
    entry.name = TextOf(item, "id");
    if (entry.name.empty())
      throw BadMessage("id must not be empty");
    entry.state = DecodeState(TextOf(item, "state"));
    entry.address = TextOf(item, "addr", "");
    if (entry.address.empty() && entry.state != WorkerEndpoint::State::kGone)
      throw BadMessage("addr must not be empty unless state is DELETED");
    entry.zone = TextOf(item, "zone", "");
    entry.kind = TextOf(item, "kind", "");
    entry.cell = static_cast<int>(std::clamp(NumberOf(item, "cell", 0.0), -1e9, 1e9));
    entry.weight = NumberOf(item, "weight", 1.0);
    entry.started =
        static_cast<Micros>(std::clamp(NumberOf(item, "started_ms", 0.0), 0.0, 9e12)) * kMillisecond;
    message.workers.push_back(std::move(entry));
  }
  return message;
}

EndpointListMessage DecodeEndpointList(std::string_view body) {
  return DecodeEndpointList(ParseObject(body));
}

}  // namespace aldersill
