#include "net/json_message.h"

namespace aldersill {

nlohmann::json ParseObject(std::string_view text) {
  nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object())
    throw BadMessage("is not a JSON object");
  return json;
}

std::string TextOf(const nlohmann::json& json, const char* name, const char* fallback) {
  const auto found = json.find(name);
  if (found == json.end() && fallback != nullptr)
    return fallback;
  if (found == json.end() || !found->is_string())
    throw BadMessage(std::string(name) + " must be a string");
  return found->get<std::string>();
}

double NumberOf(const nlohmann::json& json, const char* name, double fallback) {
  const auto found = json.find(name);
  if (found == json.end())
    return fallback;
  if (!found->is_number())
    throw BadMessage(std::string(name) + " must be a number");
  return found->get<double>();
}

}  // namespace aldersill
